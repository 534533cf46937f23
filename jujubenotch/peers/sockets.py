"""Sockets between instances: bounds on silence, and TLS."""

import asyncio
import socket
import ssl

from grpclib.client import Channel

from jujubenotch.settings import MutualTlsSettings

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


def build_server_tls(settings: MutualTlsSettings) -> ssl.SSLContext:
    """Make the TLS context of the peers' listener.

    :param settings: The files to use.
    :returns: A context that refuses a peer whose certificate the CA did not
        sign.
    """
    return _build_tls(ssl.Purpose.CLIENT_AUTH, settings)


def build_client_tls(settings: MutualTlsSettings) -> ssl.SSLContext:
    """Make the TLS context for sessions to peers.

    Peers are reached by IP numbers, so a certificate is checked for its
    signature, not for a host name.

    :param settings: The files to use.
    :returns: The context.
    """
    return _build_tls(ssl.Purpose.SERVER_AUTH, settings)


def _build_tls(purpose, settings):
    context = ssl.create_default_context(purpose, cafile=settings.ca)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(settings.certificate, settings.key)
    context.set_alpn_protocols(["h2"])
    return context
