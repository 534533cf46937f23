"""Decodes and validates the protobuf messages of a session.

Messages contain durations, which are converted to times on this process's
monotonic clock.
"""

from dataclasses import dataclass, field

from jujubenotch.admission import PoolSummary, WorkReport, WorkRequest, WorkResult
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.peers import peers_pb2
from jujubenotch.peers.encode import MAX_INTERNED_ENTRIES, MS_PER_S, US_PER_S
from jujubenotch.peers.errors import MalformedFrameError
from jujubenotch.peers.model import (
    CoordinatorFrame,
    Heartbeat,
    HeldSlot,
    Hello,
    RequesterFrame,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)

MAX_TIER = 3
MAX_NAME_CHARACTERS = 256


@dataclass(kw_only=True)
class ReceivedInternTable:
    """The profiles and upstream names received on one session, by their id.

    The sender transmits each of them in full once and afterwards by id only.

    >>> ReceivedInternTable().by_id
    {}
    """

    by_id: dict[int, object] = field(default_factory=dict)


def decode_requester_frame(
    message: peers_pb2.FromRequester, received: ReceivedInternTable, now_s: float
) -> RequesterFrame:
    """Decode a requester's frame.

    :param message: The protobuf message.
    :param received: The interned entries received on this session; new ones
        are added.
    :param now_s: The current monotonic time, in seconds.
    :returns: The frame.
    :raises MalformedFrameError: The message violates the protocol.
    """
    for profile in message.profiles:
        _check(
            profile.tier <= MAX_TIER,
            f"tier {profile.tier} is above the highest tier, {MAX_TIER}",
        )
        _check(
            profile.team_weight > 0,
            f"team weight {profile.team_weight} is not above 0",
        )
        _store_interned(received, profile.id, profile)
    return RequesterFrame(
        sent_ms=message.sent_ms,
        echoed_ms=message.echoed_ms,
        hello=_decode_hello(message),
        heartbeat=_decode_heartbeat(message),
        withdrawn=list(message.withdrawn),
        releases=[_decode_release(entry) for entry in message.releases],
        left_groups=list(message.left_groups),
        attachments={
            entry.group: [
                _decode_held_slot(slot, received, now_s) for slot in entry.held
            ]
            for entry in message.attachments
        },
        requests=[
            _decode_request(entry, received, now_s) for entry in message.requests
        ],
    )


def decode_coordinator_frame(
    message: peers_pb2.FromHome, received: ReceivedInternTable
) -> CoordinatorFrame:
    """Decode a coordinator's frame.

    :param message: The protobuf message.
    :param received: The interned entries received on this session; new ones
        are added.
    :returns: The frame.
    :raises MalformedFrameError: The message violates the protocol.
    """
    for upstream in message.upstreams:
        _store_interned(received, upstream.id, upstream.name)
    return CoordinatorFrame(
        sent_ms=message.sent_ms,
        echoed_ms=message.echoed_ms,
        hello=_decode_hello(message),
        heartbeat=_decode_heartbeat(message),
        queued=list(message.queued),
        not_coordinator=list(message.not_home),
        grants=[
            SlotGrant(
                number=entry.number,
                upstream=_get_interned(received, entry.upstream, str),
            )
            for entry in message.grants
        ],
        refusals=[_decode_refusal(entry) for entry in message.refusals],
    )


def _decode_hello(message):
    if not message.HasField("hello"):
        return None
    hello = message.hello
    _check(
        0 < len(hello.name) <= MAX_NAME_CHARACTERS,
        f"the name in the hello has {len(hello.name)} characters; "
        f"1 to {MAX_NAME_CHARACTERS} are allowed",
    )
    return Hello(
        name=hello.name,
        data_centre=hello.data_centre,
        incarnation=hello.incarnation,
        host=hello.host,
        port=hello.port,
    )


