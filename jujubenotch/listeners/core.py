"""One listening socket and the application behind it."""

import asyncio
import socket
import ssl
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from sanic import Sanic
from sanic.server.async_server import AsyncioServer

from jujubenotch.listeners.bounds import BoundedProtocol, ConnectionBounds

BACKLOG_CONNECTIONS = 1024
CLOSE_POLL_S = 0.01


@dataclass(kw_only=True)
class Listener:
    """An application that serves.

    :param port: The port that it listens on.

    >>> Listener(app=None, server=None, host="127.0.0.1", port=80).port
    80
    """

    app: Sanic
    server: AsyncioServer
    host: str
    port: int


class RequestLimits(Protocol):
    """Bounds on what may be sent to an application."""

    max_body_bytes: int
    max_header_bytes: int
    body_timeout_s: float
    idle_timeout_s: float


def set_request_limits(
    app: Sanic, limits: RequestLimits, response_timeout_s: float
) -> None:
    """Bound what an application takes, and how long it may take to answer.

    :param app: The application.
    :param limits: The bounds on a request and its connection.
    :param response_timeout_s: For an answer, in seconds.
    """
    app.config.REQUEST_MAX_SIZE = limits.max_body_bytes
    app.config.REQUEST_MAX_HEADER_SIZE = limits.max_header_bytes
    app.config.REQUEST_TIMEOUT = limits.body_timeout_s
    app.config.KEEP_ALIVE_TIMEOUT = limits.idle_timeout_s
    app.config.RESPONSE_TIMEOUT = response_timeout_s
    app.config.MOTD = False


async def start_listener(
    app: Sanic,
    bound: socket.socket,
    tls: ssl.SSLContext | None = None,
    bounds: ConnectionBounds | None = None,
) -> Listener:
    """Serve an application on a bound socket, in the running loop.

    :param app: The application.
    :param bound: The socket.
    :param tls: The TLS context; ``None`` serves plain HTTP.
    :param bounds: Bounds on its connections; ``None`` leaves the library's.
    :returns: The listener.
    """
    host, port = bound.getsockname()[:2]
    # The library rewrites its own classes when the first application starts,
    # and fails if it does so again for a second one in the same process.
    app.config.TOUCHUP = not getattr(Sanic, "__touched__", False)
    server = await app.create_server(
        sock=bound,
        ssl=tls,
        backlog=BACKLOG_CONNECTIONS,
        access_log=False,
        return_asyncio_server=True,
        protocol=partial(BoundedProtocol, bounds=bounds) if bounds else None,
    )
    await server.startup()
    await server.start_serving()
    return Listener(app=app, server=server, host=host, port=port)


async def stop_listener(listener: Listener, timeout_s: float | None = None) -> int:
    """Take no new connection, and close each as its last answer is written out.

    An answer that its handler has returned may still wait in the connection's
    buffer, so the connections themselves tell when all is sent.

    :param listener: The listener.
    :param timeout_s: How long to wait for them; ``None`` is no bound.
    :returns: How many connections were still open at the bound.
    """
    listener.server.close()
    connections = listener.server.connections
    try:
        async with asyncio.timeout(timeout_s):
            while connections:
                for connection in list(connections):
                    connection.close_if_idle()
                await asyncio.sleep(CLOSE_POLL_S)
    except TimeoutError:
        pass
    return len(connections)
