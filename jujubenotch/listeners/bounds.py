"""Bounds on connections that the HTTP library leaves open.

The library's own timeouts begin anew with each byte and don't cover a body, so
a caller that sends a byte now and then could hold a connection for ever.
"""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass

from sanic import HTTPResponse
from sanic.exceptions import BadRequest, SanicException
from sanic.headers import format_http1_response
from sanic.http import Http, Stage
from sanic.server.protocols.http_protocol import HttpProtocol

REQUEST_TIMEOUT = 408
HEADER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*")
CONTENT_LENGTH = re.compile(rb"content-length:[\t ]*([^\r]*?)[\t ]*", re.IGNORECASE)
DIGITS = re.compile(rb"[0-9]{1,18}")


class SlowRequestError(BadRequest):
    """A request's head or body did not arrive in time."""

    status_code = REQUEST_TIMEOUT
    quiet = True


@dataclass(frozen=True, kw_only=True)
class ConnectionBounds:
    """Bounds on the connections of one listener.

    :param max_connections: Open connections at once; more are closed at once.
    :param header_timeout_s: From a request's first byte to the end of its head.
    :param body_timeout_s: From the end of the head to the end of the body.
    :param count_refused: Counts a connection that was closed for the bound.

    >>> bounds = ConnectionBounds(
    ...     max_connections=100,
    ...     header_timeout_s=10,
    ...     body_timeout_s=30,
    ...     count_refused=lambda: None,
    ... )
    >>> bounds.max_connections
    100
    """

    max_connections: int
    header_timeout_s: float
    body_timeout_s: float
    count_refused: Callable[[], None]


def is_well_formed(head: bytes) -> bool:
    """Tell whether no two readers can take a request's head differently.

    A name followed by a space, a folded line, a bare line feed or a length that
    is not of ASCII digits is read in one way here and in another one elsewhere,
    so that a body could pass for a request.

    :param head: The request line and the header lines, without the empty line.
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


class BoundedHttp(Http):
    """Reads the requests of one connection, each within its time."""

    async def http1_request_header(self) -> None:
        """Read a request's head."""
        bounds = self.protocol.bounds
        try:
            async with asyncio.timeout(bounds.header_timeout_s):
                await super().http1_request_header()
            if not is_well_formed(self.request.head):
                raise BadRequest("the request's head is not well formed")
        except TimeoutError as error:
            self.keep_alive = False
            raise _describe_slow("head", bounds.header_timeout_s) from error
        except SanicException:
            # Whatever follows can't be told apart from the rest of this one.
            self.keep_alive = False
            self.request_body = None
            raise
        now_s = asyncio.get_running_loop().time()
        self.protocol.body_due_s = now_s + bounds.body_timeout_s

    async def read(self) -> bytes | None:
        """Read a part of a request's body.

        :returns: ``None`` at its end.
        """
        try:
            async with asyncio.timeout_at(self.protocol.body_due_s):
                return await super().read()
        except TimeoutError as error:
            self.keep_alive = False
            self.request_body = None
            bound_s = self.protocol.bounds.body_timeout_s
            raise _describe_slow("body", bound_s) from error

    async def respond_unframed(self, response: HTTPResponse) -> None:
        """Send the head of an answer that ends with its connection.

        Who passes on a body of unknown length can't tell whether it is whole,
        so the answer must not say that it is.

        :param response: The answer; its body is sent by its ``send``.
        """
        self.keep_alive = False
        self.response = response
        response.stream = self
        response.headers["connection"] = "close"
        self.response_func = self._send_unframed
        head = format_http1_response(response.status, response.processed_headers)
        await self._send(head)
        self.stage = Stage.RESPONSE

    async def _send_unframed(self, data, end_stream):
        if data:
            await self._send(data)
        if end_stream:
            self.response_func = None
            self.stage = Stage.IDLE


class BoundedProtocol(HttpProtocol):
    """One connection of a listener with bounds.

    :param bounds: The bounds.
    """

    HTTP_CLASS = BoundedHttp
    __slots__ = ("body_due_s", "bounds", "is_refused")

    def __init__(self, *, bounds: ConnectionBounds, **options):
        super().__init__(**options)
        self.bounds = bounds
        self.body_due_s = 0.0
        self.is_refused = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the connection, or close it when there are too many.

        :param transport: The connection.
        """
        if len(self.connections) >= self.bounds.max_connections:
            self.is_refused = True
            self.bounds.count_refused()
            transport.abort()
            return
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Take in bytes.

        :param data: The bytes.
        """
        if not self.is_refused:
            super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """End what belongs to the connection.

        :param exc: Why it was lost; ``None`` when it was closed.
        """
        if not self.is_refused:
            super().connection_lost(exc)


def _describe_slow(part, timeout_s):
    return SlowRequestError(
        f"the request's {part} did not arrive in {timeout_s:g} s; send it faster"
    )
