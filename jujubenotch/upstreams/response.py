"""Responses that tell how they ended, and safe reuse of connections."""

import asyncio
import errno
import functools
import logging
import socket

import aiohttp
from aiohttp.client_proto import ResponseHandler

from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)


class EndObserver(ResponseHandler):
    """A connection's protocol that reads the socket's error when the connection ends.

    libuv reports the regular end of a connection when it learns of the end together
    with the last bytes, also if a reset was the end. The socket still holds the error.

    :param end_error: The error number of the socket at the end; 0 without an error.
    """

    end_error = 0

    def eof_received(self):
        """Handle the end of the data that the peer sends."""
        self.end_error = _read_pending_error(self.transport)
        return super().eof_received()


def _read_pending_error(transport: asyncio.Transport | None) -> int:
    if transport is None:
        return 0
    connection = transport.get_extra_info("socket")
    try:
        return connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError as error:
        log_event(logger, logging.INFO, "end-unknown", error=str(error))
        return errno.ECONNRESET


class UpstreamResponse(aiohttp.ClientResponse):
    """A response that keeps its connection's protocol object after its end."""

    protocol: EndObserver | None = None

    async def start(self, connection):
        """Read the status and headers of the response.

        :param connection: The connection on which the response arrives.
        :returns: The response.
        """
        self.protocol = connection.protocol
        return await super().start(connection)

    @property
    def is_framed(self) -> bool:
        """Whether the body has a length or is chunked.

        A body with neither ends when its connection closes.
        """
        if "Content-Length" in self.headers:
            return True
        return "chunked" in self.headers.get("Transfer-Encoding", "").lower()

    @property
    def was_reset(self) -> bool:
        """Whether the connection ended by an error, such as a reset.

        The HTTP library treats every end of a connection as the end of a body
        that has no length, although a reset truncates the body.
        """
        if self.protocol is None:
            return False
        # A peer that closed the connection and reset it afterwards has sent everything;
        # the error is EPIPE then.
        if self.protocol.end_error not in (0, errno.EPIPE):
            return True
        error = self.protocol.exception()
        is_clean = isinstance(error, aiohttp.ServerDisconnectedError)
        return isinstance(error, OSError) and not is_clean


class CleanConnector(aiohttp.TCPConnector):
    """Reuses only connections that received nothing after their last response."""

    def __init__(self, **options):
        super().__init__(**options)
        # The HTTP library has no public option for the protocol of its connections.
        self._factory = functools.partial(EndObserver, loop=self._loop)

    async def _get(self, key, traces):
        # The HTTP library checks only whether the connection is open. It would
        # treat bytes that arrived after the last response as the response to the
        # next request.
        waiting = self._conns.get(key)
        if waiting:
            for entry in [each for each in waiting if each[0].should_close]:
                waiting.remove(entry)
                entry[0].close()
            if not waiting:
                del self._conns[key]
        return await super()._get(key, traces)
