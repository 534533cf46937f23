"""Starts and stops an HTTP server for one application on a bound socket."""

import asyncio
import socket
import ssl
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from sanic import Sanic
from sanic.server.async_server import AsyncioServer

from jujubenotch.listeners.bounds import BoundedProtocol, ListenerLimits

BACKLOG_CONNECTIONS = 1024
# The request of a connection that was just accepted arrives within this time. Before,
# the connection looks idle, and closing it would cut the request off.
FIRST_REQUEST_WAIT_S = 0.2
ACCEPT_PAUSE_S = 0.005
CLOSE_POLL_INTERVAL_S = 0.01


@dataclass(kw_only=True)
class Listener:
    """An application that is being served.

    :param host: The IP address that the server listens on.
    :param port: The port that the server listens on.

    >>> Listener(app=None, server=None, host="127.0.0.1", port=80).port
    80
    """

    app: Sanic
    server: AsyncioServer
    host: str
    port: int


class RequestLimits(Protocol):
    """Limits on an application's requests and connections.

    :param body_timeout_s: The longest pause between received bytes of a
        request's head (Sanic's request timeout).
    :param idle_timeout_s: How long a connection may stay idle before it is closed.
    """

    max_body_bytes: int
    max_header_bytes: int
    body_timeout_s: float
    idle_timeout_s: float


def set_request_limits(
    app: Sanic, limits: RequestLimits, response_timeout_s: float
) -> None:
    """Set an application's limits on requests, connections and responses.

    :param app: The application.
    :param limits: The limits on a request and its connection.
    :param response_timeout_s: Time limit for a response, in seconds.
    """
    app.config.REQUEST_MAX_SIZE = limits.max_body_bytes
    app.config.REQUEST_MAX_HEADER_SIZE = limits.max_header_bytes
    app.config.REQUEST_TIMEOUT = limits.body_timeout_s
    app.config.KEEP_ALIVE_TIMEOUT = limits.idle_timeout_s
    app.config.RESPONSE_TIMEOUT = response_timeout_s
    app.config.MOTD = False


async def start_listener(
    app: Sanic,
    bound_socket: socket.socket,
    tls: ssl.SSLContext | None = None,
    limits: ListenerLimits | None = None,
) -> Listener:
    """Serve an application on a bound socket, in the running event loop.

    :param app: The application.
    :param bound_socket: The bound socket.
    :param tls: The TLS context; ``None`` serves plain HTTP.
    :param limits: Limits on the listener's connections; with ``None``, only
        Sanic's own limits apply.
    :returns: The listener.
    """
    host, port = bound_socket.getsockname()[:2]
    # Sanic rewrites its own classes when an application starts (TouchUp), and
    # fails if it does so again for a second application in the same process.
    app.config.TOUCHUP = not getattr(Sanic, "__touched__", False)
    server = await app.create_server(
        sock=bound_socket,
        ssl=tls,
        backlog=BACKLOG_CONNECTIONS,
        access_log=False,
        return_asyncio_server=True,
        protocol=partial(BoundedProtocol, limits=limits) if limits else None,
    )
    await server.startup()
    await server.start_serving()
    return Listener(app=app, server=server, host=host, port=port)


async def stop_listener(listener: Listener, timeout_s: float | None = None) -> int:
    """Stop accepting connections, and close each open one after its last response.

    A response may still be in the connection's write buffer after its handler has
    returned. This function therefore waits until all connections are closed, not
    only until all handlers have returned.

    :param listener: The listener.
    :param timeout_s: How long to wait for the connections, in seconds; ``None``
        waits without a limit.
    :returns: The number of connections still open at the time limit.
    """
    if timeout_s != 0:
        # Closing the socket resets the connections that wait to be accepted, which are
        # fewest just after the event loop has polled it.
        await asyncio.sleep(ACCEPT_PAUSE_S)
    listener.server.close()
    connections = listener.server.connections
    try:
        async with asyncio.timeout(timeout_s):
            if connections:
                await asyncio.sleep(FIRST_REQUEST_WAIT_S)
            while connections:
                for connection in list(connections):
                    connection.close_if_idle()
                await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
    except TimeoutError:
        pass
    return len(connections)
