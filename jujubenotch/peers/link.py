"""The requester's side of sessions: one task for each peer keeps a session open."""

import asyncio
import contextlib
import logging
import random
import ssl
from collections.abc import Callable
from dataclasses import dataclass

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from jujubenotch.logs import log_event
from jujubenotch.peers.decode import ReceivedInternTable, decode_coordinator_frame
from jujubenotch.peers.encode import SentInternTable, encode_requester_frame
from jujubenotch.peers.errors import MalformedFrameError, PeerError, PeerLostError
from jujubenotch.peers.model import CoordinatorFrame, Heartbeat, Hello, RequesterFrame
from jujubenotch.peers.outbox import MS_PER_S, Outbox, get_pending_frame, run_sender
from jujubenotch.peers.peers_grpc import PeersStub
from jujubenotch.peers.peers_pb2 import (
    FetchChangesRequest,
    FetchTraceRequest,
    PushChangesRequest,
)
from jujubenotch.peers.sockets import PeerChannel

SILENCE_TIMEOUT_S = 1.5
FETCH_TIMEOUT_S = 2.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
MAX_BACKOFF_DOUBLINGS = 6

logger = logging.getLogger(__name__)

TRANSPORT_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    MalformedFrameError,
    PeerLostError,
)


@dataclass(kw_only=True)
class OutgoingLink:
    """A peer and the state of this instance's session to it.

    :param outbox: Collects messages for the next frame; ``None`` between
        sessions.
    :param is_attached: Whether a session is open and the peer has answered.
    :param incarnation: The peer's incarnation, from its latest hello.
    :param echoed_s: The latest timestamp of this process that the peer has
        echoed, in seconds on this process's monotonic clock.
    :param delay_s: Estimated one-way delay, in seconds: half of the session's
        first round trip.
    :param heartbeat: The peer's latest heartbeat; ``None`` between sessions.
    :param heartbeat_s: When that heartbeat arrived, in seconds on this
        process's monotonic clock.
    :param channel: The open connection, for unary calls; ``None`` while there
        is none.

    >>> OutgoingLink(name="b", host="10.0.0.2", port=7000).is_attached
    False
    """

    name: str
    host: str
    port: int
    outbox: Outbox | None = None
    is_attached: bool = False
    incarnation: int = 0
    echoed_s: float = 0.0
    delay_s: float = 0.0
    heartbeat: Heartbeat | None = None
    heartbeat_s: float = 0.0
    channel: PeerChannel | None = None


@dataclass(frozen=True, kw_only=True)
class LinkCallbacks:
    """The callbacks and settings shared by all links of an instance.

    :param read_hello: Returns the hello that identifies this instance.
    :param read_heartbeat: Returns the current heartbeat for peers.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :param on_attached: Called when a peer has answered on a new session.
    :param on_frame: Called for each received frame, including the first.
    :param on_lost: Called when an attached session has ended.
    :param tls: The TLS context; with ``None``, connections are in plain text.
    """

    read_hello: Callable[[], Hello]
    read_heartbeat: Callable[[], Heartbeat]
    read_clock_s: Callable[[], float]
    on_attached: Callable[[OutgoingLink, Hello], None]
    on_frame: Callable[[OutgoingLink, CoordinatorFrame], None]
    on_lost: Callable[[OutgoingLink], None]
    tls: ssl.SSLContext | None = None


async def run_outgoing_link(link: OutgoingLink, callbacks: LinkCallbacks) -> None:
    """Keep a session open to a peer, reconnecting with back-off, until cancelled.

    :param link: The link to the peer.
    :param callbacks: The callbacks shared by all links.
    """
    failures = 0
    while True:
        try:
            await _run_in_separate_task(_run_session(link, callbacks))
        except* TRANSPORT_ERRORS as group:
            log_event(
                logger,
                logging.INFO if failures else logging.WARNING,
                "peer-session-ended",
                peer=link.name,
                was_attached=link.is_attached,
                cause=repr(group.exceptions[0]),
            )
        except* Exception:
            # An error while handling one frame must not stop reconnecting.
            logger.exception(
                "peer-session-failed", extra={"fields": {"peer": link.name}}
            )
        failures = 1 if link.is_attached else failures + 1
        _detach(link, callbacks)
        await asyncio.sleep(choose_backoff_s(failures, random.random()))


async def _run_in_separate_task(coroutine):
    """Run a session in a separate task.

    This works around two defects of ``asyncio.TaskGroup`` in Python 3.11. If a
    child fails in the same event-loop iteration in which the group is cancelled,
    the group raises only the child's error and the cancellation is lost. If a
    child fails, the task that runs the group stays marked as being cancelled.
    In a separate task, neither affects the task that awaits this function.
    """
    task = asyncio.create_task(coroutine)
    try:
        await asyncio.wait({task})
    except asyncio.CancelledError:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        raise
    task.result()


