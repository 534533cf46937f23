"""Ends a streamed response as complete only when its handler has said that it is.

The HTTP server ends each open response as complete once the handler has returned or
raised an error. An unexpected error would make a truncated response look whole.
"""

import logging

from sanic.http import Http, Stage

from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)


class ExplicitEndHttp(Http):
    """Cuts each streamed response that was not finished by :meth:`finish_response`.

    A response is streamed when its head was sent before the end of its body.

    :param is_body_complete: Whether the whole body was passed to the response.
    """

    __slots__ = ("is_body_complete",)

    def init_for_request(self) -> None:
        """Reset the state of the previous request."""
        super().init_for_request()
        self.is_body_complete = False

    async def finish_response(self) -> None:
        """End the streamed response as complete."""
        self.is_body_complete = True
        await self.response.send(end_stream=True)

    def cut_response(self) -> None:
        """Close the connection without the final chunk of the streamed response.

        The bytes that were already written are still delivered.
        """
        self.response_func = None
        self.keep_alive = False
        self.stage = Stage.FAILED
        if self.protocol.transport is not None:
            self.protocol.transport.close()

    async def http1_response_chunked(self, data: bytes, end_stream: bool) -> None:
        """Send a chunk, and the final one only after :meth:`finish_response`.

        :param data: The bytes; may be empty.
        :param end_stream: Whether the response ends.
        """
        if end_stream and not self.is_body_complete:
            log_event(logger, logging.ERROR, "response-not-finished")
            self.cut_response()
            return
        await super().http1_response_chunked(data, end_stream)
