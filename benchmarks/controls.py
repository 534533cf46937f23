"""Sets faults in a running fleet, and reads the statistics of its stand-ins."""

from collections.abc import Collection

from benchmarks.fleet import Fleet
from benchmarks.layout import PLATFORM, list_published
from benchmarks.processes import LOOPBACK
from standins.relay_core import RelayMode


async def set_faults(fleet: Fleet, name: str, **faults) -> None:
    """Set the faults of a stand-in; they replace all faults that were set before.

    :param fleet: The fleet.
    :param name: An upstream or the platform.
    :param faults: Fields of ``UpstreamFaults`` or ``PlatformFaults``.
    """
    url = f"{_find_url(fleet, name)}/faults"
    async with fleet.session.post(url, json=faults) as answer:
        answer.raise_for_status()


async def read_statistics(fleet: Fleet, name: str) -> dict:
    """Read the statistics that a stand-in has counted since its start.

    :param fleet: The fleet.
    :param name: An upstream or the platform.
    """
    async with fleet.session.get(f"{_find_url(fleet, name)}/statistics") as answer:
        return await answer.json()


async def read_generated_tokens(fleet: Fleet) -> int:
    """Return the number of tokens that all engines together have generated.

    :param fleet: The fleet; all its engines must be running.
    """
    total = 0
    for engine in fleet.layout.plan.deployment.engines:
        statistics = await read_statistics(fleet, engine.name)
        total += statistics["tokens_generated"]
    return total


async def publish(
    fleet: Fleet, *, leaving: Collection[str] = (), gone: Collection[str] = ()
) -> None:
    """Publish a new version of the platform's list.

    :param fleet: The fleet.
    :param leaving: Instances and upstreams that are leaving.
    :param gone: Instances and upstreams that are no longer listed.
    """
    listed = [
        {**entry, "is_leaving": entry["name"] in leaving}
        for entry in list_published(fleet.layout)
        if entry["name"] not in gone
    ]
    url = f"{_find_url(fleet, PLATFORM)}/instances"
    async with fleet.session.put(url, json=listed) as answer:
        answer.raise_for_status()


async def change_route(
    fleet: Fleet,
    name: str,
    *,
    mode: RelayMode | None = None,
    delay_s: float | None = None,
) -> None:
    """Set the mode or the delay of a route, for instance to cut or to hold it.

    :param fleet: The fleet; it must have relays.
    :param name: ``callers-INSTANCE``, ``peers-INSTANCE``, ``platform-INSTANCE``
        or ``upstream-NAME``.
    :param mode: The new mode; ``None`` keeps it.
    :param delay_s: The new delay; ``None`` keeps it.
    """
    changes = {"mode": mode, "delay_s": delay_s}
    document = {key: value for key, value in changes.items() if value is not None}
    url = _find_route_url(fleet, name)
    async with fleet.session.patch(url, json=document) as answer:
        answer.raise_for_status()


async def silence_route(fleet: Fleet, name: str) -> None:
    """Silence the open connections of a route permanently; new connections work.

    :param fleet: The fleet; it must have relays.
    :param name: The route's name.
    """
    async with fleet.session.post(f"{_find_route_url(fleet, name)}/silence") as answer:
        answer.raise_for_status()


def _find_url(fleet, name):
    return f"http://{LOOPBACK}:{fleet.layout.ports[name]}"


def _find_route_url(fleet, name):
    relay = fleet.layout.routes[name].relay
    return f"http://{LOOPBACK}:{fleet.layout.ports[f'relay-{relay}']}/routes/{name}"