def choose_backoff_s(failures: int, fraction: float) -> float:
    """Choose the delay before the next connection attempt.

    The upper bound of the delay doubles with each failure up to a maximum.

    :param failures: The number of sessions that failed since the last one that
        was attached; at least 1.
    :param fraction: A random number between 0 and 1, for the jitter.
    :returns: The delay in seconds, between half of the bound and the bound.
    """
    doublings = min(failures - 1, MAX_BACKOFF_DOUBLINGS)
    bound_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**doublings)
    return bound_s * (1 + fraction) / 2


async def fetch_changes(link: OutgoingLink, after_revision: int) -> list[bytes]:
    """Fetch the configuration changes after a revision from a peer.

    :param link: The link to the peer; it must be attached.
    :param after_revision: The last revision that the caller already has.
    :returns: The encoded changes, in order.
    :raises PeerError: The peer did not answer within 2 s, or no session is open.
    """
    request = FetchChangesRequest(after_revision=after_revision)
    with _translate_errors(link):
        stub = PeersStub(_require_channel(link))
        reply = await stub.FetchChanges(request, timeout=FETCH_TIMEOUT_S)
    return list(reply.changes)


async def push_changes(link: OutgoingLink, changes: list[bytes]) -> None:
    """Send a peer the configuration changes that it lacks.

    :param link: The link to the peer; it must be attached.
    :param changes: The encoded changes, in order.
    :raises PeerError: The peer did not answer within 2 s, or no session is open.
    """
    with _translate_errors(link):
        stub = PeersStub(_require_channel(link))
        request = PushChangesRequest(changes=changes)
        await stub.PushChanges(request, timeout=FETCH_TIMEOUT_S)


async def fetch_trace(link: OutgoingLink, request_id: str) -> bytes | None:
    """Fetch the trace of a request from a peer.

    :param link: The link to the peer; it must be attached.
    :param request_id: The id of the request.
    :returns: The encoded trace; ``None`` if the peer has no trace of the request.
    :raises PeerError: The peer did not answer within 2 s, or no session is open.
    """
    request = FetchTraceRequest(request_id=request_id)
    with _translate_errors(link):
        stub = PeersStub(_require_channel(link))
        reply = await stub.FetchTrace(request, timeout=FETCH_TIMEOUT_S)
    return reply.trace if reply.is_found else None


def _require_channel(link):
    if link.channel is None:
        raise PeerLostError(f"no session with peer {link.name!r} is open")
    return link.channel


@contextlib.contextmanager
def _translate_errors(link):
    try:
        yield
    except (OSError, TimeoutError, GRPCError, StreamTerminatedError) as error:
        raise PeerError(f"call to peer {link.name!r} failed: {error!r}") from error


async def _run_session(link, callbacks):
    channel = PeerChannel(link.host, link.port, ssl=callbacks.tls)
    try:
        async with PeersStub(channel).Session.open() as stream:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                await stream.send_request()
            link.channel = channel
            link.outbox = Outbox(make_frame=RequesterFrame)
            get_pending_frame(link.outbox).hello = callbacks.read_hello()
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(_send(link, callbacks, stream))
                tasks.create_task(_receive(link, callbacks, stream))
    finally:
        link.channel = None
        channel.close()


async def _send(link, callbacks, stream):
    sent = SentInternTable()

    async def send(frame):
        message = encode_requester_frame(frame, sent, callbacks.read_clock_s())
        await stream.send_message(message)

    await run_sender(
        link.outbox,
        send=send,
        read_heartbeat=callbacks.read_heartbeat,
        read_clock_s=callbacks.read_clock_s,
    )


async def _receive(link, callbacks, stream):
    received = ReceivedInternTable()
    while True:
        async with asyncio.timeout(SILENCE_TIMEOUT_S):
            message = await stream.recv_message()
        if message is None:
            raise PeerLostError(f"peer {link.name!r} ended the session")
        frame = decode_coordinator_frame(message, received)
        link.outbox.received_ms = frame.sent_ms
        link.echoed_s = max(link.echoed_s, frame.echoed_ms / MS_PER_S)
        if not link.is_attached:
            _attach(link, callbacks, frame)
        if frame.heartbeat is not None:
            link.heartbeat = frame.heartbeat
            link.heartbeat_s = callbacks.read_clock_s()
        callbacks.on_frame(link, frame)


def _attach(link, callbacks, frame):
    if frame.hello is None or frame.hello.name != link.name:
        raise MalformedFrameError(
            f"the first frame from peer {link.name!r} has no hello with that name"
        )
    link.is_attached = True
    link.delay_s = max(0.0, callbacks.read_clock_s() - link.echoed_s) / 2
    link.incarnation = frame.hello.incarnation
    callbacks.on_attached(link, frame.hello)


def _detach(link, callbacks):
    link.outbox = None
    link.heartbeat = None
    if link.is_attached:
        link.is_attached = False
        callbacks.on_lost(link)
