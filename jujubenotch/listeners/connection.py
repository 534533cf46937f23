"""One connection of a listener: its place, what it holds, and when it gives way."""

import asyncio
import logging
from enum import IntEnum

from sanic import Request
from sanic.http.constants import Stage
from sanic.server.protocols.http_protocol import HttpProtocol

from jujubenotch.listeners.body import BodyBuffer
from jujubenotch.listeners.bounds import ListenerLimits, OverloadedError
from jujubenotch.listeners.http import BoundedHttp, BoundedRequest
from jujubenotch.logs import log_event
from jujubenotch.memory import MemoryUse, Rank, record_size, release_use

logger = logging.getLogger(__name__)

# Connections that hold less are not on the account, as most hold little.
MIN_RECORDED_BYTES = 1024
# What a parsed header takes beside its bytes.
HEADER_BYTES = 300
# A connection whose request or response takes longer may give way to a new one.
STALLED_S = 1.0


class PlaceRank(IntEnum):
    """How soon a connection gives way to a new one; the lowest value first.

    ``IDLE`` has no request, ``UNREAD`` a response that its caller doesn't read,
    ``UNFINISHED`` a request that has not arrived completely.
    """

    IDLE = 0
    UNREAD = 1
    UNFINISHED = 2


class BoundedProtocol(HttpProtocol):
    """One connection of a listener.

    :param limits: The limits.
    :param turns: Held while a part of a body with many chunks is decoded; shared by
        the connections of a listener.
    :param begun_s: When the connection became idle, its request began to arrive, or its
        caller stopped reading, monotonic, in seconds.
    :param body: The parts of the body that is arriving.
    :param head_bytes: What the head of the request takes.
    :param received_bytes: The bytes of the complete body.
    :param unsent_bytes: What the caller has not read of a response.
    :param use: The connection's use of memory; ``None`` once it has ended.
    :param is_refused: Whether there was no place for the connection.
    :param is_turned_away: Whether it had to make room for others, or has ended.
    """

    HTTP_CLASS = BoundedHttp
    __slots__ = (
        "begun_s",
        "body",
        "body_deadline_s",
        "head_bytes",
        "is_refused",
        "is_turned_away",
        "limits",
        "received_bytes",
        "turns",
        "unsent_bytes",
        "use",
    )

    def __init__(self, *, limits: ListenerLimits, turns: asyncio.Lock, **options):
        super().__init__(**options)
        self.limits = limits
        self.turns = turns
        self.request_class = BoundedRequest
        self.body_deadline_s: float | None = None
        self.is_refused = False
        self.is_turned_away = False
        self.begun_s = 0.0
        self.body = BodyBuffer()
        self.head_bytes = 0
        self.received_bytes = 0
        self.unsent_bytes = 0
        self.use = MemoryUse(rank=self._rank, end=self._turn_away)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection, or abort it if there is no place for it.

        :param transport: The connection's transport.
        """
        self.begun_s = self.loop.time()
        is_full = len(self.connections) >= self.limits.max_connections
        if is_full and not self._take_place():
            self.is_refused = True
            self.limits.count_refused_connection()
            transport.abort()
            return
        super().connection_made(transport)

    def _take_place(self):
        """Take the place of a connection that moves nothing, if there is one."""
        now_s = self.loop.time()
        ranks = [
            (each.rank_place(now_s), each.begun_s, each) for each in self.connections
        ]
        replaceable = [each for each in ranks if each[0] is not None]
        if not replaceable:
            return False
        rank, begun_s, connection = min(replaceable, key=lambda each: each[:2])
        log_event(
            logger,
            logging.INFO,
            "connection-replaced",
            rank=rank.name.lower(),
            after_s=round(now_s - begun_s, 3),
        )
        self.connections.discard(connection)
        connection.give_way(rank)
        return True

    def rank_place(self, now_s: float) -> PlaceRank | None:
        """Rank the connection among those that may give way to a new one.

        :param now_s: The present monotonic time, in seconds.
        :returns: The lowest gives way first; ``None`` when its request is worked on, or
            it has not been there for long.
        """
        http = self.http
        is_between = http is None or (
            http.stage is Stage.IDLE and not http.request_body
        )
        if is_between and not self.recv_buffer and not self.unsent_bytes:
            return PlaceRank.IDLE
        if now_s - self.begun_s < STALLED_S:
            return None
        if self.unsent_bytes:
            return PlaceRank.UNREAD
        return PlaceRank.UNFINISHED if http is not None and http.is_receiving else None

    def give_way(self, rank: PlaceRank) -> None:
        """End the connection, for a new one.

        :param rank: Its rank, which tells how it may end.
        """
        if rank is PlaceRank.IDLE:
            self.close()
        else:
            self._turn_away()

    async def wait_until_written(self) -> None:
        """Wait until all bytes have been handed to the kernel."""
        self.transport.set_write_buffer_limits(high=0)
        await self._can_write.wait()

    def data_received(self, data: bytes) -> None:
        """Process received bytes; discard those of a refused connection.

        :param data: The bytes.
        """
        if self.is_refused or self.is_turned_away:
            return
        super().data_received(data)
        self.record_memory()

    async def receive_more(self) -> None:
        """Wait for more bytes.

        :raises OverloadedError: The request has to make room for others.
        """
        self.check_room()
        await super().receive_more()
        self.check_room()

    def check_room(self) -> None:
        """Check that the request need not make room for others.

        :raises OverloadedError: It has to.
        """
        if self.is_turned_away:
            raise OverloadedError

    def pause_writing(self) -> None:
        """Record how much of a response the caller has not taken yet."""
        super().pause_writing()
        self.begun_s = self.loop.time()
        self.unsent_bytes = self.transport.get_write_buffer_size()
        self.record_memory()

    def resume_writing(self) -> None:
        """Record that the caller has taken the response."""
        super().resume_writing()
        self.unsent_bytes = 0
        self.record_memory()

    def record_head(self, request: Request) -> None:
        """Record what the parsed head of a request takes.

        :param request: The request.
        :raises OverloadedError: It has to make room for others.
        """
        header_bytes = HEADER_BYTES * len(request.headers)
        self.head_bytes = len(request.head) + header_bytes
        self.record_memory()
        self.check_room()

    def record_memory(self) -> None:
        """Record what the connection holds; that may end others, or its own request."""
        memory = self.limits.memory
        if memory is None or self.is_refused or self.is_turned_away:
            return
        size_bytes = self._count_held_bytes()
        if size_bytes >= MIN_RECORDED_BYTES:
            record_size(memory, self.use, size_bytes, self.loop.time())
        else:
            release_use(memory, self.use)

    def _count_held_bytes(self):
        request_bytes = self.head_bytes + self.body.size_bytes + self.received_bytes
        return len(self.recv_buffer) + request_bytes + self.unsent_bytes

    def _rank(self, use, now_s):
        """Rank the connection by what it holds and for how long.

        A request that has arrived is worked on, and keeps what it holds.
        """
        is_receiving = self.http is not None and self.http.is_receiving
        if not self.unsent_bytes and not is_receiving:
            return None
        weight = use.size_bytes * (now_s - self.begun_s)
        return Rank(is_unbounded=False, weight=weight)

    def turn_away_unfinished(self, wait_s: float) -> None:
        """Refuse the request if it has been arriving for too long.

        :param wait_s: How long it may take to arrive, in seconds.
        """
        http = self.http
        is_receiving = http is not None and http.is_receiving
        if is_receiving and self.loop.time() - self.begun_s > wait_s:
            self._turn_away()

    def _turn_away(self):
        log_event(
            logger,
            logging.WARNING,
            "caller-turned-away",
            held_bytes=self._count_held_bytes(),
            unsent_bytes=self.unsent_bytes,
            after_s=round(self.loop.time() - self.begun_s, 3),
        )
        self.is_turned_away = True
        if self.unsent_bytes:
            # The caller reads too little of its response.
            self.transport.abort()
        else:
            self.recv_buffer.clear()
            self.body.clear()
            self._data_received.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection has ended.

        :param exc: The error that ended the connection; ``None`` if it was closed
            without an error.
        """
        use = self.use
        # The two refer to each other.
        self.use = None
        if self.is_refused:
            return
        self.is_turned_away = True
        if self.limits.memory is not None:
            release_use(self.limits.memory, use)
        super().connection_lost(exc)
