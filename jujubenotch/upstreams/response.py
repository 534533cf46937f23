"""Responses and connections that tell how they ended, and are bounded."""

import asyncio
import errno
import fcntl
import itertools
import logging
import socket
import struct
import termios

import aiohttp
from aiohttp.client_proto import ResponseHandler

from jujubenotch.logs import log_event
from jujubenotch.upstreams.carried import (
    MAX_COPIES,
    MAX_COPY_BYTES,
    CarriedRequests,
    find_copied_id,
    record_request,
)
from jujubenotch.upstreams.overhead import is_overhead_too_large

logger = logging.getLogger(__name__)


# How much the HTTP library parses before the bounds are checked; heads take longer.
PARSED_HEAD_BYTES = 2 * 1024
PARSED_BODY_BYTES = 16 * 1024
# The head of a response and the informational ones before it.
MAX_HEADS = 16
MIN_STATUS = 100
MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101
INT = struct.Struct("i")


class OverheadError(aiohttp.ClientError):
    """A response has too many bytes that aren't its body's."""


class InvalidStatusError(aiohttp.ClientError):
    """A head has a status that no response to a request of this program has."""


class BoundedHandler(ResponseHandler):
    """A connection's protocol that bounds what it receives, and knows how it ended.

    libuv reports the regular end of a connection when it learns of the end together
    with the last bytes, also if a reset was the end. The socket still holds the error.

    :param end_error: The error number of the socket at the end; 0 without an error.
    :param is_request_cut: Whether the peer ended before it had all of the request.
    :param received_bytes: The bytes received since the last request was sent.
    :param heads: The heads received since then.
    :param is_idle: Whether the connection waits for its next request.
    :param number: The number of the connection, for the log.
    :param carried: The requests that the connection has carried.
    """

    _numbers = itertools.count(1)

    end_error = 0
    is_request_cut = False
    received_bytes = 0
    heads = 0
    is_idle = False

    def __init__(self, loop):
        super().__init__(loop)
        self.number = next(self._numbers)
        self.carried = CarriedRequests()
        self._last_body = None
        self._earlier_body_bytes = 0

    def set_response_params(self, **options):
        """Prepare for the response to a request that is about to be sent.

        :param options: The options of the HTTP library.
        """
        self.is_idle = False
        self.received_bytes = 0
        self.heads = 0
        record_request(self.carried, self._loop.time())
        # Otherwise the last response's body would count as received for this request.
        self._payload = None
        self._last_body = None
        self._earlier_body_bytes = 0
        super().set_response_params(**options)
        if options.get("skip_payload"):
            # A copy of the response to HEAD tells the length of a body it doesn't have.
            self.force_close()

    def data_received(self, data):
        """Process received bytes; end a connection on which they make no progress.

        :param data: The bytes.
        """
        if self.is_idle and data:
            self._end("bytes on a connection without a request")
            return
        if not data:
            # With no data the HTTP library goes on with what it has kept back.
            super().data_received(data)
        position = 0
        while position < len(data) and self.transport is not None:
            if self.transport.is_closing():
                return
            end = position + self._choose_part_bytes()
            self._receive_part(data[position:end])
            position = end

    def feed_data(self, message, size_bytes=0):
        """Count a head that was parsed, and queue it.

        :param message: The head, and the reader of its body.
        :param size_bytes: Not used.
        """
        self.heads += 1
        self._earlier_body_bytes += getattr(self._last_body, "total_bytes", 0)
        _, self._last_body = message
        super().feed_data(message, size_bytes)

    async def read(self):
        """Wait for the head of the next response that is no copy of an earlier one.

        :returns: The head, and the reader of its body.
        :raises InvalidStatusError: The head is no response; the connection is aborted.
        :raises OverheadError: The copies are too many or too large.
        """
        while True:
            message, body = await super().read()
            self._check_status(message.code)
            copied_id = find_copied_id(self.carried, message.headers)
            if not copied_id:
                return message, body
            self._log_copy(message, copied_id)
            await self._skip_copy(message, body)

    def _check_status(self, status):
        # This program never asks for another protocol.
        is_valid = MIN_STATUS <= status <= MAX_STATUS and status != SWITCHING_PROTOCOLS
        if not is_valid:
            reason = f"a head with the status {status:03} is no response"
            self._end(reason)
            raise InvalidStatusError(reason)

    def _log_copy(self, message, copied_id):
        current = self.carried.current
        sent_s = self.carried.sent_s[hash(copied_id)]
        log_event(
            logger,
            logging.WARNING,
            "response-copy-skipped",
            request_id=current.request_id if current else "",
            copied_request_id=copied_id,
            status=message.code,
            connection=self.number,
            requests_carried=self.carried.count,
            sent_before_s=round(self._loop.time() - sent_s, 3),
        )

    async def _skip_copy(self, message, body):
        """Read a copy to its end; without a length that is the connection's end."""
        self.carried.copies += 1
        size_bytes = 0
        is_framed = body.at_eof() or _is_framed(message.headers)
        can_skip = self.carried.copies <= MAX_COPIES and is_framed
        while can_skip and size_bytes <= MAX_COPY_BYTES:
            if body.at_eof():
                self._restart_timeout()
                return
            size_bytes += len(await body.readany())
        reason = f"copies of earlier responses can't be skipped: {self.carried.copies}"
        self._end(f"{reason}, the last of {size_bytes} bytes or more")
        raise OverheadError(reason)

    def _restart_timeout(self):
        """Limit the silence again, which the end of the copy's body has stopped.

        If the next response has arrived already, its own end has stopped it.
        """
        if not len(self):
            self.start_timeout()

    def has_rest(self) -> bool:
        """Return whether a part of a further response has arrived; ends the parser."""
        if self._parser is None:
            return False
        try:
            return self._parser.feed_eof() is not None
        except Exception as error:
            log_event(logger, logging.INFO, "rest-not-parsed", error=str(error))
            return True

    def _choose_part_bytes(self):
        return PARSED_BODY_BYTES if self._body_bytes else PARSED_HEAD_BYTES

    @property
    def _body_bytes(self):
        present_bytes = getattr(self._payload, "total_bytes", 0)
        return self._earlier_body_bytes + present_bytes

    def _receive_part(self, data):
        super().data_received(data)
        self.received_bytes += len(data)
        body_bytes = self._body_bytes
        if self.heads > MAX_HEADS:
            self._end(f"{self.heads} heads received for one request")
        elif is_overhead_too_large(self.received_bytes, body_bytes):
            self._end(
                f"{self.received_bytes} bytes received, of which the body has only "
                f"{body_bytes}; the connection is closed"
            )

    def _end(self, reason):
        if self.transport is None:
            return
        log_event(logger, logging.WARNING, "upstream-connection-ended", reason=reason)
        self.set_exception(OverheadError(reason))
        self.transport.abort()

    def eof_received(self):
        """Handle the end of the data that the peer sends."""
        self.end_error = _read_pending_error(self.transport)
        if not self.is_idle and _count_unsent_bytes(self.transport):
            self.is_request_cut = True
            # Otherwise the connection would wait until the peer has read the rest.
            self.transport.abort()
        return super().eof_received()


