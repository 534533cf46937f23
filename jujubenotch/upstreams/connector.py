"""Opens and reuses connections to upstreams."""

import asyncio
import functools

import aiohappyeyeballs
import aiohttp

from jujubenotch.upstreams.carried import is_used_up, may_carry_request
from jujubenotch.upstreams.response import BoundedHandler


class CleanConnector(aiohttp.TCPConnector):
    """Reuses only connections that received nothing after their last response.

    A request is never sent on a connection that has carried it before.
    """

    def __init__(self, **options):
        super().__init__(**options)
        # The HTTP library has no public option for the protocol of its connections.
        self._factory = functools.partial(BoundedHandler, loop=self._loop)

    async def _wrap_create_connection(
        self,
        *arguments,
        addr_infos,
        req,
        timeout,
        client_error=aiohttp.ClientConnectorError,
        **options,
    ):
        # The HTTP library's method may be cancelled while the event loop takes the
        # socket over, and then both close its descriptor.
        try:
            async with asyncio.timeout(timeout.sock_connect):
                connection = await aiohappyeyeballs.start_connection(
                    addr_infos=addr_infos,
                    local_addr_infos=self._local_addr_infos,
                    loop=self._loop,
                    socket_factory=self._socket_factory,
                )
            return await self._hand_over(*arguments, sock=connection, **options)
        except TimeoutError:
            raise
        except OSError as error:
            raise client_error(req.connection_key, error) from error

    async def _hand_over(self, *arguments, **options):
        """Hand a connected socket over to the event loop, even if this is cancelled."""
        handover = self._loop.create_task(
            self._loop.create_connection(*arguments, **options)
        )
        try:
            return await asyncio.shield(handover)
        except asyncio.CancelledError:
            handover.add_done_callback(_abort_unused)
            raise

    async def _get(self, key, traces):
        # The HTTP library checks only whether the connection is open. It would
        # treat bytes that arrived after the last response as the response to the
        # next request.
        waiting = self._conns.get(key)
        if waiting:
            for entry in [each for each in waiting if _is_unfit(each[0])]:
                waiting.remove(entry)
                entry[0].close()
            if not waiting:
                del self._conns[key]
        kept_back = self._take_out_carriers(key)
        try:
            return await super()._get(key, traces)
        finally:
            if kept_back:
                self._conns[key].extendleft(reversed(kept_back))

    def _take_out_carriers(self, key):
        """Take out the connections that have carried the request before."""
        waiting = self._conns.get(key, ())
        carriers = [each for each in waiting if not may_carry_request(each[0].carried)]
        for entry in carriers:
            waiting.remove(entry)
        if carriers and not waiting:
            del self._conns[key]
        return carriers

    def _release(self, key, protocol, *, should_close=False):
        should_close = should_close or is_used_up(protocol.carried)
        super()._release(key, protocol, should_close=should_close)
        # A connection that is not kept has lost its transport.
        protocol.is_idle = protocol.transport is not None


def _is_unfit(protocol):
    return protocol.should_close or protocol.has_rest()


def _abort_unused(handover):
    """Abort a connection that nobody waits for any more."""
    if handover.cancelled() or handover.exception() is not None:
        return
    transport, _ = handover.result()
    transport.abort()
