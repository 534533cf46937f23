"""TCP socket options that detect unresponsive peers."""

import asyncio
import socket

from grpclib.client import Channel

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 3000


class PeerChannel(Channel):
    """A gRPC channel with a connect timeout and dead-peer detection.

    grpclib has no public hook for the creation of a connection, so this class
    overrides the private method that creates it.
    """

    async def _create_connection(self):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            protocol = await super()._create_connection()
        transport = protocol.connection._transport
        set_peer_options(transport.get_extra_info("socket"))
        return protocol


def set_peer_options(target: socket.socket) -> None:
    """Set keepalive, the timeout for unacknowledged data, and ``TCP_NODELAY``.

    Accepted sockets inherit these options from the listening socket.

    :param target: A TCP socket, connected or listening.
    """
    target.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
