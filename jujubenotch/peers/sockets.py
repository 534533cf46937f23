"""Sockets between instances, with bounds on silence."""

import asyncio
import socket

from grpclib.client import Channel

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 3000


class PeerChannel(Channel):
    """A channel whose connect is bounded and whose socket notices silence.

    The library has no public hook for the connection; this method is where it
    makes one.
    """

    async def _create_connection(self):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            protocol = await super()._create_connection()
        transport = protocol.connection._transport
        set_peer_options(transport.get_extra_info("socket"))
        return protocol


def set_peer_options(target: socket.socket) -> None:
    """Set keepalive and the bound on unacknowledged data.

    Set on a listening socket, the accepted ones inherit them.

    :param target: A TCP socket.
    """
    target.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
