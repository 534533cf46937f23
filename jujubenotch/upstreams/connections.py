"""Connections to upstreams: socket options, timeouts and reuse."""

import socket
from dataclasses import dataclass

import aiohttp

from jujubenotch.upstreams.response import CleanConnector, UpstreamResponse

KEEPALIVE_PROBE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True)
class ConnectionLimits:
    """Bounds on every connection to an upstream.

    :param connect_timeout_s: For a new connection.
    :param idle_timeout_s: Between two chunks of a stream, and to its head.
    :param answer_timeout_s: Without a byte of a whole answer.
    :param keepalive_s: Idle time before keepalive probes, and how long an
        unused connection is kept.
    :param tcp_user_timeout_s: How long sent data may stay unacknowledged.
    :param max_answer_bytes: Bound on a whole answer.

    >>> ConnectionLimits(idle_timeout_s=2.0).connect_timeout_s
    1.0
    """

    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 2.0
    answer_timeout_s: float = 60.0
    keepalive_s: float = 15.0
    tcp_user_timeout_s: float = 5.0
    max_answer_bytes: int = 64 * 1024 * 1024


@dataclass(kw_only=True)
class UpstreamConnections:
    """The connections of one instance to all upstreams.

    :param reusable: For idempotent requests.
    :param single_use: For non-idempotent requests: each gets a new connection,
        since one that an upstream closes while idle would leave it unknown
        whether the request ran.
    :param stream_timeout: The bounds on a stream.
    """

    reusable: aiohttp.ClientSession
    single_use: aiohttp.ClientSession
    stream_timeout: aiohttp.ClientTimeout
    limits: ConnectionLimits


def open_connections(limits: ConnectionLimits) -> UpstreamConnections:
    """Make the two pools of connections; needs a running event loop.

    :param limits: The bounds on each connection.
    :returns: The pools; end them with :func:`close_connections`.
    """
    return UpstreamConnections(
        reusable=_make_session(limits, force_close=False),
        single_use=_make_session(limits, force_close=True),
        stream_timeout=make_timeout(limits, limits.idle_timeout_s),
        limits=limits,
    )


async def close_connections(connections: UpstreamConnections) -> None:
    """Close both pools.

    :param connections: The pools.
    """
    await connections.reusable.close()
    await connections.single_use.close()


def _make_session(limits, *, force_close):
    def make_socket(address_info):
        family, kind, protocol, _, _ = address_info
        result = socket.socket(family, kind, protocol)
        _set_options(result, limits)
        return result

    arguments = {} if force_close else {"keepalive_timeout": limits.keepalive_s}
    connector = CleanConnector(
        limit=0,
        force_close=force_close,
        socket_factory=make_socket,
        **arguments,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=make_timeout(limits, limits.answer_timeout_s),
        auto_decompress=False,
        response_class=UpstreamResponse,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    # The library would by itself send GET, PUT and DELETE once more when the
    # connection is lost, whether or not the call may be repeated. It has no
    # public switch for that.
    session._retry_connection = False
    return session


def make_timeout(
    limits: ConnectionLimits, read_timeout_s: float
) -> aiohttp.ClientTimeout:
    """Make the library's bounds on a request.

    :param limits: The bounds on each connection.
    :param read_timeout_s: How long the upstream may be silent, in seconds.
    """
    return aiohttp.ClientTimeout(
        total=None,
        sock_connect=limits.connect_timeout_s,
        sock_read=read_timeout_s,
    )


def _set_options(target, limits):
    keepalive_s = max(1, int(limits.keepalive_s))
    user_timeout_ms = int(limits.tcp_user_timeout_s * MS_PER_S)
    target.setblocking(False)
    target.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keepalive_s)
    target.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_INTERVAL_S
    )
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