def _count_unsent_bytes(transport: asyncio.Transport | None) -> int:
    """Return how many written bytes the peer's host has not acknowledged."""
    if transport is None:
        return 0
    waiting_bytes = transport.get_write_buffer_size()
    connection = transport.get_extra_info("socket")
    try:
        queued = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(INT.size))
    except OSError as error:
        log_event(logger, logging.INFO, "unsent-bytes-unknown", error=str(error))
        return waiting_bytes
    return waiting_bytes + INT.unpack(queued)[0]


def _read_pending_error(transport: asyncio.Transport | None) -> int:
    if transport is None:
        return 0
    connection = transport.get_extra_info("socket")
    try:
        return connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError as error:
        log_event(logger, logging.INFO, "end-unknown", error=str(error))
        return errno.ECONNRESET


def _is_framed(headers):
    if "Content-Length" in headers:
        return True
    return "chunked" in headers.get("Transfer-Encoding", "").lower()


class UpstreamResponse(aiohttp.ClientResponse):
    """A response that keeps its connection's protocol object after its end.

    :param protocol: The protocol object; ``None`` before the head was awaited.
    :param carried: The number of the request among those that the connection carried.
    """

    protocol: BoundedHandler | None = None
    carried = 0

    async def start(self, connection):
        """Read the status and headers of the response.

        :param connection: The connection on which the response arrives.
        :returns: The response.
        """
        self.protocol = connection.protocol
        self.carried = connection.protocol.carried.count
        return await super().start(connection)

    def abort_connection(self) -> None:
        """Abort the connection, unless it carries another request already."""
        if self.protocol is not None and self.protocol.carried.count == self.carried:
            self.protocol.abort()

    @property
    def is_framed(self) -> bool:
        """Whether the body has a length or is chunked.

        A body with neither ends when its connection closes.
        """
        return _is_framed(self.headers)

    @property
    def was_cut(self) -> bool:
        """Whether the connection ended by an error, or amid the request.

        The HTTP library treats every end of a connection as the end of a body
        that has no length, although a reset truncates the body, and an upstream that
        has not received its request can't have responded to all of it.
        """
        if self.protocol is None:
            return False
        if self.protocol.is_request_cut:
            return True
        # A peer that closed the connection and reset it afterwards has sent everything;
        # the error is EPIPE then.
        if self.protocol.end_error not in (0, errno.EPIPE):
            return True
        error = self.protocol.exception()
        is_clean = isinstance(error, aiohttp.ServerDisconnectedError)
        return isinstance(error, OSError) and not is_clean
