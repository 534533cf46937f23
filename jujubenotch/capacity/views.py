"""What operators are shown of instances and upstreams."""

from dataclasses import dataclass

from jujubenotch.capacity.peered_model import PeeredState
from jujubenotch.capacity.sessions import read_hello
from jujubenotch.membership import is_live


@dataclass(frozen=True, kw_only=True)
class MemberState:
    """One instance, for operators.

    :param address: ``host:port`` of its peer listener.
    :param heard_age_s: How long ago it was heard, in seconds; ``None`` when it
        is not heard.
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
    """One upstream of the own data centre, for operators.

    :param home: The instance that keeps its account; ask there for the slots
        in use.
    :param slots_in_use: As counted here; ``None`` when another instance is its
        home.
    """

    name: str
    group: str
    home: str
    slots_in_use: int | None
    slots_limit: int
    is_ejected: bool
    is_leaving: bool


def list_members(state: PeeredState) -> list[MemberState]:
    """List all instances known here, this one included.

    :param state: The instance's state.
    :returns: The instances, by name.
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
            heard_age_s=None if member.heard_s is None else now_s - member.heard_s,
        )
        for member in state.membership.members.values()
    ]
    return sorted([own, *others], key=lambda member: member.name)


def list_upstream_states(state: PeeredState) -> list[UpstreamState]:
    """List the upstreams of the own data centre.

    :param state: The instance's state.
    :returns: The upstreams, by name.
    """
    result = []
    for plan in state.client.plans.by_name.values():
        pool = state.home.keeper.pools.get(plan.name)
        for upstream in plan.upstreams:
            account = pool.upstreams.get(upstream.name) if pool else None
            result.append(
                UpstreamState(
                    name=upstream.name,
                    group=plan.name,
                    home=state.homes.get(plan.name, ""),
                    slots_in_use=account.running if account else None,
                    slots_limit=account.slots if account else upstream.slots,
                    is_ejected=bool(pool and upstream.name in pool.ejected),
                    is_leaving=upstream.name in state.leaving_upstreams,
                )
            )
    return sorted(result, key=lambda upstream: upstream.name)
