"""Connection limits that Sanic does not provide.

Sanic's own timeouts restart with each received byte and do not cover a body, so
a caller that sends single bytes at intervals could hold a connection open forever.
"""

import asyncio
import re
import sys
from collections.abc import Callable
from dataclasses import dataclass

from sanic import Request
from sanic.exceptions import BadRequest, PayloadTooLarge, SanicException
from sanic.http.http1 import HTTP_CONTINUE
from sanic.server.protocols.http_protocol import HttpProtocol

from jujubenotch.listeners.chunks import (
    BadChunkError,
    ChunkDecoder,
    ChunksTooLargeError,
    decode_chunks,
)
from jujubenotch.listeners.endings import ExplicitEndHttp

REQUEST_TIMEOUT = 408
HEADER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*")
CONTENT_LENGTH = re.compile(rb"content-length:[\t ]*([^\r]*?)[\t ]*", re.IGNORECASE)
DIGITS = re.compile(rb"[0-9]{1,18}")
CHUNKED = "chunked"
# Bodies with more chunks than this in what was received are decoded one at a time.
CHUNKS_WITHOUT_TURN = 64
CHUNKS_PER_TURN = 2048


class SlowRequestError(BadRequest):
    """A request's head or body did not arrive within its time limit."""

    status_code = REQUEST_TIMEOUT
    quiet = True


@dataclass(frozen=True, kw_only=True)
class ListenerLimits:
    """Limits on the connections of one listener.

    :param max_connections: The largest number of open connections; the listener
        closes each further connection immediately.
    :param header_timeout_s: Time limit from a request's first byte to the end of
        its head; ``None`` without a limit.
    :param body_timeout_s: Time limit from the end of the head to the end of the
        body; ``None`` without a limit.
    :param count_refused_connection: Counts a connection that is closed because of
        ``max_connections``.

    >>> limits = ListenerLimits(
    ...     max_connections=100,
    ...     header_timeout_s=10,
    ...     body_timeout_s=30,
    ...     count_refused_connection=lambda: None,
    ... )
    >>> limits.max_connections
    100
    """

    max_connections: int
    header_timeout_s: float | None
    body_timeout_s: float | None
    count_refused_connection: Callable[[], None]


NO_LIMITS = ListenerLimits(
    max_connections=sys.maxsize,
    header_timeout_s=None,
    body_timeout_s=None,
    count_refused_connection=lambda: None,
)


def is_well_formed(head: bytes) -> bool:
    """Check that all HTTP parsers interpret a request's head in the same way.

    A space between a header's name and its colon, a folded header line, a bare
    line feed, or a Content-Length with anything but ASCII digits is interpreted
    differently by different parsers. A caller could use the difference to have
    part of a body treated as a separate request (request smuggling).

    :param head: The request line and the header lines, without the empty line.
    :returns: True if the head has only one interpretation.
    """
    _, *lines = head.split(b"\r\n")
    if b"\n" in head.replace(b"\r\n", b""):
        return False
    for line in lines:
        if not HEADER_LINE.fullmatch(line):
            return False
        length = CONTENT_LENGTH.fullmatch(line)
        if length and not DIGITS.fullmatch(length[1]):
            return False
    return True


class BoundedRequest(Request):
    """A request whose body is received into one buffer, however many parts it has."""

    async def receive_body(self) -> None:
        """Receive the whole body."""
        if self.body:
            return
        body = bytearray()
        async for part in self.stream:
            body += part
        self.body = bytes(body)


