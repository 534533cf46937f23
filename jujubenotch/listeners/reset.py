"""Resets connections to show that their last response is incomplete."""

import asyncio
import logging
import socket
import struct

from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)

# Values of SO_LINGER: closing the socket resets its connection, or ends it regularly.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REGULAR_CLOSE = struct.pack("ii", 0, 0)


def reset_connection(transport: asyncio.Transport) -> None:
    """Reset a connection; bytes that have not been sent yet are lost.

    :param transport: The connection's transport.
    """
    reset_on_close(transport)
    transport.abort()


def reset_on_close(transport: asyncio.Transport) -> None:
    """Make the kernel reset a connection however its socket is closed.

    This includes the end of the process, also when it is killed.

    :param transport: The connection's transport.
    """
    _set_linger(transport, RESET_ON_CLOSE)


def close_regularly(transport: asyncio.Transport) -> None:
    """Make the kernel end a connection regularly when its socket is closed.

    :param transport: The connection's transport.
    """
    _set_linger(transport, REGULAR_CLOSE)


def _set_linger(transport, value):
    if transport.is_closing():
        # The number of the socket may be that of another connection already.
        return
    connection = transport.get_extra_info("socket")
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
    except OSError as error:
        # The connection has ended already.
        log_event(logger, logging.INFO, "linger-not-set", error=str(error))
