"""Draws the faults of a site's run from a seed and injects them."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace

from benchmarks.site.documents import GRACE_S
from benchmarks.site.fleet import (
    Place,
    Site,
    kill_instance,
    list_place,
    publish_configuration,
    replace_upstream,
    start_instance,
    stop_instance,
    take_off_list,
)
from benchmarks.site.model import (
    FaultSpan,
    Leaving,
    Revocation,
    RouteChange,
    SiteFault,
)
from benchmarks.site.upstreams import Spoiling, close_upstream
from standins.relay_core import (
    RelayMode,
    close_route,
    open_route,
    set_mode,
    silence_links,
)
from standins.store import drop_history, set_fault

CALM_BEGIN_S = 2.0
CALM_BEGIN_SHARE = 0.1
CALM_END_S = 8.0
LEAST_FAULTY_SHARE = 0.6
MEAN_INTERVAL_S = 0.8
TOGETHER_RATIO = 0.3
TWICE_RATIO = 0.2
TWICE_PAUSE_S = 0.3
SHORTEST_S = 0.5
LONGEST_S = 6.0
LONGEST_SHARE = 0.1
LAPSE_S = 3.6
DRAIN_S = 4.0
REUSE_AFTER_S = 2.0
MAX_DELAY_S = 0.3
MAX_SLOWDOWN = 8.0
ONE_WAY_MODES = (RelayMode.HOLD_TO_TARGET, RelayMode.HOLD_FROM_TARGET)
INSTANCE_KINDS = frozenset(
    {
        SiteFault.KILL_INSTANCE,
        SiteFault.PAUSE_INSTANCE,
        SiteFault.STOP_INSTANCE,
        SiteFault.RELOAD_SETTINGS,
        SiteFault.CUT_STORE,
        SiteFault.CUT_STORE_ONE_WAY,
        SiteFault.SILENCE_STORE,
        SiteFault.SLOW_STORE,
        SiteFault.RESET_CALLERS,
    }
)
STORE_KINDS = frozenset(
    {
        SiteFault.STORE_UNAVAILABLE,
        SiteFault.STORE_SILENT,
        SiteFault.DROP_HISTORY,
        SiteFault.REVOKE_KEY,
        SiteFault.CHANGE_ROUTES,
    }
)
# A process has at most one of these faults at a time.
PROCESS_KINDS = frozenset(
    {
        SiteFault.KILL_INSTANCE,
        SiteFault.PAUSE_INSTANCE,
        SiteFault.STOP_INSTANCE,
        SiteFault.CRASH_UPSTREAM,
        SiteFault.DRAIN_UPSTREAM,
        SiteFault.REUSE_ADDRESS,
    }
)
START_S = 2.0
INTERPRETER_START_S = 0.3
# How much longer a fault of these kinds lasts than its drawn duration.
EXTRA_S = {
    SiteFault.KILL_INSTANCE: START_S,
    SiteFault.STOP_INSTANCE: GRACE_S + START_S,
    SiteFault.CRASH_UPSTREAM: LAPSE_S,
    SiteFault.DRAIN_UPSTREAM: DRAIN_S,
    SiteFault.REUSE_ADDRESS: 2 * DRAIN_S + REUSE_AFTER_S,
}


@dataclass(frozen=True, kw_only=True)
class SiteEvent:
    """One planned fault; times are in seconds from the start of the load.

    :param value: The severity or the variant of the fault, drawn between 0 and 1.
    """

    kind: SiteFault
    target: str
    at_s: float
    duration_s: float
    value: float


def plan_site_faults(
    *,
    seed: int,
    duration_s: float,
    instances: list[str],
    places: list[str],
    kinds: Sequence[SiteFault] = tuple(SiteFault),
) -> list[SiteEvent]:
    """Plan the faults of a run.

    Each kind is drawn once before any kind is drawn again.

    :param seed: Equal seeds give equal plans.
    :param duration_s: How long requests are sent.
    :param instances: The names of the instances.
    :param places: The names of the upstreams' places.
    :param kinds: The kinds to draw from.
    :returns: The faults, in order of time.
    """
    generator = random.Random(f"site faults {seed}")
    end_s = max(duration_s - CALM_END_S, duration_s * LEAST_FAULTY_SHARE)
    longest_s = min(LONGEST_S, duration_s * LONGEST_SHARE)
    events, bag, free_at_s = [], [], {}
    at_s = min(CALM_BEGIN_S, duration_s * CALM_BEGIN_SHARE)
    while (at_s := at_s + generator.expovariate(1 / MEAN_INTERVAL_S)) < end_s:
        count = 2 if generator.random() < TOGETHER_RATIO else 1
        for _ in range(count):
            if not bag:
                bag = generator.sample(list(kinds), len(kinds))
            event = _draw(generator, bag.pop(), at_s, longest_s, instances, places)
            for each in _repeat(generator, event):
                if _find_end_s(each) <= end_s and _is_free(each, free_at_s):
                    events.append(each)
    return sorted(events, key=lambda event: event.at_s)


async def inject_site_faults(
    site: Site, events: list[SiteEvent], began_s: float
) -> None:
    """Inject all faults, each at its planned time, and clear them again.

    :param site: The site; the injected faults are recorded in its journal.
    :param events: The planned faults.
    :param began_s: When the load began.
    """
    async with asyncio.TaskGroup() as group:
        for event in events:
            group.create_task(_carry_out(site, event, began_s))


def _draw(generator, kind, at_s, longest_s, instances, places):
    targets = places
    if kind in INSTANCE_KINDS:
        targets = instances
    if kind in STORE_KINDS:
        targets = ["store"]
    return SiteEvent(
        kind=kind,
        target=generator.choice(targets),
        at_s=at_s,
        duration_s=generator.uniform(SHORTEST_S, longest_s),
        value=generator.random(),
    )


def _repeat(generator, event):
    yield event
    if generator.random() < TWICE_RATIO:
        yield replace(event, at_s=event.at_s + event.duration_s + TWICE_PAUSE_S)


def _is_free(event, free_at_s):
    if event.kind not in PROCESS_KINDS:
        return True
    if event.at_s < free_at_s.get(event.target, 0.0):
        return False
    free_at_s[event.target] = _find_end_s(event) + START_S
    return True


def _find_end_s(event):
    return event.at_s + event.duration_s + EXTRA_S.get(event.kind, 0.0)


async def _carry_out(site, event, began_s):
    await asyncio.sleep(max(0.0, began_s + event.at_s - time.monotonic()))
    begin_s = time.monotonic()
    exit_code = await _ACTIONS[event.kind](site, event)
    span = FaultSpan(
        kind=event.kind,
        target=event.target,
        begin_s=begin_s,
        settled_s=time.monotonic(),
        exit_code=exit_code,
    )
    site.journal.faults.append(span)


async def _kill(site, event):
    await kill_instance(site, event.target)
    await asyncio.sleep(event.duration_s)
    await start_instance(site, event.target)


async def _pause(site, event):
    process = site.instances[event.target].process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(event.duration_s)
    process.send_signal(signal.SIGCONT)


async def _stop(site, event):
    exit_code = await stop_instance(site, event.target)
    await start_instance(site, event.target)
    return exit_code


async def _reload(site, event):
    """Change the settings file, and in half of the cases send SIGHUP too."""
    instance = site.instances[event.target]
    text = instance.settings_path.read_text()
    old, new = f"grace-s={GRACE_S:g}", f"grace-s={GRACE_S + 1:g}"
    if old not in text:
        old, new = new, old
    instance.settings_path.write_text(text.replace(old, new))
    if event.value < 1 / 2:
        return
    # A program has no signal handlers yet while its interpreter starts, and SIGHUP
    # would end it.
    left_s = instance.started_s + INTERPRETER_START_S - time.monotonic()
    await asyncio.sleep(max(0.0, left_s))
    if instance.process.returncode is None:
        instance.process.send_signal(signal.SIGHUP)


def _change_mode(find_route, choose_mode) -> Callable[..., Awaitable[None]]:
    async def change(site, event):
        route = find_route(site, event.target)
        await set_mode(route, choose_mode(event.value))
        await asyncio.sleep(event.duration_s)
        await set_mode(route, RelayMode.FORWARD)

    return change


def _choose_one_way(value):
    return ONE_WAY_MODES[value < 1 / 2]


def _find_store_route(site, target):
    return site.instances[target].store_route


def _find_upstream_route(site, target):
    return site.places[target].route


async def _silence_store(site, event):
    silence_links(_find_store_route(site, event.target))


def _delay(find_route) -> Callable[..., Awaitable[None]]:
    async def delay(site, event):
        route = find_route(site, event.target)
        route.delay_s = event.value * MAX_DELAY_S
        await asyncio.sleep(event.duration_s)
        route.delay_s = 0.0

    return delay


async def _reset(route):
    if route.mode is not RelayMode.CUT:
        close_route(route)
        await open_route(route)


async def _reset_callers(site, event):
    await _reset(site.instances[event.target].callers_route)


async def _reset_upstream(site, event):
    await _reset(_find_upstream_route(site, event.target))


def _break_store(fault) -> Callable[..., Awaitable[None]]:
    async def break_store(site, event):
        set_fault(site.store, fault)
        await asyncio.sleep(event.duration_s)
        set_fault(site.store, "")

    return break_store


async def _drop_history(site, event):
    drop_history(site.store)


async def _crash(site, event):
    place = site.places[event.target]
    await close_upstream(place.upstream)
    asyncio.get_running_loop().call_later(
        LAPSE_S, take_off_list, site, place.upstream.name
    )
    await asyncio.sleep(event.duration_s)
    await replace_upstream(site, place, service=place.upstream.service)


async def _drain(site, event):
    place = site.places[event.target]
    await _let_leave(site, place)
    await asyncio.sleep(event.duration_s)
    await replace_upstream(site, place, service=place.upstream.service)


async def _reuse(site, event):
    """Let an upstream leave, and an upstream of the other service use its address.

    That upstream leaves again, and one of the original service replaces it.
    """
    place = site.places[event.target]
    service = place.upstream.service
    other = "model" if service == "plain" else "plain"
    await _let_leave(site, place)
    await asyncio.sleep(REUSE_AFTER_S)
    await replace_upstream(site, place, service=other, port=place.upstream.port)
    await asyncio.sleep(event.duration_s)
    await _let_leave(site, place)
    await replace_upstream(site, place, service=service)


async def _let_leave(site, place: Place):
    upstream = place.upstream
    upstream.is_leaving = True
    list_place(site, place)
    leaving = Leaving(upstream=upstream.name, at_s=time.monotonic())
    site.journal.leavings.append(leaving)
    await asyncio.sleep(DRAIN_S)
    take_off_list(site, upstream.name)
    await close_upstream(upstream)


async def _spoil(site, event):
    upstream = site.places[event.target].upstream
    kinds = list(Spoiling)
    upstream.spoiling = kinds[int(event.value * len(kinds))]
    await asyncio.sleep(event.duration_s)
    upstream.spoiling = None


async def _slow(site, event):
    upstream = site.places[event.target].upstream
    upstream.slowdown = 1 + event.value * (MAX_SLOWDOWN - 1)
    await asyncio.sleep(event.duration_s)
    upstream.slowdown = 1.0


async def _revoke(site, event):
    keys = site.configuration.keys
    index = int(event.value * len(keys))
    key = sorted(keys)[index]
    team = keys.pop(key)
    new_key = f"key-{site.generator.getrandbits(48):012x}"
    keys[new_key] = team
    site.journal.teams[new_key] = team
    publish_configuration(site)
    revocation = Revocation(key=key, at_s=time.monotonic())
    site.journal.revocations.append(revocation)


async def _change_routes(site, event):
    prefix = f"/extra-{site.generator.getrandbits(32):08x}/"
    site.configuration.extra_prefixes.append(prefix)
    _publish_route(site, prefix, is_added=True)
    site.callers.prefixes.append(prefix)
    await asyncio.sleep(event.duration_s)
    site.configuration.extra_prefixes.remove(prefix)
    _publish_route(site, prefix, is_added=False)


def _publish_route(site, prefix, *, is_added):
    publish_configuration(site)
    change = RouteChange(prefix=prefix, at_s=time.monotonic(), is_added=is_added)
    site.journal.routes.append(change)


_ACTIONS = {
    SiteFault.KILL_INSTANCE: _kill,
    SiteFault.PAUSE_INSTANCE: _pause,
    SiteFault.STOP_INSTANCE: _stop,
    SiteFault.RELOAD_SETTINGS: _reload,
    SiteFault.CUT_STORE: _change_mode(_find_store_route, lambda value: RelayMode.CUT),
    SiteFault.CUT_STORE_ONE_WAY: _change_mode(_find_store_route, _choose_one_way),
    SiteFault.SILENCE_STORE: _silence_store,
    SiteFault.SLOW_STORE: _delay(_find_store_route),
    SiteFault.STORE_UNAVAILABLE: _break_store("unavailable"),
    SiteFault.STORE_SILENT: _break_store("silent"),
    SiteFault.DROP_HISTORY: _drop_history,
    SiteFault.RESET_CALLERS: _reset_callers,
    SiteFault.CUT_UPSTREAM: _change_mode(
        _find_upstream_route, lambda value: RelayMode.CUT
    ),
    SiteFault.CUT_UPSTREAM_ONE_WAY: _change_mode(_find_upstream_route, _choose_one_way),
    SiteFault.RESET_UPSTREAM: _reset_upstream,
    SiteFault.DELAY_UPSTREAM: _delay(_find_upstream_route),
    SiteFault.CRASH_UPSTREAM: _crash,
    SiteFault.DRAIN_UPSTREAM: _drain,
    SiteFault.REUSE_ADDRESS: _reuse,
    SiteFault.SPOIL_ANSWERS: _spoil,
    SiteFault.SLOW_UPSTREAM: _slow,
    SiteFault.REVOKE_KEY: _revoke,
    SiteFault.CHANGE_ROUTES: _change_routes,
}
