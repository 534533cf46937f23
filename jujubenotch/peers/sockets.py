"""TCP socket options that detect unresponsive peers."""

import asyncio
import socket

from grpclib.client import Channel

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 3000


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


def set_peer_options(tcp_socket: socket.socket) -> None:
    """Set keepalive, the timeout for unacknowledged data, and ``TCP_NODELAY``.

    Accepted sockets inherit these options from the listening socket.

    :param tcp_socket: A TCP socket, connected or listening.
    """
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
