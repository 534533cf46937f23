"""Resets a connection to show that its last response is incomplete."""

import asyncio
import logging
import socket
import struct

from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)

# Closing a socket with this value of SO_LINGER resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_connection(transport: asyncio.Transport) -> None:
    """Reset a connection; bytes that have not been sent yet are lost.

    :param transport: The connection's transport.
    """
    connection = transport.get_extra_info("socket")
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError as error:
        # The connection has ended already.
        log_event(logger, logging.INFO, "reset-failed", error=str(error))
    transport.abort()
