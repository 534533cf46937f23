"""Tells whether an upstream accepts connections, and whether its process works."""

import asyncio
from enum import StrEnum
from urllib.parse import urlsplit

import aiohttp

CONNECT_TIMEOUT_S = 0.5
# A proxy in front of an upstream that has ended accepts connections and closes them.
KEPT_OPEN_S = 0.1
# A working process reacts to a new connection within this time.
REACTION_TIMEOUT_S = 0.4
MAX_REPORT_BYTES = 64 * 1024
OK = 200


class ProcessState(StrEnum):
    """What a new connection shows about the process of an upstream.

    ``STANDS_STILL`` means that its host accepts connections and the process reacts to
    nothing, so it doesn't learn that a connection was closed either.
    """

    WORKS = "works"
    UNREACHED = "unreached"
    STANDS_STILL = "stands-still"


async def check_process(url: str, path: str) -> ProcessState:
    """Find out whether the process of an upstream reacts to a new connection.

    A response counts, and the end of the connection. This side isn't ended, as a proxy
    in between would answer that in the place of the process.

    :param url: The upstream's base URL.
    :param path: A path that the upstream answers without running a request.
    """
    address = urlsplit(url)
    writer = None
    try:
        async with asyncio.timeout(REACTION_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                address.hostname, address.port
            )
            head = f"GET {path} HTTP/1.1\r\nHost: {address.netloc}\r\n"
            writer.write(f"{head}Connection: close\r\n\r\n".encode())
            await reader.read(1)
    except TimeoutError:
        return ProcessState.UNREACHED if writer is None else ProcessState.STANDS_STILL
    # A reset is a reaction, of the process or of its host after the process's end. The
    # event loop raises RuntimeError for a connection whose file descriptor was closed
    # by a cancelled call.
    except (OSError, RuntimeError):
        return ProcessState.UNREACHED if writer is None else ProcessState.WORKS
    finally:
        if writer is not None:
            writer.transport.abort()
    return ProcessState.WORKS


async def keeps_connections(url: str) -> bool:
    """Return whether an upstream accepts a connection and keeps it open.

    :param url: The upstream's base URL.
    """
    address = urlsplit(url)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                address.hostname, address.port
            )
    except (OSError, TimeoutError):
        return False
    try:
        async with asyncio.timeout(KEPT_OPEN_S):
            await reader.read(1)
    except TimeoutError:
        return True
    except OSError:
        return False
    finally:
        writer.close()
    return False


async def read_report(url: str) -> bytes:
    """Return what an upstream says of itself at present.

    :param url: The URL of the report.
    :returns: The report; empty when the upstream doesn't answer with one in time.
    """
    timeout = aiohttp.ClientTimeout(total=REACTION_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url, allow_redirects=False) as response,
        ):
            if response.status != OK:
                return b""
            return await response.content.read(MAX_REPORT_BYTES)
    except (aiohttp.ClientError, OSError, TimeoutError, RuntimeError):
        return b""