class BoundedHttp(ExplicitEndHttp):
    """Reads the requests of one connection and enforces their limits.

    :param chunks: The state of decoding a chunked body; ``None`` before it begins.
    """

    __slots__ = ("chunks",)

    def init_for_request(self) -> None:
        """Reset the state of the previous request."""
        super().init_for_request()
        self.chunks: ChunkDecoder | None = None

    async def http1_request_header(self) -> None:
        """Read a request's head and check that it is well formed.

        :raises SlowRequestError: The head did not arrive within its time limit.
        :raises SanicException: The head is not a valid request head.
        """
        limits = self.protocol.limits
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                await super().http1_request_header()
            if not is_well_formed(self.request.head):
                raise BadRequest("the request's head is not well formed")
        except TimeoutError as error:
            self.keep_alive = False
            raise _build_timeout_error("head", limits.header_timeout_s) from error
        except SanicException:
            # The end of this request is not known, so the bytes that follow
            # cannot be distinguished from the rest of it.
            self.keep_alive = False
            self.request_body = None
            raise
        if limits.body_timeout_s is not None:
            now_s = asyncio.get_running_loop().time()
            self.protocol.body_deadline_s = now_s + limits.body_timeout_s

    async def read(self) -> bytes | None:
        """Read a part of a request's body.

        :returns: The bytes; ``None`` at the end of the body.
        :raises SlowRequestError: The body did not arrive within its time limit.
        """
        try:
            async with asyncio.timeout_at(self.protocol.body_deadline_s):
                if self.request_body == CHUNKED:
                    return await self._read_chunks()
                return await super().read()
        except TimeoutError as error:
            self.keep_alive = False
            self.request_body = None
            bound_s = self.protocol.limits.body_timeout_s
            raise _build_timeout_error("body", bound_s) from error

    async def _read_chunks(self):
        if self.expecting_continue:
            self.expecting_continue = False
            await self._send(HTTP_CONTINUE)
        if self.chunks is None:
            self.chunks = ChunkDecoder(max_bytes=self.request_max_size)
        part = b""
        while not part and not self.chunks.is_complete:
            if not self.recv_buffer or not self.chunks.is_interrupted:
                await self._receive_more()
            part = await self._decode()
        if self.chunks.is_complete:
            self.request_body = None
        return bytes(part) or None

    async def _decode(self):
        try:
            if not self.chunks.is_interrupted:
                return decode_chunks(self.chunks, self.recv_buffer, CHUNKS_WITHOUT_TURN)
            async with self.protocol.turns:
                part = decode_chunks(self.chunks, self.recv_buffer, CHUNKS_PER_TURN)
                # All that is ready beside it comes before the next turn.
                await asyncio.sleep(0)
            return part
        except BadChunkError as error:
            self.keep_alive = False
            raise BadRequest("Bad chunked encoding") from error
        except ChunksTooLargeError as error:
            self.keep_alive = False
            raise PayloadTooLarge("Request body exceeds the size limit") from error


class BoundedProtocol(HttpProtocol):
    """One connection of a listener.

    :param limits: The limits.
    :param turns: Held while a part of a body with many chunks is decoded; shared by
        the connections of a listener.
    """

    HTTP_CLASS = BoundedHttp
    __slots__ = ("body_deadline_s", "limits", "is_refused", "turns")

    def __init__(self, *, limits: ListenerLimits, turns: asyncio.Lock, **options):
        super().__init__(**options)
        self.limits = limits
        self.turns = turns
        self.request_class = BoundedRequest
        self.body_deadline_s: float | None = None
        self.is_refused = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection, or abort it if the limit is reached.

        :param transport: The connection's transport.
        """
        if len(self.connections) >= self.limits.max_connections:
            self.is_refused = True
            self.limits.count_refused_connection()
            transport.abort()
            return
        super().connection_made(transport)

    async def wait_until_written(self) -> None:
        """Wait until all bytes have been handed to the kernel."""
        self.transport.set_write_buffer_limits(high=0)
        await self._can_write.wait()

    def data_received(self, data: bytes) -> None:
        """Process received bytes; discard those of a refused connection.

        :param data: The bytes.
        """
        if not self.is_refused:
            super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection has ended.

        :param exc: The error that ended the connection; ``None`` if it was closed
            without an error.
        """
        if not self.is_refused:
            super().connection_lost(exc)


def _build_timeout_error(part, timeout_s):
    return SlowRequestError(
        f"the request's {part} did not arrive in {timeout_s:g} s; send it faster"
    )
