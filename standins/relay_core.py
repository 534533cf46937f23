"""Relays TCP connections, and can reset, block, delay or silence them."""

import asyncio
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum

CHUNK_BYTES = 65536
MAX_CHUNKS_IN_TRANSIT = 64
BACKLOG = 1024
# The value of SO_LINGER with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RelayMode(StrEnum):
    """Determines whether a route forwards, refuses or holds back its bytes.

    ``CUT`` resets the connections and refuses new ones. The ``HOLD`` modes block
    one or both directions. The held bytes are not lost but delivered when the hold
    ends, as on a network where TCP retransmits until an endpoint gives up.
    """

    FORWARD = "forward"
    CUT = "cut"
    HOLD = "hold"
    HOLD_TO_TARGET = "hold-to-target"
    HOLD_FROM_TARGET = "hold-from-target"


MODES_HOLDING_TO_TARGET = frozenset({RelayMode.HOLD, RelayMode.HOLD_TO_TARGET})
MODES_HOLDING_FROM_TARGET = frozenset({RelayMode.HOLD, RelayMode.HOLD_FROM_TARGET})

HOLDING_MODES = MODES_HOLDING_TO_TARGET | MODES_HOLDING_FROM_TARGET


@dataclass(eq=False, kw_only=True)
class RelayedConnection:
    """One connection through a route.

    :param is_silent: The relay forwards no more bytes of this connection and
        notifies neither endpoint, like a middlebox that has lost its state.
    """

    writers: list[asyncio.StreamWriter]
    task: asyncio.Task
    is_silent: bool = False


@dataclass(kw_only=True)
class Route:
    """One listening port and the target of its connections.

    :param target_host: The host that connections are forwarded to.
    :param port: The port to listen on; if it is 0, a free port is selected when
        the route is opened.
    :param delay_s: Delay of each byte in each direction, in seconds.
    :param mode: Whether the route forwards, refuses or holds back its bytes.

    >>> Route(target_host="127.0.0.1", target_port=80).mode
    <RelayMode.FORWARD: 'forward'>
    """

    target_host: str
    target_port: int
    host: str = "127.0.0.1"
    port: int = 0
    delay_s: float = 0.0
    mode: RelayMode = RelayMode.FORWARD
    connections: set[RelayedConnection] = field(default_factory=set)
    mode_changed: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None
    _reserved_socket: socket.socket | None = None


async def open_route(route: Route) -> None:
    """Listen on the port of the route, or on a free port if it has none.

    :param route: The route.
    """
    listener = route._reserved_socket or _bind_socket(route.host, route.port)
    route._reserved_socket = None
    route.port = listener.getsockname()[1]

    async def handle_connection(reader, writer):
        # asyncio.streams logs the cancellation of a handler as an error.
        with suppress(asyncio.CancelledError):
            await _relay_connection(route, reader, writer)

    route._server = await asyncio.start_server(
        handle_connection, sock=listener, backlog=BACKLOG
    )


def close_route(route: Route) -> None:
    """Refuse new connections and reset the existing ones.

    :param route: The route.
    """
    if route._server is not None:
        route._server.close()
        route._server = None
    for connection in list(route.connections):
        _reset_connection(connection)
        connection.task.cancel()


async def set_mode(route: Route, mode: RelayMode) -> None:
    """Change the mode of a route.

    :param route: The route.
    :param mode: The new mode.
    """
    was_cut = route.mode is RelayMode.CUT
    route.mode = mode
    if mode is RelayMode.CUT and not was_cut:
        close_route(route)
        # A bound socket that does not listen refuses connections and keeps
        # other processes from taking the port.
        route._reserved_socket = _bind_socket(route.host, route.port)
    if was_cut and mode is not RelayMode.CUT:
        await open_route(route)
    route.mode_changed.set()
    route.mode_changed = asyncio.Event()


def silence_relayed_connections(route: Route) -> int:
    """Silence the existing connections permanently; new connections work.

    :param route: The route.
    :returns: The number of silenced connections.
    """
    for connection in route.connections:
        connection.is_silent = True
    return len(route.connections)


def _bind_socket(host, port):
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    return listener


async def _relay_connection(route, reader, writer):
    connection = RelayedConnection(writers=[writer], task=asyncio.current_task())
    route.connections.add(connection)
    try:
        target_reader, target_writer = await asyncio.open_connection(
            route.target_host, route.target_port
        )
        connection.writers.append(target_writer)
        async with asyncio.TaskGroup() as group:
            group.create_task(
                _relay_direction(
                    route, connection, reader, target_writer, MODES_HOLDING_TO_TARGET
                )
            )
            group.create_task(
                _relay_direction(
                    route, connection, target_reader, writer, MODES_HOLDING_FROM_TARGET
                )
            )
    except* OSError:
        await _wait_until_forwarding(route, connection, HOLDING_MODES)
        _reset_connection(connection)
    finally:
        route.connections.discard(connection)
        for connection_writer in connection.writers:
            connection_writer.close()


async def _relay_direction(route, connection, reader, writer, holding_modes):
    in_transit = asyncio.Queue(MAX_CHUNKS_IN_TRANSIT)
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as group:
        group.create_task(
            _write_when_due(
                route, connection, writer, in_transit, holding_modes, loop.time
            )
        )
        while True:
            data = await reader.read(CHUNK_BYTES)
            await in_transit.put((loop.time() + route.delay_s, data))
            if not data:
                return


async def _write_when_due(
    route, connection, writer, in_transit, holding_modes, read_clock_s
):
    while True:
        due_s, data = await in_transit.get()
        await asyncio.sleep(max(0.0, due_s - read_clock_s()))
        await _wait_until_forwarding(route, connection, holding_modes)
        if writer.is_closing():
            return
        if not data:
            writer.write_eof()
            return
        writer.write(data)
        await writer.drain()


async def _wait_until_forwarding(route, connection, holding_modes):
    while route.mode in holding_modes:
        await route.mode_changed.wait()
    while connection.is_silent:
        await asyncio.Event().wait()


def _reset_connection(connection):
    for writer in connection.writers:
        connection_socket = writer.get_extra_info("socket")
        if connection_socket is not None and connection_socket.fileno() >= 0:
            connection_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        writer.transport.abort()
