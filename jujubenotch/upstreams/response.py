"""Answers that tell how they ended, and connections that are clean when reused."""

import aiohttp
from aiohttp.client_proto import ResponseHandler


class UpstreamResponse(aiohttp.ClientResponse):
    """An answer that knows the protocol of its connection after its end."""

    protocol: ResponseHandler | None = None

    async def start(self, connection):
        """Read the head of the answer.

        :param connection: The connection that it comes on.
        :returns: The answer.
        """
        self.protocol = connection.protocol
        return await super().start(connection)

    @property
    def has_length(self) -> bool:
        """Whether its body ends otherwise than with its connection."""
        if "Content-Length" in self.headers:
            return True
        return "chunked" in self.headers.get("Transfer-Encoding", "").lower()

    @property
    def was_reset(self) -> bool:
        """Whether its connection has ended by an error.

        The library takes any end of a connection for the end of a body that has
        no length, though a reset cuts the body short.
        """
        if self.protocol is None:
            return False
        error = self.protocol.exception()
        is_clean = isinstance(error, aiohttp.ServerDisconnectedError)
        return isinstance(error, OSError) and not is_clean


class CleanConnector(aiohttp.TCPConnector):
    """Reuses only connections on which nothing has come since their last answer."""

    async def _get(self, key, traces):
        # The library looks only at whether the connection is open. What has come
        # on it since would be taken for the answer to the next request.
        waiting = self._conns.get(key)
        if waiting:
            for entry in [each for each in waiting if each[0].should_close]:
                waiting.remove(entry)
                entry[0].close()
            if not waiting:
                del self._conns[key]
        return await super()._get(key, traces)
