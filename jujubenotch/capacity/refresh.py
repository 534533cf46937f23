"""Updates coordinators, slot sources and shares after membership or records change."""

from jujubenotch.admission import mark_leaving
from jujubenotch.capacity.client import find_unanswering_sources, switch_source
from jujubenotch.capacity.coordinator import close_group, open_group
from jujubenotch.capacity.holders import drop_expired_holders
from jujubenotch.capacity.peered_model import PeeredState
from jujubenotch.capacity.pool_runner import deliver_decisions
from jujubenotch.capacity.remote_requesters import drop_expired_requesters
from jujubenotch.capacity.shares import (
    compute_coordinator_share,
    compute_fallback_share,
)
from jujubenotch.capacity.slot_source import SlotSource
from jujubenotch.membership import (
    choose_by_rendezvous,
    drop_expired_members,
    find_leaving_upstreams,
    list_live_instances,
    list_possibly_serving,
)

MAX_REFRESH_GAP_S = 0.15


def refresh(state: PeeredState, now_s: float) -> None:
    """Update coordinators, slot sources and shares; cheap when nothing has changed.

    :param state: The instance's state.
    :param now_s: The current monotonic time, in seconds.
    """
    drop_expired_members(state.membership, now_s)
    for coordinator in (state.coordinator, state.fallback):
        drop_expired_holders(coordinator, now_s)
    drop_expired_requesters(state.remote_requesters, now_s)
    _suspect_unanswering(state, now_s)
    _choose_coordinators(state, now_s)
    _open_groups(state, now_s)
    _mark_leaving(state, now_s)
    for group in state.client.groups.values():
        switch_source(state.client, group, choose_source(state, group.name, now_s))


def choose_source(state: PeeredState, group: str, now_s: float) -> SlotSource:
    """Choose the slot source that a group's slots come from.

    :param state: The instance's state.
    :param group: The name of the group.
    :param now_s: The current monotonic time, in seconds.
    :returns: The coordinator's slot source if the coordinator answers; otherwise
        that of the fallback share.
    """
    coordinator = state.coordinators.get(group, "")
    if coordinator == state.dependencies.name:
        return state.coordinator_source
    peer = state.links.get(coordinator)
    if peer is None or peer.source is None or peer.suspected_s is not None:
        return state.fallback_source
    if peer.not_coordinator_until_s.get(group, now_s) > now_s:
        return state.fallback_source
    return peer.source


def _suspect_unanswering(state, now_s):
    is_late = now_s - state.refreshed_s > MAX_REFRESH_GAP_S
    state.refreshed_s = now_s
    if is_late:
        # This process itself was blocked, so answers may have arrived but not
        # have been read yet.
        return
    unanswered = find_unanswering_sources(state.client, now_s)
    for peer in state.links.values():
        if peer.source in unanswered and peer.suspected_s is None:
            peer.suspected_s = now_s


def _choose_coordinators(state, now_s):
    live = tuple(sorted(list_live_instances(state.membership, now_s)))
    if live == state.live and state.coordinators.keys() == state.client.groups.keys():
        return
    state.live = live
    state.coordinators = {
        group: next(iter(choose_by_rendezvous(group, live)), "")
        for group in state.client.groups
    }


def _open_groups(state, now_s):
    known = list_possibly_serving(state.membership, now_s)
    name = state.dependencies.name
    plans = state.client.plans.by_name
    for group in tuple(state.coordinator.groups):
        if group not in plans or state.coordinators.get(group) != name:
            close_group(state.coordinator, group, now_s)
    for group in state.fallback.groups.keys() - plans.keys():
        close_group(state.fallback, group, now_s)
    for group, plan in plans.items():
        open_group(
            state.fallback, plan, share=compute_fallback_share(known), now_s=now_s
        )
        if state.coordinators.get(group) == name:
            _open_coordinated_group(state, plan, known, now_s)


def _open_coordinated_group(state, plan, known, now_s):
    group = state.coordinator.groups.get(plan.name)
    share = compute_coordinator_share(
        known=known,
        live=state.live,
        attached={state.dependencies.name, *(group.attached if group else ())},
        age_s=now_s - group.opened_s if group else 0.0,
    )
    open_group(state.coordinator, plan, share=share, now_s=now_s)
    if group is None:
        _mark_in_pool(
            state.coordinator, plan.name, state.leaving_upstreams, True, now_s
        )


def _mark_leaving(state, now_s):
    drained = state.dependencies.read_configuration().drains
    leaving = frozenset(find_leaving_upstreams(state.membership, now_s)) | set(drained)
    previous = state.leaving_upstreams
    if leaving == previous:
        return
    state.leaving_upstreams = leaving
    for coordinator in (state.coordinator, state.fallback):
        for group in coordinator.pool_runner.pools:
            _mark_in_pool(coordinator, group, leaving - previous, True, now_s)
            _mark_in_pool(coordinator, group, previous - leaving, False, now_s)


def _mark_in_pool(coordinator, group, upstreams, is_leaving, now_s):
    if not upstreams:
        return
    pool = coordinator.pool_runner.pools[group]
    for upstream in upstreams:
        mark_leaving(pool, upstream, now_s, is_leaving=is_leaving)
    deliver_decisions(coordinator.pool_runner, group, now_s)
