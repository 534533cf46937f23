"""An upstream for features that responds to each request with scripted bytes."""

import asyncio
import re
import socket
import struct
import time
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

END_OF_HEAD = b"\r\n\r\n"
# The value of SO_LINGER with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REPORT_REQUEST = b"GET /v1/report "
REPORT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


@dataclass(kw_only=True)
class ScriptedUpstream:
    """The script of an upstream, and the requests that the upstream has received.

    For each request the upstream sends ``response_parts``, or the parts that
    ``make_parts`` returns for the head of the request, with a short pause after each
    part. ``connection_ending`` determines what follows: ``close`` closes the
    connection, ``reset`` resets it, ``keep`` waits for the next request, and
    ``silent`` sends nothing more until the client closes the connection, which
    ``client_disconnects`` counts. Unless ``reports`` is false, it reports on itself as
    the platform's upstreams do, whatever its script.
    """

    response_parts: tuple[bytes, ...] = ()
    make_parts: Callable[[bytes], tuple[bytes, ...]] | None = None
    connection_ending: str = "close"
    reports: bool = True
    requests: list[bytes] = field(default_factory=list)
    connections: list[int] = field(default_factory=list)
    arrivals_s: list[float] = field(default_factory=list)
    client_disconnects: int = 0
    url: str = ""


@asynccontextmanager
async def serve_scripted_upstream(upstream, host="127.0.0.1", pause_s=0.02):
    tasks = set()

    async def handle_connection(reader, writer):
        tasks.add(asyncio.current_task())
        try:
            await _serve_requests(upstream, reader, writer, pause_s)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            _close_connection(writer, upstream.connection_ending)
            tasks.discard(asyncio.current_task())

    server = await asyncio.start_server(handle_connection, host, 0)
    port = server.sockets[0].getsockname()[1]
    upstream.url = f"http://{host}:{port}"
    try:
        yield upstream
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()


async def _serve_requests(upstream, reader, writer, pause_s):
    while True:
        head = await reader.readuntil(END_OF_HEAD)
        length = CONTENT_LENGTH.search(head)
        if length:
            await reader.readexactly(int(length[1]))
        if upstream.reports and head.startswith(REPORT_REQUEST):
            writer.write(REPORT)
            continue
        upstream.requests.append(head)
        upstream.arrivals_s.append(time.monotonic())
        upstream.connections.append(writer.get_extra_info("peername")[1])
        parts = (
            upstream.make_parts(head)
            if upstream.make_parts
            else upstream.response_parts
        )
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
        if upstream.connection_ending == "silent":
            await reader.read()
            upstream.client_disconnects += 1
        if upstream.connection_ending != "keep":
            return


def _close_connection(writer, ending):
    if ending == "reset":
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.close()
