"""Connections to upstreams: socket options, timeouts and connection reuse."""

import socket
from dataclasses import dataclass, field

import aiohttp

from jujubenotch.memory import MemoryAccount
from jujubenotch.upstreams.connector import CleanConnector
from jujubenotch.upstreams.response import UpstreamResponse

# What is read ahead of each response isn't on the account of memory.
READ_BUFFER_BYTES = 16 * 1024
KEEPALIVE_PROBE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True)
class ConnectionLimits:
    """Limits on each connection to an upstream.

    :param connect_timeout_s: The longest time to establish a new connection.
    :param idle_timeout_s: The longest time without data before the status of a
        stream, and between two of its chunks.
    :param answer_timeout_s: The longest time without data before the status of a
        non-streamed response, and between two of its chunks.
    :param keepalive_s: The idle time before TCP keepalive probes are sent, and
        the time for which an unused connection is kept open.
    :param tcp_user_timeout_s: The longest time for which sent data may stay
        unacknowledged.
    :param max_answer_bytes: The maximum size of a non-streamed response body.

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

    :param reusable: The pool for requests that may use a reused connection.
    :param single_use: The pool for all other requests, each of which gets a new
        connection. If an upstream closed an idle connection just as a request
        was sent on it, nothing would tell whether the request ran.
    :param stream_timeout: The timeouts of a stream.
    :param limits: The limits on each connection.
    :param memory: The account of what requests and responses in progress hold.
    """

    reusable: aiohttp.ClientSession
    single_use: aiohttp.ClientSession
    stream_timeout: aiohttp.ClientTimeout
    limits: ConnectionLimits
    memory: MemoryAccount = field(default_factory=MemoryAccount)


def open_connections(
    limits: ConnectionLimits,
    local_host: str | None = None,
    memory: MemoryAccount | None = None,
) -> UpstreamConnections:
    """Create the two connection pools; requires a running event loop.

    :param limits: The limits on each connection.
    :param local_host: The address that connections come from; ``None`` lets the system
        choose one.
    :param memory: The account of what is in progress, if others share it.
    :returns: The pools; close them with :func:`close_connections`.
    """
    return UpstreamConnections(
        reusable=_make_session(limits, local_host, force_close=False),
        single_use=_make_session(limits, local_host, force_close=True),
        stream_timeout=make_timeout(limits, limits.idle_timeout_s),
        limits=limits,
        memory=memory or MemoryAccount(),
    )


async def close_connections(connections: UpstreamConnections) -> None:
    """Close both pools.

    :param connections: The pools.
    """
    await connections.reusable.close()
    await connections.single_use.close()


def _make_session(limits, local_host, *, force_close):
    def make_socket(address_info):
        family, kind, protocol, _, _ = address_info
        sock = socket.socket(family, kind, protocol)
        _set_socket_options(sock, limits)
        return sock

    arguments = {} if force_close else {"keepalive_timeout": limits.keepalive_s}
    connector = CleanConnector(
        limit=0,
        force_close=force_close,
        socket_factory=make_socket,
        local_addr=(local_host, 0) if local_host else None,
        **arguments,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=make_timeout(limits, limits.answer_timeout_s),
        auto_decompress=False,
        response_class=UpstreamResponse,
        read_bufsize=READ_BUFFER_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    # By default aiohttp resends GET, PUT, DELETE and other idempotent methods
    # when the connection is lost, whether or not the call may be repeated. It
    # has no public option to disable this.
    session._retry_connection = False
    return session


def make_timeout(
    limits: ConnectionLimits, read_timeout_s: float
) -> aiohttp.ClientTimeout:
    """Make the timeouts of a request.

    :param limits: The limits on each connection.
    :param read_timeout_s: How long the upstream may send nothing, in seconds.
    :returns: The timeouts, as the HTTP library expects them.
    """
    return aiohttp.ClientTimeout(
        total=None,
        sock_connect=limits.connect_timeout_s,
        sock_read=read_timeout_s,
    )


def _set_socket_options(sock, limits):
    keepalive_s = max(1, int(limits.keepalive_s))
    user_timeout_ms = int(limits.tcp_user_timeout_s * MS_PER_S)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keepalive_s)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
