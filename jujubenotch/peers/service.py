"""The home's end of sessions: one task for each connected requester."""

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
from jujubenotch.peers.decode import ReceivedNames, decode_requester_frame
from jujubenotch.peers.encode import SentNames, encode_home_frame
from jujubenotch.peers.errors import MalformedFrameError, PeerLostError
from jujubenotch.peers.link import SILENCE_TIMEOUT_S
from jujubenotch.peers.model import Heartbeat, Hello, HomeFrame, RequesterFrame
from jujubenotch.peers.outbox import FLUSH_DELAY_S, Outbox, open_frame, run_sender
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
class HomeSession:
    """One requester that is connected.

    :param hello: Who it is.
    :param outbox: Messages for the next frame to it.
    """

    hello: Hello
    outbox: Outbox = field(default_factory=lambda: Outbox(make_frame=HomeFrame))


@dataclass(frozen=True, kw_only=True)
class ServiceContext:
    """What the peers' listener needs.

    :param read_hello: Returns who this instance is.
    :param read_heartbeat: Returns what to tell a requester.
    :param on_attached: Told of a new session; returns whether it is welcome.
    :param on_frame: Told of each frame, the first one included.
    :param on_lost: Told when a session has ended.
    :param read_changes_since: Returns the changes after a revision.
    :param read_trace: Returns the trace of a request, or ``None``.
    :param take_changes: Puts changes in force that a peer has pushed.
    """

    read_hello: Callable[[], Hello]
    read_heartbeat: Callable[[HomeSession], Heartbeat]
    read_clock_s: Callable[[], float]
    on_attached: Callable[[HomeSession], bool]
    on_frame: Callable[[HomeSession, RequesterFrame], None]
    on_lost: Callable[[HomeSession], None]
    read_changes_since: Callable[[int], list[bytes]]
    read_trace: Callable[[str], bytes | None]
    take_changes: Callable[[list[bytes]], None]


class PeersService(PeersBase):
    """Answers the calls of other instances.

    :param context: What it needs.
    :param closing: Set to end all sessions.

    >>> PeersService.__name__
    'PeersService'
    """

    def __init__(self, context: ServiceContext):
        self.context = context
        self.closing = asyncio.Event()

    async def Session(self, stream):  # noqa: N802
        """Serve one requester until it leaves or falls silent.

        :param stream: Its frames and the answers.
        """
        context = self.context
        received = ReceivedNames()
        session = None
        try:
            message = await _receive(stream)
            frame = decode_requester_frame(message, received, context.read_clock_s())
            session = _open_session(context, frame)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(_send(session, context, stream))
                tasks.create_task(_serve(session, context, stream, received, frame))
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
                context.on_lost(session)

    async def FetchChanges(self, stream):  # noqa: N802
        """Answer with the changes after a revision.

        :param stream: The request and the answer.
        """
        request = await stream.recv_message()
        changes = self.context.read_changes_since(request.after_revision)
        await stream.send_message(FetchChangesReply(changes=changes))

    async def PushChanges(self, stream):  # noqa: N802
        """Take in changes from a peer that this instance may not reach.

        :param stream: The request and the answer.
        """
        request = await stream.recv_message()
        self.context.take_changes(list(request.changes))
        await stream.send_message(PushChangesReply())

    async def FetchTrace(self, stream):  # noqa: N802
        """Answer with the trace of a request.

        :param stream: The request and the answer.
        """
        request = await stream.recv_message()
        trace = self.context.read_trace(request.request_id)
        await stream.send_message(
            FetchTraceReply(is_found=trace is not None, trace=trace or b"")
        )


@dataclass(frozen=True, kw_only=True)
class PeersListener:
    """The peers' listener; end it with :func:`stop_service`."""

    server: Server
    service: PeersService


async def start_service(
    context: ServiceContext, bound: socket.socket, tls: ssl.SSLContext | None
) -> PeersListener:
    """Serve peers on a bound socket.

    :param context: What the service needs.
    :param bound: The socket.
    :param tls: The TLS context; ``None`` serves in plain text.
    :returns: The listener.
    """
    set_peer_options(bound)
    service = PeersService(context)
    server = Server([service])
    await server.start(sock=bound, ssl=tls, backlog=BACKLOG_CONNECTIONS)
    return PeersListener(server=server, service=service)


async def stop_service(listener: PeersListener) -> None:
    """End all sessions and stop listening.

    :param listener: The listener.
    """
    listener.service.closing.set()
    # Lets each session tell its requester that it has ended.
    await asyncio.sleep(FLUSH_DELAY_S)
    server = listener.server
    server.close()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await server.wait_closed()


def _open_session(context, frame):
    if frame.hello is None:
        raise MalformedFrameError("the first frame has no hello")
    session = HomeSession(hello=frame.hello)
    session.outbox.received_ms = frame.sent_ms
    if not context.on_attached(session):
        raise PeerLostError(f"{frame.hello.name!r} is of a former incarnation")
    open_frame(session.outbox).hello = context.read_hello()
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


async def _serve(session, context, stream, received, frame):
    while True:
        session.outbox.received_ms = frame.sent_ms
        context.on_frame(session, frame)
        message = await _receive(stream)
        frame = decode_requester_frame(message, received, context.read_clock_s())


async def _send(session, context, stream):
    sent = SentNames()

    async def send(frame):
        message = encode_home_frame(frame, sent, context.read_clock_s())
        await stream.send_message(message)

    await run_sender(
        session.outbox,
        send=send,
        read_heartbeat=lambda: context.read_heartbeat(session),
        read_clock_s=context.read_clock_s,
    )
