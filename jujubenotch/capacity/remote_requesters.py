"""Acquires slots of this data centre for requesters in other data centres."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from jujubenotch.capacity import client as client_module
from jujubenotch.capacity.client_model import Client
from jujubenotch.capacity.coordinator_model import HolderCallbacks
from jujubenotch.capacity.holders import DISCONNECTED_HOLDER_TIMEOUT_S
from jujubenotch.peers import HeldSlot, SlotRequest
from jujubenotch.work import Grant, WorkReport, WorkResult

CANCELLED_REPORT = WorkReport(result=WorkResult.CANCELLED)


@dataclass(kw_only=True)
class RemoteRequesterEntry:
    """One request from another data centre, kept until its slot is released.

    :param task: The task that waits for the slot.
    :param grant: The granted slot; ``None`` while the request waits.
    """

    group: str
    task: asyncio.Task | None = None
    grant: Grant | None = None


@dataclass(kw_only=True)
class RemoteRequester:
    """One requester in another data centre, with its requests.

    :param callbacks: The callbacks that answer the requester on its current session.
    :param entries: The requests and slots, by the requester's request number.
    :param disconnected_s: When its session ended, on this process's monotonic clock;
        ``None`` while a session is open.
    """

    name: str
    incarnation: int
    callbacks: HolderCallbacks
    entries: dict[int, RemoteRequesterEntry] = field(default_factory=dict)
    disconnected_s: float | None = None


@dataclass(kw_only=True)
class RemoteRequesters:
    """All requesters in other data centres; modified only by this module.

    :param client: Acquires the slots, as it does for this instance's own
        requests.
    :param by_name: The requesters by name.

    >>> RemoteRequesters(client=client).by_name
    {}
    """

    client: Client
    by_name: dict[str, RemoteRequester] = field(default_factory=dict)


def attach_requester(
    remote_requesters: RemoteRequesters,
    name: str,
    incarnation: int,
    callbacks: HolderCallbacks,
) -> None:
    """Register a new session of a requester.

    :param remote_requesters: All requesters in other data centres.
    :param name: The requester's name.
    :param incarnation: The requester's incarnation. Requests and slots of an
        earlier incarnation are withdrawn and released.
    :param callbacks: The callbacks that answer the requester.
    """
    requester = remote_requesters.by_name.get(name)
    if requester is not None and requester.incarnation != incarnation:
        _drop(remote_requesters, requester, tuple(requester.entries))
        requester = None
    if requester is None:
        remote_requesters.by_name[name] = RemoteRequester(
            name=name, incarnation=incarnation, callbacks=callbacks
        )
        return
    requester.callbacks = callbacks
    requester.disconnected_s = None


def detach_requester(
    remote_requesters: RemoteRequesters,
    name: str,
    callbacks: HolderCallbacks,
    now_s: float,
) -> None:
    """Record the end of a requester's session and withdraw its waiting requests.

    Its slots are kept until :data:`DISCONNECTED_HOLDER_TIMEOUT_S` has passed,
    since the requester may reconnect.

    :param remote_requesters: All requesters in other data centres.
    :param name: The requester's name.
    :param callbacks: The callbacks of the session that ended. The call is ignored
        if a later session has replaced it.
    :param now_s: The current monotonic time, in seconds.
    """
    requester = remote_requesters.by_name.get(name)
    if requester is None or requester.callbacks is not callbacks:
        return
    requester.disconnected_s = now_s
    waiting = [
        number for number, each in requester.entries.items() if each.grant is None
    ]
    _drop(remote_requesters, requester, waiting)


def drop_expired_requesters(remote_requesters: RemoteRequesters, now_s: float) -> None:
    """Remove requesters that have been disconnected for too long.

    Their slots are released.

    :param remote_requesters: All requesters in other data centres.
    :param now_s: The current monotonic time, in seconds.
    """
    for requester in tuple(remote_requesters.by_name.values()):
        if (
            requester.disconnected_s is not None
            and now_s - requester.disconnected_s >= DISCONNECTED_HOLDER_TIMEOUT_S
        ):
            _drop(remote_requesters, requester, tuple(requester.entries))
            del remote_requesters.by_name[requester.name]


def submit_for_requester(
    remote_requesters: RemoteRequesters, name: str, slot_request: SlotRequest
) -> None:
    """Request a slot on behalf of a requester.

    :param remote_requesters: All requesters in other data centres.
    :param name: The requester's name; it must be attached.
    :param slot_request: The request. One whose number is already known is ignored.
    """
    requester = remote_requesters.by_name[name]
    if slot_request.group not in remote_requesters.client.plans.by_name:
        requester.callbacks.not_coordinator(slot_request.group)
        return
    if slot_request.number in requester.entries:
        return
    entry = RemoteRequesterEntry(group=slot_request.group)
    requester.entries[slot_request.number] = entry
    requester.callbacks.queued(slot_request.number)
    entry.task = asyncio.create_task(
        _acquire(remote_requesters, requester, entry, slot_request)
    )


def withdraw_for_requester(
    remote_requesters: RemoteRequesters, name: str, number: int
) -> None:
    """Withdraw a requester's request, or release its slot if it has one.

    :param remote_requesters: All requesters in other data centres.
    :param name: The requester's name.
    :param number: The request's number; an unknown number is ignored.
    """
    requester = remote_requesters.by_name.get(name)
    if requester is not None:
        _drop(remote_requesters, requester, [number])


def release_for_requester(
    remote_requesters: RemoteRequesters, name: str, number: int, report: WorkReport
) -> None:
    """Release a requester's slot.

    :param remote_requesters: All requesters in other data centres.
    :param name: The requester's name.
    :param number: The request's number; an unknown number is ignored.
    :param report: The outcome of the work.
    """
    requester = remote_requesters.by_name.get(name)
    if requester is not None:
        _drop(remote_requesters, requester, [number], report)


def reconcile_held_for_requester(
    remote_requesters: RemoteRequesters, name: str, group: str, held: Iterable[HeldSlot]
) -> None:
    """Drop the requests and slots of a group that a requester does not report.

    :param remote_requesters: All requesters in other data centres.
    :param name: The requester's name; it must be attached.
    :param group: A group of this data centre.
    :param held: All slots of the group that the requester holds.
    """
    requester = remote_requesters.by_name[name]
    reported = {slot.number for slot in held}
    missing = [
        number
        for number, entry in requester.entries.items()
        if entry.group == group and number not in reported
    ]
    _drop(remote_requesters, requester, missing)


async def _acquire(remote_requesters, requester, entry, slot_request):
    request = replace(
        slot_request.request, request_id=f"{requester.name}/{slot_request.number}"
    )
    answer = await client_module.acquire(remote_requesters.client, request)
    if isinstance(answer, Grant):
        entry.grant = answer
        requester.callbacks.granted(slot_request.number, answer.upstream)
    else:
        requester.entries.pop(slot_request.number, None)
        requester.callbacks.refused(slot_request.number, answer)


def _drop(remote_requesters, requester, numbers, report=CANCELLED_REPORT):
    for number in numbers:
        entry = requester.entries.pop(number, None)
        if entry is None:
            continue
        if entry.grant is None:
            entry.task.cancel()
            continue
        now_s = remote_requesters.client.read_clock_s()
        client_module.release_grant(
            remote_requesters.client, entry.grant, report, now_s
        )
