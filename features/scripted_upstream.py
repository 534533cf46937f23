"""An upstream that answers each connection with scripted bytes, for features."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

END_OF_HEAD = b"\r\n\r\n"
# Closing a socket with this option set resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(kw_only=True)
class ScriptedUpstream:
    """What it sends and how it ends, and the requests that it has read.

    :param parts: Bytes to send for a request, each after a short pause.
    :param ending: ``close``, ``reset``, ``keep`` or ``silent``.
    """

    parts: tuple[bytes, ...] = ()
    ending: str = "close"
    requests: list[bytes] = field(default_factory=list)
    connections: list[int] = field(default_factory=list)
    url: str = ""


@asynccontextmanager
async def serve_script(upstream, pause_s=0.02):
    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(END_OF_HEAD)
                upstream.requests.append(head)
                upstream.connections.append(id(writer))
                for part in upstream.parts:
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(pause_s)
                if upstream.ending == "silent":
                    await reader.read()
                if upstream.ending != "keep":
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            _end(writer, upstream.ending)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    upstream.url = f"http://{host}:{port}"
    try:
        yield upstream
    finally:
        server.close()


def _end(writer, ending):
    if ending == "reset":
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.close()
