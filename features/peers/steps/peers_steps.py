import asyncio
import datetime
import ipaddress
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from jujubenotch.admission import PoolSummary, WorkReport, WorkRequest, WorkResult
from jujubenotch.listeners import bind_socket
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.peers import (
    Heartbeat,
    HeldSlot,
    Hello,
    HomeFrame,
    Link,
    LinkContext,
    MalformedFrameError,
    Outbox,
    PeerLostError,
    RequesterFrame,
    ServiceContext,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    choose_backoff_s,
    open_frame,
    peers_pb2,
    run_link,
    start_service,
    stop_service,
)
from jujubenotch.peers.decode import (
    ReceivedNames,
    decode_home_frame,
    decode_requester_frame,
)
from jujubenotch.peers.encode import (
    SentNames,
    encode_home_frame,
    encode_requester_frame,
)
from jujubenotch.settings import MutualTlsSettings, make_peer_contexts

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
heads = {
    "sent_ms": numbers,
    "echoed_ms": numbers,
    "hello": st.none() | hellos,
    "heartbeat": st.none() | heartbeats,
}
requester_frames = st.builds(
    RequesterFrame,
    **heads,
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
home_frames = st.builds(
    HomeFrame,
    **heads,
    queued=st.lists(numbers, max_size=2),
    not_home=st.lists(names, max_size=2),
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


@then("{count:d} random frames of requesters are read as written")
def check_requester_frames(context, count):
    sent, received = SentNames(), ReceivedNames()

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


@then("{count:d} random frames of homes are read as written")
def check_home_frames(context, count):
    sent, received = SentNames(), ReceivedNames()

    @settings(derandomize=True, database=None, max_examples=count)
    @for_all(home_frames)
    def check(frame):
        message = encode_home_frame(frame, sent, NOW_S)
        message = peers_pb2.FromHome.FromString(message.SerializeToString())
        assert decode_home_frame(message, received) == frame

    check()


@then("the second of 2 like requests takes at most {bound_bytes:d} bytes")
def check_interned(context, bound_bytes):
    sent = SentNames()
    sizes = []
    for number in (1, 2):
        asked = SlotRequest(number=number, group="north/m", request=make_request())
        frame = RequesterFrame(requests=[asked])
        message = encode_requester_frame(frame, sent, NOW_S)
        sizes.append(message.ByteSize())
    assert sizes[1] <= bound_bytes < sizes[0], sizes


@then("a frame with {fault} is refused")
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
            decode_home_frame(message, ReceivedNames())
        else:
            decode_requester_frame(message, ReceivedNames(), NOW_S)
    except MalformedFrameError:
        return
    raise AssertionError(f"{fault} was let in")


@then(
    "a frame opened at stamp {seen:d} echoes {echoed:d} though {later:d} is received "
    "before its flush"
)
def check_echo(context, seen, echoed, later):
    outbox = Outbox(make_frame=HomeFrame, received_ms=seen)
    open_frame(outbox).grants.append(SlotGrant(number=1, upstream="u"))
    outbox.received_ms = later
    assert open_frame(outbox).echoed_ms == echoed


@then("back-off is between {least_s:g} and {most_s:g} s and grows")
def check_backoff(context, least_s, most_s):
    bounds = [choose_backoff_s(failures, 0.0) for failures in range(1, 40)]
    assert bounds == sorted(bounds) and bounds[0] >= least_s
    assert max(choose_backoff_s(failures, 1.0) for failures in range(1, 40)) <= most_s


def make_authority(directory, name):
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = sign(name, key, name, key, is_authority=True)
    path = directory / f"{name}.pem"
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    return path, key


def sign(name, key, issuer, issuer_key, *, is_authority=False):
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    return (
        x509.CertificateBuilder()
        .subject_name(x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]))
        .issuer_name(x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, issuer)]))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(hours=1))
        .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(issuer_key, hashes.SHA256())
    )


def issue(directory, name, authority, authority_key):
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = sign(name, key, authority.stem, authority_key)
    pem = serialization.Encoding.PEM
    (directory / f"{name}.crt").write_bytes(certificate.public_bytes(pem))
    (directory / f"{name}.key").write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return str(directory / f"{name}.crt"), str(directory / f"{name}.key")


