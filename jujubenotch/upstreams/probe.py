"""Tells whether an upstream accepts connections."""

import asyncio
from urllib.parse import urlsplit

CONNECT_TIMEOUT_S = 0.5
# A proxy in front of an upstream that has ended accepts connections and closes them.
KEPT_OPEN_S = 0.1


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
