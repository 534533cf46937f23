"""The coordinator's side of sessions: one gRPC stream for each connected requester."""

import asyncio
import contextlib
import logging
import socket
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field

from grpclib.exceptions import ProtocolError, StreamTerminatedError
from grpclib.server import Server

from jujubenotch.logs import log_event
from jujubenotch.peers.decode import ReceivedInternTable, decode_requester_frame
from jujubenotch.peers.encode import SentInternTable, encode_coordinator_frame
from jujubenotch.peers.errors import MalformedFrameError, PeerLostError
from jujubenotch.peers.link import SILENCE_TIMEOUT_S
from jujubenotch.peers.model import CoordinatorFrame, Heartbeat, Hello, RequesterFrame
from jujubenotch.peers.outbox import (
    FLUSH_DELAY_S,
    Outbox,
    get_pending_frame,
    run_sender,
)
from jujubenotch.peers.peers_grpc import PeersBase
from jujubenotch.peers.peers_pb2 import (
    FetchChangesReply,
    FetchTraceReply,
    PushChangesReply,
)
from jujubenotch.peers.sockets import set_peer_options

BACKLOG_CONNECTIONS = 512
CLOSE_TIMEOUT_S = 1.0

logger = logging.getLogger(__name__)

SESSION_ERRORS = (
    OSError,
    TimeoutError,
    ProtocolError,
    StreamTerminatedError,
    MalformedFrameError,
    PeerLostError,
)


@dataclass(kw_only=True)
class IncomingSession:
    """The session of one connected requester.

    :param hello: The requester's hello.
    :param outbox: Collects messages for the next frame to the requester.
    """

    hello: Hello
    outbox: Outbox = field(default_factory=lambda: Outbox(make_frame=CoordinatorFrame))


@dataclass(frozen=True, kw_only=True)
class PeerServiceCallbacks:
    """The callbacks that the peer service uses.

    :param read_hello: Returns the hello that identifies this instance.
    :param read_heartbeat: Returns the current heartbeat for a requester.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :param on_attached: Called for a new session; returns whether the session is
        accepted.
    :param on_frame: Called for each received frame, including the first.
    :param on_lost: Called when an accepted session has ended.
    :param read_changes_since: Returns the encoded configuration changes after a
        revision.
    :param read_trace: Returns the encoded trace of a request, or ``None``.
    :param apply_pushed_changes: Applies the configuration changes that a peer has
        pushed.
    """

    read_hello: Callable[[], Hello]
    read_heartbeat: Callable[[IncomingSession], Heartbeat]
    read_clock_s: Callable[[], float]
    on_attached: Callable[[IncomingSession], bool]
    on_frame: Callable[[IncomingSession, RequesterFrame], None]
    on_lost: Callable[[IncomingSession], None]
    read_changes_since: Callable[[int], list[bytes]]
    read_trace: Callable[[str], bytes | None]
    apply_pushed_changes: Callable[[list[bytes]], None]


