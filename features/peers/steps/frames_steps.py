from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from jujubenotch.admission import PoolSummary, WorkReport, WorkRequest, WorkResult
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.peers import (
    CoordinatorFrame,
    Heartbeat,
    HeldSlot,
    Hello,
    MalformedFrameError,
    Outbox,
    RequesterFrame,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    choose_backoff_s,
    get_pending_frame,
    peers_pb2,
)
from jujubenotch.peers.decode import (
    ReceivedInternTable,
    decode_coordinator_frame,
    decode_requester_frame,
)
from jujubenotch.peers.encode import (
    SentInternTable,
    encode_coordinator_frame,
    encode_requester_frame,
)

NOW_S = 1000.0
numbers = st.integers(0, 2**40)
names = st.text("abc/-", min_size=1, max_size=5)
times_s = st.integers(0, 5000).map(lambda ms: ms / 1000)


def make_request(target="m", tier=1, **fields):
    return WorkRequest(
        **{
            "request_id": "",
            "target": target,
            "team": "t",
            "team_weight": 1.5,
            "team_limit": 3,
            "service_class": "c",
            "tier": tier,
            "arrived_s": NOW_S - 0.25,
            "first_token_by_s": NOW_S + 1,
            "deadline_s": NOW_S + 30,
            "max_wait_s": 2.0,
            "expected_tokens": 100,
            **fields,
        }
    )


requests = st.builds(
    make_request,
    target=names,
    tier=st.integers(0, 3),
    arrived_s=times_s.map(lambda age_s: NOW_S - age_s),
    first_token_by_s=st.integers(-9, 9).map(lambda s: NOW_S + s),
    prefix_key=st.text(max_size=3),
    between_tokens_target_s=times_s,
    is_idempotent=st.booleans(),
    excluded_upstreams=st.frozensets(names, max_size=2),
)
reports = st.builds(
    WorkReport,
    result=st.sampled_from(WorkResult),
    tokens=st.integers(0, 1000),
    first_token_s=st.none() | times_s,
    between_tokens_s=st.none() | times_s,
)
heartbeats = st.builds(
    Heartbeat,
    revision=numbers,
    is_leaving=st.booleans(),
    leaving_upstreams=st.lists(names, max_size=2).map(tuple),
    pools=st.dictionaries(
        names,
        st.builds(
            PoolSummary,
            queued=st.just((1, 2, 0, 9)),
            in_progress=st.just((0, 0, 4, 1)),
            free_slots=st.integers(0, 9),
            wait_s=st.just((0.0, 0.5, 1.0, 2.25)),
        ),
        max_size=2,
    ),
)
hellos = st.builds(
    Hello, name=names, data_centre=names, incarnation=numbers, host=names
)
common_fields = {
    "sent_ms": numbers,
    "echoed_ms": numbers,
    "hello": st.none() | hellos,
    "heartbeat": st.none() | heartbeats,
}
requester_frames = st.builds(
    RequesterFrame,
    **common_fields,
    withdrawn=st.lists(numbers, max_size=2),
    releases=st.lists(
        st.builds(SlotRelease, number=numbers, report=reports), max_size=2
    ),
    left_groups=st.lists(names, max_size=2),
    requests=st.lists(
        st.builds(SlotRequest, number=numbers, group=names, request=requests),
        max_size=3,
    ),
    attachments=st.dictionaries(names, st.just([]), max_size=2),
)
coordinator_frames = st.builds(
    CoordinatorFrame,
    **common_fields,
    queued=st.lists(numbers, max_size=2),
    not_coordinator=st.lists(names, max_size=2),
    grants=st.lists(st.builds(SlotGrant, number=numbers, upstream=names), max_size=3),
    refusals=st.lists(
        st.builds(
            SlotRefusal,
            number=numbers,
            refusal=st.builds(
                Refusal,
                reason=st.sampled_from(RefusalReason),
                retry_after_s=times_s,
                detail=st.text(max_size=4),
            ),
        ),
        max_size=2,
    ),
)


@then("{count:d} random frames of requesters are equal after encoding and decoding")
def check_requester_frames(context, count):
    sent, received = SentInternTable(), ReceivedInternTable()

    @settings(derandomize=True, database=None, max_examples=count)
    @for_all(requester_frames)
    def check(frame):
        message = encode_requester_frame(frame, sent, NOW_S)
        message = peers_pb2.FromRequester.FromString(message.SerializeToString())
        assert decode_requester_frame(message, received, NOW_S) == frame

    check()
    held = HeldSlot(
        number=7,
        group="g",
        upstream="u",
        started_s=NOW_S - 2,
        request=make_request(
            arrived_s=NOW_S - 2, first_token_by_s=NOW_S - 2, deadline_s=NOW_S - 2
        ),
    )
    frame = RequesterFrame(echoed_ms=1, attachments={"g": [held]})
    message = encode_requester_frame(frame, sent, NOW_S)
    assert decode_requester_frame(message, received, NOW_S) == frame


@then("{count:d} random frames of coordinators are equal after encoding and decoding")
def check_coordinator_frames(context, count):
    sent, received = SentInternTable(), ReceivedInternTable()

    @settings(derandomize=True, database=None, max_examples=count)
    @for_all(coordinator_frames)
    def check(frame):
        message = encode_coordinator_frame(frame, sent, NOW_S)
        message = peers_pb2.FromHome.FromString(message.SerializeToString())
        assert decode_coordinator_frame(message, received) == frame

    check()


@then("the second of 2 similar requests takes at most {bound_bytes:d} bytes")
def check_interned(context, bound_bytes):
    sent = SentInternTable()
    sizes = []
    for number in (1, 2):
        slot_request = SlotRequest(
            number=number, group="north/m", request=make_request()
        )
        frame = RequesterFrame(requests=[slot_request])
        message = encode_requester_frame(frame, sent, NOW_S)
        sizes.append(message.ByteSize())
    assert sizes[1] <= bound_bytes < sizes[0], sizes


@then("a frame with {fault} is rejected")
def check_fault(context, fault):
    message = peers_pb2.FromRequester()
    if fault == "an unknown profile":
        message.requests.add(number=1, profile=5)
    elif fault == "a tier of 9":
        message.profiles.add(id=1, tier=9, team_weight=1)
    elif fault == "an unknown result":
        message.releases.add(number=1)
    elif fault == "too high a number":
        message.profiles.add(id=1 << 20, tier=1, team_weight=1)
    else:
        message = peers_pb2.FromHome()
        message.refusals.add(number=1, reason="weather")
    try:
        if isinstance(message, peers_pb2.FromHome):
            decode_coordinator_frame(message, ReceivedInternTable())
        else:
            decode_requester_frame(message, ReceivedInternTable(), NOW_S)
    except MalformedFrameError:
        return
    raise AssertionError(f"a frame with {fault} was accepted")


@then(
    "a frame opened at timestamp {seen:d} echoes {echoed:d} although {later:d} is "
    "received before its flush"
)
def check_echo(context, seen, echoed, later):
    outbox = Outbox(make_frame=CoordinatorFrame, received_ms=seen)
    get_pending_frame(outbox).grants.append(SlotGrant(number=1, upstream="u"))
    outbox.received_ms = later
    assert get_pending_frame(outbox).echoed_ms == echoed


@then("the back-off is between {least_s:g} and {most_s:g} s and grows")
def check_backoff(context, least_s, most_s):
    bounds = [choose_backoff_s(failures, 0.0) for failures in range(1, 40)]
    assert bounds == sorted(bounds) and bounds[0] >= least_s
    assert max(choose_backoff_s(failures, 1.0) for failures in range(1, 40)) <= most_s
