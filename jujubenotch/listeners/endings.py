"""Ends a streamed response as complete only when its handler has said that it is.

The HTTP server ends each open response as complete once the handler has returned or
raised an error. An unexpected error would make a truncated response look whole.
"""

import logging

from sanic import HTTPResponse
from sanic.headers import format_http1_response
from sanic.http import Http, Stage

from jujubenotch.listeners.reset import (
    close_regularly,
    reset_connection,
    reset_on_close,
)
from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)


class ExplicitEndHttp(Http):
    """Cuts each streamed response that was not finished by :meth:`finish_response`.

    A response is streamed when its head was sent before the end of its body. The body
    is chunked, or is unframed: it ends when the connection is closed, and only a reset
    tells the caller that it is truncated.

    :param is_body_complete: Whether the whole body was passed to the response.
    :param is_unframed: Whether the response is unframed.
    """

    __slots__ = ("is_body_complete", "is_unframed")

    def init_for_request(self) -> None:
        """Reset the state of the previous request."""
        super().init_for_request()
        self.is_body_complete = False
        self.is_unframed = False

    async def respond_unframed(self, response: HTTPResponse) -> None:
        """Send the head of a response whose body ends when the connection closes.

        A proxy that forwards a body of unknown length cannot tell whether the
        body is complete, so the response must not mark its body as complete.
        Until the response is finished, the kernel resets the connection whenever its
        socket is closed, also when the process is killed.

        :param response: The response; its ``send`` method then sends the body.
        """
        self.keep_alive = False
        self.response = response
        response.stream = self
        response.headers["connection"] = "close"
        self.response_func = self._send_unframed
        self.is_unframed = True
        reset_on_close(self.protocol.transport)
        head = format_http1_response(response.status, response.processed_headers)
        await self._send(head)
        self.stage = Stage.RESPONSE

    async def finish_response(self) -> None:
        """End the streamed response as complete."""
        self.is_body_complete = True
        await self.response.send(end_stream=True)

    def cut_response(self) -> None:
        """End the streamed response so that the caller can tell that it is truncated.

        A chunked response lacks its final chunk; the bytes that were already written
        are still delivered. The connection of an unframed response is reset.
        """
        self.response_func = None
        self.keep_alive = False
        self.stage = Stage.FAILED
        transport = self.protocol.transport
        if transport is None:
            return
        if self.is_unframed:
            reset_connection(transport)
        else:
            transport.close()

    async def http1_response_chunked(self, data: bytes, end_stream: bool) -> None:
        """Send a chunk, and the final one only after :meth:`finish_response`.

        :param data: The bytes; may be empty.
        :param end_stream: Whether the response ends.
        """
        if end_stream and not self.is_body_complete:
            self._cut_unfinished()
            return
        await super().http1_response_chunked(data, end_stream)

    async def _send_unframed(self, data, end_stream):
        if data:
            await self._send(data)
        if not end_stream:
            return
        if not self.is_body_complete:
            self._cut_unfinished()
            return
        # The kernel delivers what it has before the end of the connection.
        await self.protocol.wait_until_written()
        close_regularly(self.protocol.transport)
        self.response_func = None
        self.stage = Stage.IDLE

    def _cut_unfinished(self):
        log_event(logger, logging.ERROR, "response-not-finished")
        self.cut_response()
