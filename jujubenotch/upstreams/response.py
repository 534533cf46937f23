"""Responses that tell how they ended, and safe reuse of connections."""

import aiohttp
from aiohttp.client_proto import ResponseHandler


class UpstreamResponse(aiohttp.ClientResponse):
    """A response that keeps its connection's protocol object after its end."""

    protocol: ResponseHandler | None = None

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
        error = self.protocol.exception()
        is_clean = isinstance(error, aiohttp.ServerDisconnectedError)
        return isinstance(error, OSError) and not is_clean


class CleanConnector(aiohttp.TCPConnector):
    """Reuses only connections that received nothing after their last response."""

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
