"""Encodes frames as protobuf messages, with times as durations.

Values that many messages share (request profiles and upstream names) are
interned: each is sent in full once in a session and by its id afterwards.
"""

from dataclasses import dataclass, field

from jujubenotch.peers import peers_pb2
from jujubenotch.peers.model import (
    CoordinatorFrame,
    Heartbeat,
    Hello,
    RequesterFrame,
)

MAX_INTERNED_ENTRIES = 4096
MS_PER_S = 1000.0
US_PER_S = 1_000_000.0
MAX_UINT32 = 0xFFFFFFFF


@dataclass(kw_only=True)
class SentInternTable:
    """The values already sent in full on one session, and their ids.

    Ids are assigned round-robin and reused, so that the tables of both the
    sender and the receiver stay bounded.

    :param ids: The id of each value.
    :param keys: The value of each id.
    :param next_id: The id for the next new value; it may be in use by an older
        value, which is then dropped.

    >>> SentInternTable().next_id
    0
    """

    ids: dict[object, int] = field(default_factory=dict)
    keys: dict[int, object] = field(default_factory=dict)
    next_id: int = 0


def encode_requester_frame(
    frame: RequesterFrame, sent: SentInternTable, now_s: float
) -> peers_pb2.FromRequester:
    """Encode a requester's frame.

    :param frame: The frame.
    :param sent: The values already sent on this session; new ones are added.
    :param now_s: The current monotonic time, in seconds.
    :returns: The protobuf message.
    """
    message = peers_pb2.FromRequester(
        sent_ms=frame.sent_ms,
        echoed_ms=frame.echoed_ms or 0,
        withdrawn=frame.withdrawn,
        left_groups=frame.left_groups,
    )
    _encode_common_fields(message, frame)
    for release in frame.releases:
        _encode_release(message.releases.add(), release)
    for group, held in frame.attachments.items():
        attachment = message.attachments.add(group=group)
        for slot in held:
            attachment.held.add(
                number=slot.number,
                profile=_intern_profile(message, sent, group, slot.request),
                upstream=slot.upstream,
                age_ms=_to_ms(now_s - slot.started_s),
                expected_tokens=slot.request.expected_tokens,
            )
    for entry in frame.requests:
        _encode_request(message, sent, entry, now_s)
    return message


def encode_coordinator_frame(
    frame: CoordinatorFrame, sent: SentInternTable, now_s: float
) -> peers_pb2.FromHome:
    """Encode a coordinator's frame.

    :param frame: The frame.
    :param sent: The values already sent on this session; new ones are added.
    :param now_s: The current monotonic time, in seconds.
    :returns: The protobuf message.
    """
    message = peers_pb2.FromHome(
        sent_ms=frame.sent_ms,
        echoed_ms=frame.echoed_ms or 0,
        queued=frame.queued,
        not_home=frame.not_coordinator,
    )
    _encode_common_fields(message, frame)
    for grant in frame.grants:
        name_id, is_new = _intern(sent, grant.upstream)
        if is_new:
            message.upstreams.add(id=name_id, name=grant.upstream)
        message.grants.add(number=grant.number, upstream=name_id)
    for entry in frame.refusals:
        message.refusals.add(
            number=entry.number,
            reason=entry.refusal.reason,
            retry_after_ms=_to_ms(entry.refusal.retry_after_s),
            detail=entry.refusal.detail,
        )
    return message


def _encode_common_fields(message, frame):
    if frame.hello is not None:
        _encode_hello(message.hello, frame.hello)
    if frame.heartbeat is not None:
        _encode_heartbeat(message.heartbeat, frame.heartbeat)


def _encode_hello(message, hello: Hello):
    message.name = hello.name
    message.data_centre = hello.data_centre
    message.incarnation = hello.incarnation
    message.host = hello.host
    message.port = hello.port


def _encode_heartbeat(message, heartbeat: Heartbeat):
    message.SetInParent()
    message.revision = heartbeat.revision
    message.is_leaving = heartbeat.is_leaving
    message.leaving_upstreams.extend(heartbeat.leaving_upstreams)
    for group, summary in heartbeat.pools.items():
        message.pools.add(
            group=group,
            queued=summary.queued,
            in_progress=summary.in_progress,
            free_slots=summary.free_slots,
            wait_ms=[_to_ms(wait_s) for wait_s in summary.wait_s],
        )


def _encode_release(message, release):
    report = release.report
    message.number = release.number
    message.result = peers_pb2.Result.Value(report.result.name)
    message.tokens = report.tokens
    if report.first_token_s is not None:
        message.first_token_ms = _to_ms(report.first_token_s)
    if report.between_tokens_s is not None:
        message.between_tokens_us = _to_us(report.between_tokens_s)


def _encode_request(message, sent, entry, now_s):
    request = entry.request
    message.requests.add(
        number=entry.number,
        profile=_intern_profile(message, sent, entry.group, request),
        age_ms=_to_ms(now_s - request.arrived_s),
        first_token_in_ms=round((request.first_token_by_s - now_s) * MS_PER_S),
        deadline_in_ms=round((request.deadline_s - now_s) * MS_PER_S),
        expected_tokens=request.expected_tokens,
        prefix_key=request.prefix_key,
        excluded_upstreams=sorted(request.excluded_upstreams),
    )


def _intern_profile(message, sent, group, request):
    key = (
        group,
        request.target,
        request.team,
        request.team_weight,
        request.team_limit,
        request.service_class,
        request.tier,
        request.max_wait_s,
        request.between_tokens_target_s,
        request.is_idempotent,
    )
    profile_id, is_new = _intern(sent, key)
    if is_new:
        message.profiles.add(
            id=profile_id,
            group=group,
            target=request.target,
            team=request.team,
            team_weight=request.team_weight,
            team_limit=request.team_limit,
            service_class=request.service_class,
            tier=request.tier,
            max_wait_ms=_to_ms(request.max_wait_s),
            between_tokens_target_us=_to_us(request.between_tokens_target_s),
            is_non_idempotent=not request.is_idempotent,
        )
    return profile_id


def _intern(sent, key):
    known_id = sent.ids.get(key)
    if known_id is not None:
        return known_id, False
    new_id = sent.next_id
    sent.next_id = (new_id + 1) % MAX_INTERNED_ENTRIES
    evicted_key = sent.keys.pop(new_id, None)
    if evicted_key is not None:
        del sent.ids[evicted_key]
    sent.ids[key] = new_id
    sent.keys[new_id] = key
    return new_id, True


def _to_ms(duration_s):
    return min(MAX_UINT32, max(0, round(duration_s * MS_PER_S)))


def _to_us(duration_s):
    return min(MAX_UINT32, max(0, round(duration_s * US_PER_S)))
