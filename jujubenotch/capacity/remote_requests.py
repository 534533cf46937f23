"""Acquires slots in other data centres for this instance's requests."""

import asyncio
from dataclasses import dataclass, field

from jujubenotch.capacity.client import ACK_TIMEOUT_S, CANCELLED_REPORT, GRANT_VALID_S
from jujubenotch.capacity.client_model import Client
from jujubenotch.capacity.slot_source import SlotSource
from jujubenotch.peers import CoordinatorFrame, HeldSlot, SlotGrant, SlotRequest
from jujubenotch.work import Grant, WorkReport, WorkRequest


@dataclass(kw_only=True, eq=False)
class RemoteRequest:
    """One request that was sent to another data centre.

    :param peer: The name of the peer that the request was sent to.
    :param is_queued: Set when the peer has acknowledged the request.
    :param answer: Resolved with the grant, or with ``None`` when the peer grants
        no slot.
    :param started_s: When the grant reached this instance, on this process's
        monotonic clock.
    """

    number: int
    group: str
    peer: str
    request: WorkRequest
    is_queued: asyncio.Event
    answer: asyncio.Future
    grant: Grant | None = None
    started_s: float = 0.0


@dataclass(kw_only=True)
class RemoteRequests:
    """All requests sent to other data centres; modified only by this module.

    :param client: Provides the request numbers, which are shared with the
        requests in this data centre.
    :param sources: The slot sources at peers in other data centres that have an
        open session, by peer name.
    :param entries: The requests by number.
    :param held: The requests that hold a slot, by the id of their grant.

    >>> RemoteRequests(client=client).entries
    {}
    """

    client: Client
    sources: dict[str, SlotSource] = field(default_factory=dict)
    entries: dict[int, RemoteRequest] = field(default_factory=dict)
    held: dict[str, RemoteRequest] = field(default_factory=dict)


async def acquire_remote(
    remote_requests: RemoteRequests,
    source: SlotSource,
    group: str,
    request: WorkRequest,
    wait_bound_s: float,
) -> Grant | None:
    """Wait for a slot in another data centre.

    Cancelling the call withdraws the request.

    :param remote_requests: The requests sent to other data centres.
    :param source: The slot source at a peer in the other data centre.
    :param group: The group in the other data centre.
    :param request: The request.
    :param wait_bound_s: The maximum time to wait for the slot, in seconds.
    :returns: The slot; ``None`` when the peer does not acknowledge the request
        or does not grant a slot in time.
    """
    entry = RemoteRequest(
        number=next(remote_requests.client.numbers),
        group=group,
        peer=source.coordinator,
        request=request,
        is_queued=asyncio.Event(),
        answer=asyncio.Future(),
    )
    remote_requests.entries[entry.number] = entry
    now_s = remote_requests.client.read_clock_s()
    slot_request = SlotRequest(number=entry.number, group=group, request=request)
    source.submit(slot_request, now_s)
    try:
        async with asyncio.timeout(ACK_TIMEOUT_S + 2 * source.link.delay_s):
            await entry.is_queued.wait()
        async with asyncio.timeout(min(wait_bound_s, request.deadline_s - now_s)):
            return await asyncio.shield(entry.answer)
    except TimeoutError:
        _withdraw(remote_requests, entry)
        return None
    except asyncio.CancelledError:
        _withdraw(remote_requests, entry)
        raise


def release_remote(
    remote_requests: RemoteRequests, grant: Grant, report: WorkReport
) -> None:
    """Release a slot in another data centre.

    If no session with the peer is open, the peer learns of the release when the
    next session starts, from the list of held slots.

    :param remote_requests: The requests sent to other data centres.
    :param grant: The slot; an unknown one is ignored.
    :param report: The outcome of the work.
    """
    entry = remote_requests.held.pop(grant.grant_id, None)
    if entry is None:
        return
    del remote_requests.entries[entry.number]
    source = remote_requests.sources.get(entry.peer)
    if source is not None:
        now_s = remote_requests.client.read_clock_s()
        source.release(entry.group, entry.number, report, now_s)


