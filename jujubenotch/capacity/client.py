"""Acquires slots for this instance's requests from their groups' slot sources."""

import asyncio

from jujubenotch.admission import Grant, WorkReport, WorkRequest, WorkResult
from jujubenotch.capacity.client_model import Client, ClientEntry, ClientGroup
from jujubenotch.capacity.groups import GroupPlans
from jujubenotch.capacity.refusals import (
    refuse_deadline_passed,
    refuse_no_upstream,
    refuse_shutting_down,
)
from jujubenotch.capacity.slot_source import SlotSource
from jujubenotch.invariants import assert_invariant
from jujubenotch.outcomes import Refusal
from jujubenotch.peers import HeldSlot, SlotRequest

ACK_TIMEOUT_S = 0.3
GRANT_VALID_S = 1.0
ANSWER_GRACE_S = 1.0

CANCELLED_REPORT = WorkReport(result=WorkResult.CANCELLED)


async def acquire(client: Client, request: WorkRequest) -> Grant | Refusal:
    """Wait for a slot; cancelling the call withdraws the request.

    :param client: The client.
    :param request: The request.
    :returns: The granted slot, or the refusal.
    """
    group = client.groups.get(client.plans.by_target.get(request.target, ""))
    if client.is_closed:
        return refuse_shutting_down()
    if group is None:
        return refuse_no_upstream(request.target)
    now_s = client.read_clock_s()
    entry = ClientEntry(request=request, group=group.name, answer=asyncio.Future())
    _submit(client, group, entry, now_s)
    try:
        async with asyncio.timeout(request.deadline_s - now_s + ANSWER_GRACE_S):
            return await asyncio.shield(entry.answer)
    except TimeoutError:
        _abandon(client, entry)
        return refuse_deadline_passed()
    except asyncio.CancelledError:
        _abandon(client, entry)
        raise


def release_grant(
    client: Client, grant: Grant, report: WorkReport, now_s: float
) -> None:
    """Release a slot; a slot that was already released is ignored.

    :param client: The client.
    :param grant: The slot.
    :param report: The outcome of the work.
    :param now_s: The current monotonic time, in seconds.
    """
    entry = client.held.pop(grant.grant_id, None)
    if entry is None:
        return
    client.entries.pop(entry.number, None)
    group = client.groups.get(entry.group)
    if group is not None and group.entries.pop(entry.number, None) is not None:
        group.source.release(group.name, entry.number, report, now_s)


def switch_source(client: Client, group: ClientGroup, source: SlotSource) -> None:
    """Switch a group to another slot source.

    Held slots stay valid and are reported to the new slot source. Waiting requests
    are queued there and keep their arrival times.

    :param client: The client.
    :param group: The group.
    :param source: The new slot source. The call does nothing if the group already
        uses it.
    """
    if group.source is source:
        return
    now_s = client.read_clock_s()
    group.source.leave_group(group.name, now_s)
    group.source = source
    _submit_all(client, group, now_s)


def apply_plans(
    client: Client, plans: GroupPlans, default_source: SlotSource, now_s: float
) -> None:
    """Apply new group plans and move each request to the group of its target.

    :param client: The client.
    :param plans: The new groups.
    :param default_source: The slot source that new groups use at first.
    :param now_s: The current monotonic time, in seconds.
    """
    previous = client.groups
    client.plans = plans
    client.groups = {
        name: previous.get(name) or ClientGroup(name=name, source=default_source)
        for name in plans.by_name
    }
    changed = set()
    for entry in tuple(client.entries.values()):
        name = plans.by_target.get(entry.request.target)
        if name != entry.group:
            changed |= {entry.group, name}
            _regroup(client, previous, entry, name)
    for name, group in previous.items():
        if name in changed or name not in client.groups:
            group.source.leave_group(name, now_s)
    for name in changed & client.groups.keys():
        _submit_all(client, client.groups[name], now_s)


def mark_queued(client: Client, number: int) -> None:
    """Record that a slot source has acknowledged a request.

    :param client: The client.
    :param number: The request's number; an unknown number is ignored.
    """
    entry = client.entries.get(number)
    if entry is not None:
        entry.is_queued = True


