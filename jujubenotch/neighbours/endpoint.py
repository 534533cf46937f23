"""Sends and receives the datagrams between the instances of a data centre."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable

from jujubenotch.logs import log_event
from jujubenotch.neighbours.codec import (
    MessageError,
    Reassembly,
    decode_message,
    join_datagram,
    split_message,
)
from jujubenotch.neighbours.model import Message
from jujubenotch.sockets import ListenerError

logger = logging.getLogger(__name__)

MESSAGE_ID_BITS = 64
# An invalid datagram is logged, but not more often than this.
ERROR_LOG_INTERVAL_S = 10.0


class NeighbourEndpoint(asyncio.DatagramProtocol):
    """The datagram socket of this instance.

    :param receive: Called with the sender's address and the message.

    >>> NeighbourEndpoint(receive=lambda sender, message: None).transport is None
    True
    """

    def __init__(self, *, receive: Callable[[str, Message], None]):
        self._receive = receive
        self._reassembly = Reassembly()
        self._next_id = random.getrandbits(MESSAGE_ID_BITS - 1)
        self._error_logged_s = float("-inf")
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport):
        """Keep the transport; called by the event loop."""
        self.transport = transport

    def datagram_received(self, data, addr):
        """Pass on a message that is complete; called by the event loop."""
        sender = f"{addr[0]}:{addr[1]}"
        now_s = asyncio.get_running_loop().time()
        try:
            content = join_datagram(self._reassembly, sender, data, now_s)
            if content is not None:
                self._receive(sender, decode_message(content))
        except MessageError as error:
            self._log_error(sender, error, now_s)

    def error_received(self, exc):
        """Log an error of the socket; called by the event loop."""
        self._log_error("", exc, asyncio.get_running_loop().time())

    def send(self, message: Message, addresses: Iterable[str]) -> bool:
        """Send a message.

        :param message: The message.
        :param addresses: The addresses of the receivers.
        :returns: False when the message is too large; nothing was sent.
        """
        datagrams = split_message(message, self._next_id)
        if datagrams is None:
            return False
        self._next_id += 1
        for address in addresses:
            host, _, port = address.rpartition(":")
            for datagram in datagrams:
                self.transport.sendto(datagram, (host, int(port)))
        return True

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def _log_error(self, sender, error, now_s):
        if now_s - self._error_logged_s < ERROR_LOG_INTERVAL_S:
            return
        self._error_logged_s = now_s
        log_event(
            logger,
            logging.WARNING,
            "neighbour-message-invalid",
            sender=sender,
            error=str(error),
        )


async def open_endpoint(
    host: str, port: int, receive: Callable[[str, Message], None]
) -> NeighbourEndpoint:
    """Open the socket for messages of neighbours.

    :param host: The address to bind.
    :param port: The port to bind.
    :param receive: Called with the sender's address and the message.
    :returns: The endpoint.
    :raises ListenerError: The address can't be bound.
    """
    loop = asyncio.get_running_loop()
    try:
        _, endpoint = await loop.create_datagram_endpoint(
            lambda: NeighbourEndpoint(receive=receive), local_addr=(host, port)
        )
    except OSError as error:
        raise ListenerError(f"{host}:{port} can't be bound: {error}") from error
    return endpoint
