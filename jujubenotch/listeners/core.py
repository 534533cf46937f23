"""Starts and stops an HTTP server for one application on a bound socket."""

import asyncio
import logging
import socket
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from sanic import Sanic
from sanic.server.async_server import AsyncioServer

from jujubenotch.listeners.bounds import DEFAULT_BACKLOG, NO_LIMITS, ListenerLimits
from jujubenotch.listeners.connection import BoundedProtocol
from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)

# The request of a connection that was just accepted arrives within this time. Before,
# the connection looks idle, and closing it would cut the request off.
FIRST_REQUEST_WAIT_S = 0.2
# The event loop accepts what waits within this time, as in normal service.
ACCEPT_PAUSE_S = 0.005
CLOSE_POLL_INTERVAL_S = 0.01


@dataclass(kw_only=True)
class Listener:
    """An application that is being served.

    :param host: The IP address that the server listens on.
    :param port: The port that the server listens on.
    :param bound_socket: The listening socket.
    :param tls: The TLS context; ``None`` for plain HTTP.
    :param make_protocol: Makes the protocol of a connection.
    :param protocol_options: What the server makes each connection's protocol with;
        empty before the first connection.

    >>> Listener(app=None, server=None, host="127.0.0.1", port=80).port
    80
    """

    app: Sanic
    server: AsyncioServer
    host: str
    port: int
    bound_socket: socket.socket | None = None
    tls: ssl.SSLContext | None = None
    make_protocol: Callable[..., BoundedProtocol] | None = None
    protocol_options: dict[str, Any] = field(default_factory=dict)


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
    limits: ListenerLimits = NO_LIMITS,
) -> Listener:
    """Serve an application on a bound socket, in the running event loop.

    :param app: The application.
    :param bound_socket: The bound socket.
    :param tls: The TLS context; ``None`` serves plain HTTP.
    :param limits: Limits on the listener's connections, beside Sanic's own ones.
    :returns: The listener.
    """
    host, port = bound_socket.getsockname()[:2]
    # Sanic rewrites its own classes when an application starts (TouchUp), and
    # fails if it does so again for a second application in the same process.
    app.config.TOUCHUP = not getattr(Sanic, "__touched__", False)
    protocol_options = {}
    turns = asyncio.Lock()

    def make_protocol(**options):
        protocol_options.update(options)
        return BoundedProtocol(limits=limits, turns=turns, **options)

    server = await app.create_server(
        sock=bound_socket,
        ssl=tls,
        backlog=limits.backlog,
        access_log=False,
        return_asyncio_server=True,
        protocol=make_protocol,
    )
    await server.startup()
    await server.start_serving()
    return Listener(
        app=app,
        server=server,
        host=host,
        port=port,
        bound_socket=bound_socket,
        tls=tls,
        make_protocol=make_protocol,
        protocol_options=protocol_options,
    )


async def stop_listener(listener: Listener, timeout_s: float | None = None) -> int:
    """Stop accepting connections, and close each open one after its last response.

    A response may still be in the connection's write buffer after its handler has
    returned. This function therefore waits until all connections are closed, not
    only until all handlers have returned. Requests that have not arrived completely
    are refused, and connections that are open at the time limit are aborted.

    :param listener: The listener.
    :param timeout_s: How long to wait for the connections, in seconds; ``None``
        waits without a limit.
    :returns: The number of connections still open at the time limit.
    """
    if timeout_s != 0:
        await asyncio.sleep(ACCEPT_PAUSE_S)
    await _close_server(listener)
    connections = listener.server.connections
    try:
        async with asyncio.timeout(timeout_s):
            if connections:
                await asyncio.sleep(FIRST_REQUEST_WAIT_S)
            while connections:
                for connection in list(connections):
                    connection.close_if_idle()
                    connection.turn_away_unfinished(FIRST_REQUEST_WAIT_S)
                await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
    except TimeoutError:
        pass
    count = len(connections)
    for connection in list(connections):
        connection.transport.abort()
    return count


async def _close_server(listener):
    """Close the listening socket, and serve the connections that wait to be accepted.

    Closing the last descriptor of a listening socket resets them.
    """
    if not listener.protocol_options:
        listener.server.close()
        return
    waiting = listener.bound_socket.dup()
    listener.server.close()
    accepted = _accept_waiting(waiting)
    waiting.close()
    if accepted:
        tasks = [
            asyncio.create_task(_serve_accepted(listener, each)) for each in accepted
        ]
        await asyncio.wait(tasks, timeout=FIRST_REQUEST_WAIT_S)


async def _serve_accepted(listener, connection):
    def make_protocol():
        return listener.make_protocol(**listener.protocol_options)

    loop = asyncio.get_running_loop()
    try:
        await loop.connect_accepted_socket(make_protocol, connection, ssl=listener.tls)
    except OSError as error:
        # The caller has left, or no TLS session was established.
        log_event(logger, logging.INFO, "connection-lost-at-stop", error=str(error))


def _accept_waiting(waiting):
    """Accept the connections that have been established, without waiting for more."""
    waiting.setblocking(False)
    accepted = []
    while len(accepted) < DEFAULT_BACKLOG:
        try:
            connection, _ = waiting.accept()
        except BlockingIOError:
            break
        except OSError as error:
            log_event(
                logger, logging.WARNING, "accept-failed-at-stop", error=str(error)
            )
            break
        connection.setblocking(False)
        accepted.append(connection)
    return accepted