def start_loop(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.bound = bind_socket("127.0.0.1", 0)


def start_listener(context, tls):
    service = ServiceContext(
        read_hello=lambda: Hello(name="home", data_centre="north", incarnation=1),
        read_heartbeat=lambda session: Heartbeat(),
        read_clock_s=context.loop.time,
        on_attached=lambda session: True,
        on_frame=lambda session, frame: None,
        on_lost=lambda session: None,
        read_changes_since=lambda revision: [],
        take_changes=lambda changes: None,
        read_trace=lambda request_id: None,
    )
    start = start_service(service, context.bound, tls)
    listener = context.loop.run_until_complete(start)
    context.add_cleanup(lambda: context.loop.run_until_complete(stop_service(listener)))


def connect(context, tls):
    context.attached = asyncio.Event()
    context.link = Link(
        name="home", host="127.0.0.1", port=context.bound.getsockname()[1]
    )
    links = LinkContext(
        read_hello=lambda: Hello(name="r", data_centre="north", incarnation=1),
        read_heartbeat=Heartbeat,
        read_clock_s=context.loop.time,
        on_attached=lambda link, hello: context.attached.set(),
        on_frame=lambda link, frame: None,
        on_lost=lambda link: None,
        tls=tls,
    )
    context.task = context.loop.create_task(run_link(context.link, links))
    context.add_cleanup(lambda: end(context))


def end(context):
    context.task.cancel()
    context.loop.run_until_complete(
        asyncio.gather(context.task, return_exceptions=True)
    )


def wait_attached(context, bound_s):
    async def wait():
        async with asyncio.timeout(bound_s):
            await context.attached.wait()

    context.loop.run_until_complete(wait())


@given("a listener that wants certificates of its authority")
def start_tls_listener(context):
    start_loop(context)
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = Path(directory.name)
    context.authority, context.key = make_authority(context.directory, "ours")
    certificate, key = issue(context.directory, "h", context.authority, context.key)
    tls = MutualTlsSettings(certificate=certificate, key=key, ca=str(context.authority))
    start_listener(context, make_peer_contexts(tls).server)


@when("a peer connects with a certificate of that authority")
def connect_with_certificate(context):
    certificate, key = issue(context.directory, "r", context.authority, context.key)
    tls = MutualTlsSettings(certificate=certificate, key=key, ca=str(context.authority))
    connect(context, make_peer_contexts(tls).client)


@when("a peer connects with a certificate of another authority")
def connect_with_other(context):
    other, other_key = make_authority(context.directory, "theirs")
    certificate, key = issue(context.directory, "r", other, other_key)
    tls = MutualTlsSettings(certificate=certificate, key=key, ca=str(context.authority))
    connect(context, make_peer_contexts(tls).client)


@then("a session is open")
def check_open(context):
    wait_attached(context, 3.0)


@then("no session opens within {bound_s:g} s")
def check_closed(context, bound_s):
    try:
        wait_attached(context, bound_s)
    except TimeoutError:
        return
    raise AssertionError("a session opened")


@given("a listener that never answers")
def start_silent(context):
    start_loop(context)
    context.bound.listen()
    context.add_cleanup(context.bound.close)


@when("a peer connects")
def connect_plain(context):
    connect(context, None)


@then("its session has ended within {bound_s:g} s")
def check_ended(context, bound_s):
    async def wait(holds):
        async with asyncio.timeout(bound_s):
            while not holds():
                await asyncio.sleep(0.01)

    context.loop.run_until_complete(wait(lambda: context.link.channel is not None))
    context.loop.run_until_complete(wait(lambda: context.link.channel is None))


@given("a link whose session fails in the turn in which it is cancelled")
def give_failing_link(context):
    async def fail_when_cancelled(link, link_context):
        async def fail():
            try:
                await asyncio.sleep(60)
            finally:
                raise PeerLostError("the peer has gone")

        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fail())

    context.run_session = fail_when_cancelled


@when("the link is cancelled")
def cancel_link(context):
    async def cancel():
        link = Link(name="b", host="127.0.0.1", port=1)
        task = asyncio.create_task(run_link(link, mock.Mock()))
        await asyncio.sleep(0.01)
        task.cancel()
        done, _ = await asyncio.wait({task}, timeout=3.0)
        task.cancel()
        return done

    with mock.patch("jujubenotch.peers.link._run_session", context.run_session):
        context.done = asyncio.run(cancel())


@then("it has ended")
def check_link_ended(context):
    (task,) = context.done
    assert task.cancelled()


@given("a link whose first session fails")
def give_link_that_fails_once(context):
    context.sessions = []

    async def fail_first(link, link_context):
        async def fail():
            raise PeerLostError("the peer has gone")

        context.sessions.append(link)
        if len(context.sessions) > 1:
            await asyncio.sleep(60)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fail())

    context.run_session = fail_first


@when("its back-off has passed")
def pass_backoff(context):
    async def run_twice():
        link = Link(name="b", host="127.0.0.1", port=1)
        task = asyncio.create_task(run_link(link, mock.Mock()))
        async with asyncio.timeout(5.0):
            while len(context.sessions) < 2 and not task.done():
                await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait({task}, timeout=3.0)

    with mock.patch("jujubenotch.peers.link._run_session", context.run_session):
        asyncio.run(run_twice())


@then("it has begun a second session")
def check_second_session(context):
    assert len(context.sessions) == 2, context.sessions