class PeersService(PeersBase):
    """Serves the gRPC calls of other instances.

    :param callbacks: The callbacks of this instance.

    The event ``closing`` ends all sessions once it is set.

    >>> PeersService.__name__
    'PeersService'
    """

    def __init__(self, callbacks: PeerServiceCallbacks):
        self.callbacks = callbacks
        self.closing = asyncio.Event()

    async def Session(self, stream):  # noqa: N802
        """Serve one requester until it disconnects or stops sending frames.

        :param stream: The gRPC stream of the session.
        """
        callbacks = self.callbacks
        received = ReceivedInternTable()
        session = None
        try:
            message = await _receive(stream)
            frame = decode_requester_frame(message, received, callbacks.read_clock_s())
            session = _open_session(callbacks, frame)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(_send(session, callbacks, stream))
                tasks.create_task(_serve(session, callbacks, stream, received, frame))
                tasks.create_task(_end_on_closing(self.closing))
        except* SESSION_ERRORS as group:
            log_event(
                logger,
                logging.INFO,
                "requester-session-ended",
                peer=session.hello.name if session else "unknown",
                cause=repr(group.exceptions[0]),
            )
        finally:
            if session is not None:
                callbacks.on_lost(session)

    async def FetchChanges(self, stream):  # noqa: N802
        """Reply with the configuration changes after a revision.

        :param stream: The gRPC stream of the call.
        """
        request = await stream.recv_message()
        changes = self.callbacks.read_changes_since(request.after_revision)
        await stream.send_message(FetchChangesReply(changes=changes))

    async def PushChanges(self, stream):  # noqa: N802
        """Apply configuration changes pushed by a peer.

        A peer pushes changes because this instance may be unable to connect to
        the peer and fetch them.

        :param stream: The gRPC stream of the call.
        """
        request = await stream.recv_message()
        self.callbacks.apply_pushed_changes(list(request.changes))
        await stream.send_message(PushChangesReply())

    async def FetchTrace(self, stream):  # noqa: N802
        """Reply with the trace of a request.

        :param stream: The gRPC stream of the call.
        """
        request = await stream.recv_message()
        trace = self.callbacks.read_trace(request.request_id)
        await stream.send_message(
            FetchTraceReply(is_found=trace is not None, trace=trace or b"")
        )


@dataclass(frozen=True, kw_only=True)
class PeersListener:
    """A running peer service and its server; stop it with :func:`stop_service`."""

    server: Server
    service: PeersService


async def start_service(
    callbacks: PeerServiceCallbacks,
    bound_socket: socket.socket,
    tls: ssl.SSLContext | None,
) -> PeersListener:
    """Start to serve peers on a socket that is already bound.

    :param callbacks: The callbacks of this instance.
    :param bound_socket: The bound socket.
    :param tls: The TLS context; with ``None``, connections are in plain text.
    :returns: The listener; stop it with :func:`stop_service`.
    """
    set_peer_options(bound_socket)
    service = PeersService(callbacks)
    server = Server([service])
    await server.start(sock=bound_socket, ssl=tls, backlog=BACKLOG_CONNECTIONS)
    return PeersListener(server=server, service=service)


async def stop_service(listener: PeersListener) -> None:
    """End all sessions and stop listening.

    :param listener: The listener.
    """
    listener.service.closing.set()
    # Gives each session time to end its stream, so that requesters notice.
    await asyncio.sleep(FLUSH_DELAY_S)
    server = listener.server
    server.close()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await server.wait_closed()


def _open_session(callbacks, frame):
    if frame.hello is None:
        raise MalformedFrameError("the requester's first frame has no hello")
    session = IncomingSession(hello=frame.hello)
    session.outbox.received_ms = frame.sent_ms
    if not callbacks.on_attached(session):
        raise PeerLostError(
            f"session refused: incarnation {frame.hello.incarnation} of requester "
            f"{frame.hello.name!r} is older than its live incarnation"
        )
    get_pending_frame(session.outbox).hello = callbacks.read_hello()
    return session


async def _end_on_closing(closing):
    await closing.wait()
    raise PeerLostError("this instance is stopping")


async def _receive(stream):
    async with asyncio.timeout(SILENCE_TIMEOUT_S):
        message = await stream.recv_message()
    if message is None:
        raise PeerLostError("the requester ended the session")
    return message


async def _serve(session, callbacks, stream, received, frame):
    while True:
        session.outbox.received_ms = frame.sent_ms
        callbacks.on_frame(session, frame)
        message = await _receive(stream)
        frame = decode_requester_frame(message, received, callbacks.read_clock_s())


async def _send(session, callbacks, stream):
    sent = SentInternTable()

    async def send(frame):
        message = encode_coordinator_frame(frame, sent, callbacks.read_clock_s())
        await stream.send_message(message)

    await run_sender(
        session.outbox,
        send=send,
        read_heartbeat=lambda: callbacks.read_heartbeat(session),
        read_clock_s=callbacks.read_clock_s,
    )