def _decode_heartbeat(message):
    if not message.HasField("heartbeat"):
        return None
    heartbeat = message.heartbeat
    return Heartbeat(
        revision=heartbeat.revision,
        is_leaving=heartbeat.is_leaving,
        leaving_upstreams=tuple(heartbeat.leaving_upstreams),
        pools={
            pool.group: PoolSummary(
                queued=tuple(pool.queued),
                in_progress=tuple(pool.in_progress),
                free_slots=pool.free_slots,
                wait_s=tuple(wait_ms / MS_PER_S for wait_ms in pool.wait_ms),
            )
            for pool in heartbeat.pools
        },
    )


def _decode_release(entry):
    return SlotRelease(
        number=entry.number,
        report=WorkReport(
            result=_decode_result(entry.result),
            tokens=entry.tokens,
            first_token_s=(
                entry.first_token_ms / MS_PER_S
                if entry.HasField("first_token_ms")
                else None
            ),
            between_tokens_s=(
                entry.between_tokens_us / US_PER_S
                if entry.HasField("between_tokens_us")
                else None
            ),
        ),
    )


def _decode_result(value):
    name = peers_pb2.Result.DESCRIPTOR.values_by_number.get(value)
    result = WorkResult.__members__.get(name.name if name else "")
    _check(result is not None, f"unknown result {value} in a release")
    return result


def _decode_held_slot(slot, received, now_s):
    profile = _get_interned(received, slot.profile, peers_pb2.Profile)
    started_s = now_s - slot.age_ms / MS_PER_S
    return HeldSlot(
        number=slot.number,
        group=profile.group,
        upstream=slot.upstream,
        started_s=started_s,
        request=_make_request(
            profile,
            arrived_s=started_s,
            first_token_by_s=started_s,
            deadline_s=started_s,
            expected_tokens=slot.expected_tokens,
        ),
    )


def _decode_request(entry, received, now_s):
    profile = _get_interned(received, entry.profile, peers_pb2.Profile)
    return SlotRequest(
        number=entry.number,
        group=profile.group,
        request=_make_request(
            profile,
            arrived_s=now_s - entry.age_ms / MS_PER_S,
            first_token_by_s=now_s + entry.first_token_in_ms / MS_PER_S,
            deadline_s=now_s + entry.deadline_in_ms / MS_PER_S,
            expected_tokens=entry.expected_tokens,
            prefix_key=entry.prefix_key,
            excluded_upstreams=frozenset(entry.excluded_upstreams),
        ),
    )


def _make_request(profile, **fields):
    return WorkRequest(
        request_id="",
        target=profile.target,
        team=profile.team,
        team_weight=profile.team_weight,
        team_limit=profile.team_limit,
        service_class=profile.service_class,
        tier=profile.tier,
        max_wait_s=profile.max_wait_ms / MS_PER_S,
        between_tokens_target_s=profile.between_tokens_target_us / US_PER_S,
        is_idempotent=not profile.is_non_idempotent,
        **fields,
    )


def _decode_refusal(entry):
    try:
        reason = RefusalReason(entry.reason)
    except ValueError as error:
        raise MalformedFrameError(str(error)) from error
    return SlotRefusal(
        number=entry.number,
        refusal=Refusal(
            reason=reason,
            retry_after_s=entry.retry_after_ms / MS_PER_S,
            detail=entry.detail,
        ),
    )


def _store_interned(received, entry_id, value):
    _check(
        entry_id < MAX_INTERNED_ENTRIES,
        f"id {entry_id} of an interned entry is not below {MAX_INTERNED_ENTRIES}",
    )
    received.by_id[entry_id] = value


def _get_interned(received, entry_id, expected_type):
    value = received.by_id.get(entry_id)
    _check(
        isinstance(value, expected_type),
        f"no interned entry of the expected type has id {entry_id}",
    )
    return value


def _check(is_valid, problem):
    if not is_valid:
        raise MalformedFrameError(problem)
