"""Views of instances and upstreams for operators."""

from dataclasses import dataclass

from jujubenotch.capacity.peered_model import PeeredState
from jujubenotch.capacity.sessions import read_hello
from jujubenotch.membership import is_live


@dataclass(frozen=True, kw_only=True)
class MemberState:
    """One instance, as shown to operators.

    :param address: ``host:port`` of the instance's peer listener.
    :param heard_age_s: The time since the instance was last heard from, in
        seconds; ``None`` when it is not heard from.
    """

    name: str
    data_centre: str
    address: str
    incarnation: int
    is_live: bool
    is_leaving: bool
    heard_age_s: float | None = None


@dataclass(frozen=True, kw_only=True)
class UpstreamState:
    """One upstream of this data centre, as shown to operators.

    :param coordinator: The instance that keeps the slot allocation of the upstream's
        group; it can report the number of slots in use.
    :param slots_in_use: The number of slots in use; ``None`` when the slot allocation
        is kept by another instance.
    """

    name: str
    group: str
    coordinator: str
    slots_in_use: int | None
    slots_limit: int
    is_ejected: bool
    is_leaving: bool


def list_members(state: PeeredState) -> list[MemberState]:
    """List all known instances, including this one.

    :param state: The instance's state.
    :returns: The instances, sorted by name.
    """
    dependencies = state.dependencies
    now_s = dependencies.read_clock_s()
    hello = read_hello(state)
    own = MemberState(
        name=dependencies.name,
        data_centre=dependencies.data_centre,
        address=f"{hello.host}:{hello.port}",
        incarnation=dependencies.incarnation,
        is_live=True,
        is_leaving=state.membership.is_leaving,
        heard_age_s=0.0,
    )
    others = [
        MemberState(
            name=member.name,
            data_centre=member.data_centre,
            address=f"{member.host}:{member.port}",
            incarnation=member.incarnation,
            is_live=is_live(member, now_s),
            is_leaving=member.is_leaving,
            heard_age_s=None
            if member.last_frame_s is None
            else now_s - member.last_frame_s,
        )
        for member in state.membership.members.values()
    ]
    return sorted([own, *others], key=lambda member: member.name)


def list_upstream_states(state: PeeredState) -> list[UpstreamState]:
    """List the upstreams of this data centre.

    :param state: The instance's state.
    :returns: The upstreams, sorted by name.
    """
    result = []
    for plan in state.client.plans.by_name.values():
        pool = state.coordinator.pool_runner.pools.get(plan.name)
        for upstream in plan.upstreams:
            usage = pool.upstreams.get(upstream.name) if pool else None
            result.append(
                UpstreamState(
                    name=upstream.name,
                    group=plan.name,
                    coordinator=state.coordinators.get(plan.name, ""),
                    slots_in_use=usage.running if usage else None,
                    slots_limit=usage.slots if usage else upstream.slots,
                    is_ejected=bool(pool and upstream.name in pool.ejected),
                    is_leaving=upstream.name in state.leaving_upstreams,
                )
            )
    return sorted(result, key=lambda upstream: upstream.name)