def attach_remote_peer(
    remote_requests: RemoteRequests, source: SlotSource, groups: list[str]
) -> None:
    """Register a new session with a peer in another data centre.

    The peer is sent the slots that this instance holds in each group.

    :param remote_requests: The requests sent to other data centres.
    :param source: The slot source of the session.
    :param groups: The groups of the peer's data centre.
    """
    remote_requests.sources[source.coordinator] = source
    now_s = remote_requests.client.read_clock_s()
    for group in groups:
        held = [
            HeldSlot(
                number=entry.number,
                group=group,
                upstream=entry.grant.upstream,
                request=entry.request,
                started_s=entry.started_s,
            )
            for entry in remote_requests.held.values()
            if entry.peer == source.coordinator and entry.group == group
        ]
        source.report_held(group, held, now_s)


def detach_remote_peer(remote_requests: RemoteRequests, name: str) -> None:
    """Record the end of a session with a peer in another data centre.

    Requests that wait at the peer are answered with ``None``, so that their
    callers request a slot in this data centre.

    :param remote_requests: The requests sent to other data centres.
    :param name: The peer's name.
    """
    remote_requests.sources.pop(name, None)
    for entry in tuple(remote_requests.entries.values()):
        if entry.peer == name and entry.grant is None:
            _resolve(remote_requests, entry, None)


def handle_remote_frame(
    remote_requests: RemoteRequests,
    source: SlotSource,
    frame: CoordinatorFrame,
    age_s: float,
) -> None:
    """Apply a frame with answers from a peer in another data centre.

    :param remote_requests: The requests sent to other data centres.
    :param source: The slot source at the peer.
    :param frame: The frame from the peer.
    :param age_s: Upper bound on the age of the grants in the frame, in seconds.
    """
    for number in frame.queued:
        if number in remote_requests.entries:
            remote_requests.entries[number].is_queued.set()
    for granted in frame.grants:
        _apply_grant(remote_requests, source, granted, age_s)
    for refusal in frame.refusals:
        if refusal.number in remote_requests.entries:
            _resolve(remote_requests, remote_requests.entries[refusal.number], None)
    for entry in tuple(remote_requests.entries.values()):
        is_declined = (
            entry.peer == source.coordinator and entry.group in frame.not_coordinator
        )
        if is_declined and entry.grant is None:
            _resolve(remote_requests, entry, None)


def _apply_grant(remote_requests, source, granted: SlotGrant, age_s):
    entry = remote_requests.entries.get(granted.number)
    now_s = remote_requests.client.read_clock_s()
    if entry is None or age_s > GRANT_VALID_S:
        group = entry.group if entry else ""
        source.release(group, granted.number, CANCELLED_REPORT, now_s)
        if entry is not None:
            _resolve(remote_requests, entry, None)
        return
    entry.grant = Grant(
        grant_id=f"{remote_requests.client.id_prefix}/{entry.number}",
        request_id=entry.request.request_id,
        upstream=granted.upstream,
        coordinator=source.coordinator,
    )
    entry.started_s = now_s
    remote_requests.held[entry.grant.grant_id] = entry
    _resolve(remote_requests, entry, entry.grant)


def _resolve(remote_requests, entry, answer):
    if answer is None:
        remote_requests.entries.pop(entry.number, None)
    entry.is_queued.set()
    if not entry.answer.done():
        entry.answer.set_result(answer)


def _withdraw(remote_requests, entry):
    if entry.grant is not None:
        release_remote(remote_requests, entry.grant, CANCELLED_REPORT)
        return
    source = remote_requests.sources.get(entry.peer)
    if (
        remote_requests.entries.pop(entry.number, None) is not None
        and source is not None
    ):
        source.withdraw(
            entry.group, entry.number, remote_requests.client.read_clock_s()
        )