def apply_grant(
    client: Client, source: SlotSource, number: int, upstream: str, age_s: float
) -> None:
    """Accept a grant, or release it if it is too old or no longer needed.

    A request whose grant was too old is submitted again.

    :param client: The client.
    :param source: The slot source that made the grant.
    :param number: The request's number.
    :param upstream: The upstream that the slot is on.
    :param age_s: Upper bound on the age of the grant, in seconds.
    """
    entry = client.entries.get(number)
    now_s = client.read_clock_s()
    group = client.groups.get(entry.group) if entry else None
    is_wanted = group is not None and group.source is source
    if not is_wanted or age_s > GRANT_VALID_S:
        source.release(entry.group if entry else "", number, CANCELLED_REPORT, now_s)
        if is_wanted:
            _submit(client, group, entry, now_s)
        return
    assert_invariant(entry.grant is None, "grant-taken-once", number=number)
    entry.grant = Grant(
        grant_id=f"{client.id_prefix}/{number}",
        request_id=entry.request.request_id,
        upstream=upstream,
        coordinator=source.coordinator,
    )
    entry.started_s = now_s
    client.held[entry.grant.grant_id] = entry
    _resolve(entry, entry.grant)


def apply_refusal(client: Client, number: int, refusal: Refusal) -> None:
    """Answer a waiting request with a refusal.

    :param client: The client.
    :param number: The request's number; an unknown number is ignored.
    :param refusal: The refusal.
    """
    entry = client.entries.get(number)
    if entry is not None and entry.grant is None:
        _remove_entry(client, entry)
        _resolve(entry, refusal)


def find_unanswering_sources(client: Client, now_s: float) -> set[SlotSource]:
    """Find the slot sources at peers that have not acknowledged a request in time.

    :param client: The client.
    :param now_s: The current monotonic time, in seconds.
    :returns: The slot sources.
    """
    return {
        group.source
        for group in client.groups.values()
        if group.source.link is not None
        and any(
            entry.grant is None
            and not entry.is_queued
            and now_s - entry.submitted_s > ACK_TIMEOUT_S
            for entry in group.entries.values()
        )
    }


def close(client: Client) -> None:
    """Refuse all waiting requests and all later ones.

    :param client: The client.
    """
    client.is_closed = True
    for entry in tuple(client.entries.values()):
        if entry.grant is None:
            _abandon(client, entry)
            _resolve(entry, refuse_shutting_down())


def _submit(client, group, entry, now_s):
    _remove_entry(client, entry)
    entry.number = next(client.numbers)
    entry.submitted_s = now_s
    entry.is_queued = False
    client.entries[entry.number] = entry
    group.entries[entry.number] = entry
    slot_request = SlotRequest(
        number=entry.number, group=group.name, request=entry.request
    )
    group.source.submit(slot_request, now_s)


def _submit_all(client, group, now_s):
    entries = list(group.entries.values())
    held = [
        HeldSlot(
            number=entry.number,
            group=group.name,
            upstream=entry.grant.upstream,
            request=entry.request,
            started_s=entry.started_s,
        )
        for entry in entries
        if entry.grant is not None
    ]
    source = group.source
    source.report_held(group.name, held, now_s)
    for entry in entries:
        if group.source is not source:
            # The slot source declined the group when the held slots were reported,
            # and the group has already moved to another slot source.
            return
        if entry.grant is None and entry.number in group.entries:
            _submit(client, group, entry, now_s)


def _regroup(client, previous, entry, name):
    group = previous.get(entry.group)
    if group is not None:
        group.entries.pop(entry.number, None)
    if name is not None:
        entry.group = name
        client.groups[name].entries[entry.number] = entry
    elif entry.grant is None:
        _remove_entry(client, entry)
        _resolve(entry, refuse_no_upstream(entry.request.target))


def _remove_entry(client, entry):
    client.entries.pop(entry.number, None)
    group = client.groups.get(entry.group)
    if group is not None:
        group.entries.pop(entry.number, None)


def _abandon(client, entry):
    now_s = client.read_clock_s()
    if entry.grant is not None:
        release_grant(client, entry.grant, CANCELLED_REPORT, now_s)
        return
    is_known = entry.number in client.entries
    _remove_entry(client, entry)
    group = client.groups.get(entry.group)
    if is_known and group is not None:
        group.source.withdraw(group.name, entry.number, now_s)


def _resolve(entry, answer):
    if not entry.answer.done():
        entry.answer.set_result(answer)
