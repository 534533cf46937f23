"""Operations on the slot allocations that this instance keeps for itself and peers."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from jujubenotch.admission import Grant, WorkReport, WorkResult, restore_grant
from jujubenotch.capacity.coordinator_model import (
    CoordinatedGroup,
    Coordinator,
    Holder,
    HolderRequest,
)
from jujubenotch.capacity.groups import GroupPlan
from jujubenotch.capacity.pool_runner import (
    PoolRunner,
    cancel,
    configure_group,
    deliver_decisions,
    release_pool_grant,
)
from jujubenotch.capacity.pool_runner import submit as submit_to_pool
from jujubenotch.invariants import assert_invariant
from jujubenotch.outcomes import Refusal
from jujubenotch.peers import HeldSlot, SlotRequest


def make_coordinator(
    *, name: str, id_prefix: str, read_clock_s: Callable[[], float]
) -> Coordinator:
    """Make a coordinator without any slot allocations.

    :param name: The coordinator's name in its grants; empty for the fallback share.
    :param id_prefix: The prefix of grant ids; unique across all instances.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :returns: The coordinator.
    """
    coordinator = Coordinator(pool_runner=None)
    coordinator.pool_runner = PoolRunner(
        coordinator=name,
        id_prefix=id_prefix,
        read_clock_s=read_clock_s,
        deliver=lambda queue_id, answer: deliver(coordinator, queue_id, answer),
    )
    return coordinator


def open_group(
    coordinator: Coordinator, plan: GroupPlan, *, share: float, now_s: float
) -> None:
    """Open a group's slot allocation, or change its upstreams, limits or share.

    :param coordinator: The slot allocations kept here.
    :param plan: The group's upstreams and limits.
    :param share: The fraction of each upstream's slots that may be granted, at
        most 1.
    :param now_s: The current monotonic time, in seconds.
    """
    group = coordinator.groups.get(plan.name)
    if group is None:
        group = CoordinatedGroup(plan=plan, share=share, opened_s=now_s)
        coordinator.groups[plan.name] = group
    elif group.plan == plan and group.share == share:
        return
    group.plan = plan
    group.share = share
    configure_group(coordinator.pool_runner, plan, share=share, now_s=now_s)


def close_group(coordinator: Coordinator, name: str, now_s: float) -> None:
    """Close a group's slot allocation and notify its holders.

    :param coordinator: The slot allocations kept here.
    :param name: The name of the group.
    :param now_s: The current monotonic time, in seconds.
    """
    group = coordinator.groups.pop(name)
    # The pool is removed first, so that the entries dropped below do not free
    # slots for new grants.
    coordinator.pool_runner.pools.pop(name, None)
    for holder in tuple(coordinator.holders.values()):
        drop_entries(coordinator, list_entries(holder, name), now_s)
        if holder.disconnected_s is None and holder.name in group.attached:
            holder.callbacks.not_coordinator(name)


def reconcile_held(
    coordinator: Coordinator,
    name: str,
    group: str,
    held: Iterable[HeldSlot],
    now_s: float,
) -> None:
    """Replace a holder's entries in a group with the slots that it reports.

    :param coordinator: The slot allocations kept here.
    :param name: The holder's name; it must be attached.
    :param group: The name of the group.
    :param held: All slots that the holder holds in the group.
    :param now_s: The current monotonic time, in seconds.
    """
    holder = coordinator.holders[name]
    if group not in coordinator.groups:
        holder.callbacks.not_coordinator(group)
        return
    coordinator.groups[group].attached.add(name)
    coordinator.groups[group].left_s.pop(name, None)
    reported = {slot.number: slot for slot in held}
    drop_entries(
        coordinator,
        [
            entry
            for entry in list_entries(holder, group)
            if not entry.grant_id or entry.number not in reported
        ],
        now_s,
    )
    for number, slot in reported.items():
        if number not in holder.entries:
            _restore(coordinator, holder, slot, now_s)
    deliver_decisions(coordinator.pool_runner, group, now_s)


def leave_group(coordinator: Coordinator, name: str, group: str, now_s: float) -> None:
    """Drop a holder's queued requests in a group after it changed its slot source.

    Work on its slots still runs, so the slots stay counted until the holder
    releases them or reports its held slots again, for at most 5 s.

    :param coordinator: The slot allocations kept here.
    :param name: The holder's name.
    :param group: The name of the group.
    :param now_s: The current monotonic time, in seconds.
    """
    holder = coordinator.holders.get(name)
    if holder is None or group not in coordinator.groups:
        return
    drop_waiting(coordinator, holder, now_s, group)
    coordinator.groups[group].attached.discard(name)
    coordinator.groups[group].left_s[name] = now_s


def submit(
    coordinator: Coordinator, name: str, slot_request: SlotRequest, now_s: float
) -> None:
    """Queue a holder's request.

    :param coordinator: The slot allocations kept here.
    :param name: The holder's name; it must be attached.
    :param slot_request: The request. One whose number is already known is ignored.
    :param now_s: The current monotonic time, in seconds.
    """
    holder = coordinator.holders[name]
    if slot_request.group not in coordinator.groups:
        holder.callbacks.not_coordinator(slot_request.group)
        return
    if slot_request.number in holder.entries:
        return
    queue_id = _make_queue_id(holder, slot_request.number)
    entry = HolderRequest(
        holder=name, number=slot_request.number, group=slot_request.group
    )
    holder.entries[slot_request.number] = entry
    coordinator.entries[queue_id] = entry
    holder.callbacks.queued(slot_request.number)
    queued = replace(slot_request.request, request_id=queue_id)
    submit_to_pool(coordinator.pool_runner, slot_request.group, queued, now_s)


def withdraw(coordinator: Coordinator, name: str, number: int, now_s: float) -> None:
    """Withdraw a request, or release its slot if it was already granted.

    :param coordinator: The slot allocations kept here.
    :param name: The holder's name.
    :param number: The request's number; an unknown number is ignored.
    :param now_s: The current monotonic time, in seconds.
    """
    holder = coordinator.holders.get(name)
    entry = holder.entries.get(number) if holder else None
    if entry is not None:
        drop_entries(coordinator, [entry], now_s)


def release(
    coordinator: Coordinator, name: str, number: int, report: WorkReport, now_s: float
) -> None:
    """Release a slot, or cancel the request if it still waits.

    :param coordinator: The slot allocations kept here.
    :param name: The holder's name.
    :param number: The request's number; an unknown number is ignored.
    :param report: The outcome of the work.
    :param now_s: The current monotonic time, in seconds.
    """
    holder = coordinator.holders.get(name)
    entry = holder.entries.get(number) if holder else None
    if entry is None:
        return
    _remove_entry(coordinator, holder, entry)
    if entry.grant_id:
        release_pool_grant(
            coordinator.pool_runner, entry.group, entry.grant_id, report, now_s
        )
    else:
        queue_id = _make_queue_id(holder, number)
        cancel(coordinator.pool_runner, entry.group, queue_id, now_s)


def deliver(coordinator: Coordinator, queue_id: str, answer: Grant | Refusal) -> None:
    """Pass a pool's decision on a request to the holder that made the request.

    :param coordinator: The slot allocations kept here.
    :param queue_id: The id of the request in its pool.
    :param answer: The grant or the refusal.
    """
    entry = coordinator.entries.get(queue_id)
    if entry is None:
        # A pool may still refuse a request that was already withdrawn.
        assert_invariant(isinstance(answer, Refusal), "grant-has-holder")
        return
    holder = coordinator.holders[entry.holder]
    assert_invariant(not entry.grant_id, "request-granted-once", holder=holder.name)
    if isinstance(answer, Grant):
        entry.grant_id = answer.grant_id
        holder.callbacks.granted(entry.number, answer.upstream)
    else:
        _remove_entry(coordinator, holder, entry)
        holder.callbacks.refused(entry.number, answer)


def _make_queue_id(holder, number):
    return f"{holder.name}/{holder.incarnation}/{number}"


def list_entries(holder: Holder, group: str) -> list[HolderRequest]:
    """List a holder's requests and slots in a group.

    :param holder: The holder.
    :param group: The name of the group.
    :returns: The entries of its requests and slots.
    """
    return [entry for entry in holder.entries.values() if entry.group == group]


def drop_waiting(
    coordinator: Coordinator, holder: Holder, now_s: float, group: str = ""
) -> None:
    """Drop a holder's waiting requests.

    :param coordinator: The slot allocations kept here.
    :param holder: The holder.
    :param now_s: The current monotonic time, in seconds.
    :param group: The name of a group; empty for all groups.
    """
    waiting = [
        entry
        for entry in holder.entries.values()
        if not entry.grant_id and group in ("", entry.group)
    ]
    drop_entries(coordinator, waiting, now_s)


def drop_entries(
    coordinator: Coordinator, entries: Iterable[HolderRequest], now_s: float
) -> None:
    """Cancel waiting requests and free held slots.

    :param coordinator: The slot allocations kept here.
    :param entries: The entries to drop.
    :param now_s: The current monotonic time, in seconds.
    """
    report = WorkReport(result=WorkResult.CANCELLED)
    for entry in entries:
        release(coordinator, entry.holder, entry.number, report, now_s)


def _remove_entry(coordinator, holder, entry):
    del holder.entries[entry.number]
    del coordinator.entries[_make_queue_id(holder, entry.number)]


def _restore(coordinator, holder, slot, now_s):
    queue_id = _make_queue_id(holder, slot.number)
    entry = HolderRequest(
        holder=holder.name, number=slot.number, group=slot.group, grant_id=queue_id
    )
    holder.entries[slot.number] = entry
    coordinator.entries[queue_id] = entry
    request = slot.request
    restore_grant(
        coordinator.pool_runner.pools[slot.group],
        grant=Grant(
            grant_id=queue_id,
            request_id=queue_id,
            upstream=slot.upstream,
            coordinator=coordinator.pool_runner.coordinator,
        ),
        target=request.target,
        team=request.team,
        service_class=request.service_class,
        tier=request.tier,
        started_s=slot.started_s,
        now_s=now_s,
        team_weight=request.team_weight,
        expected_tokens=request.expected_tokens,
    )
