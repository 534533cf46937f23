"""Reads the requests of one connection within its limits."""

import asyncio

from sanic import Request
from sanic.exceptions import BadRequest, PayloadTooLarge, SanicException
from sanic.http.constants import Stage
from sanic.http.http1 import HTTP_CONTINUE

from jujubenotch.listeners.bounds import (
    MAX_HEADERS,
    OverloadedError,
    TooManyHeadersError,
    build_timeout_error,
    is_well_formed,
)
from jujubenotch.listeners.chunks import (
    BadChunkError,
    ChunkDecoder,
    ChunksTooLargeError,
    decode_chunks,
)
from jujubenotch.listeners.endings import ExplicitEndHttp

CHUNKED = "chunked"
LAST_CHUNK = b"\r\n0\r\n\r\n"
# Bodies with more chunks than this in what was received are decoded one at a time.
CHUNKS_WITHOUT_TURN = 64
CHUNKS_PER_TURN = 2048
LINGER_S = 1.0


class BoundedRequest(Request):
    """A request whose body counts as memory of its connection as it arrives."""

    async def receive_body(self) -> None:
        """Receive the whole body."""
        if self.body:
            return
        protocol = self.stream.protocol
        async for part in self.stream:
            protocol.body.append(part)
            protocol.record_memory()
        self.body = protocol.body.take()
        protocol.received_bytes = len(self.body)


def is_body_at_hand(request: Request) -> bool:
    """Return whether the whole body of a request has been received already.

    :param request: The request, whose body has not been read.
    """
    http = request.stream
    if http.request_body == CHUNKED:
        return http.recv_buffer.endswith(LAST_CHUNK)
    return not http.request_body or http.request_bytes_left <= len(http.recv_buffer)


class BoundedHttp(ExplicitEndHttp):
    """Reads the requests of one connection and enforces their limits.

    :param chunks: The state of decoding a chunked body; ``None`` before it begins.
    """

    __slots__ = ("chunks",)

    def init_for_request(self) -> None:
        """Reset the state of the previous request."""
        super().init_for_request()
        self.chunks: ChunkDecoder | None = None
        self.protocol.received_bytes = 0
        self.protocol.head_bytes = 0
        self.protocol.begun_s = asyncio.get_running_loop().time()
        self.protocol.record_memory()

    async def http1_request_header(self) -> None:
        """Read a request's head and check that it is well formed.

        :raises SlowRequestError: The head did not arrive within its time limit.
        :raises SanicException: The head is not a valid request head.
        """
        limits = self.protocol.limits
        self.protocol.begun_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                await super().http1_request_header()
            if len(self.request.headers) > MAX_HEADERS:
                raise TooManyHeadersError(f"more than {MAX_HEADERS} headers")
            self.protocol.record_head(self.request)
            if not is_well_formed(self.request.head):
                raise BadRequest("the request's head is not well formed")
        except TimeoutError as error:
            self.keep_alive = False
            raise build_timeout_error("head", limits.header_timeout_s) from error
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
        :raises OverloadedError: It has to make room for others.
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
            raise build_timeout_error("body", bound_s) from error
        except OverloadedError:
            self.keep_alive = False
            self.request_body = None
            if self.stage is Stage.IDLE:
                # The response has been sent, and the rest of the body is discarded.
                return None
            raise

    async def http1(self) -> None:
        """Serve the connection's requests."""
        await super().http1()
        if self.protocol.is_turned_away:
            await self._linger()

    async def _linger(self):
        """Let the caller read the response, although it goes on sending.

        Closing a connection that has unread bytes resets it, and the response is lost.
        """
        transport = self.protocol.transport
        if transport is None or transport.is_closing():
            return
        # The context of this task refers to the request as well.
        self.request = None
        self.response = None
        self.protocol.request_class._current.set(None)
        if transport.can_write_eof():
            transport.write_eof()
        transport.resume_reading()
        await asyncio.sleep(LINGER_S)

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request has not arrived yet."""
        return self.stage is Stage.REQUEST or bool(self.request_body)

    async def _read_chunks(self):
        if self.expecting_continue:
            self.expecting_continue = False
            await self._send(HTTP_CONTINUE)
        if self.chunks is None:
            self.chunks = ChunkDecoder(max_bytes=self.request_max_size)
        part = await self._decode()
        while not part and not self.chunks.is_complete:
            if not self.chunks.is_interrupted:
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
                self.protocol.check_room()
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
