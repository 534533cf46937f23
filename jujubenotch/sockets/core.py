"""Creates bound TCP sockets."""

import socket


class ListenerError(Exception):
    """A socket cannot be bound to its address."""


def bind_socket(host: str, port: int) -> socket.socket:
    """Create a TCP socket and bind it to an address.

    :param host: An IPv4 or IPv6 address.
    :param port: The port; 0 chooses a free one.
    :returns: The bound socket, in non-blocking mode.
    :raises ListenerError: The address is in use or does not belong to this host.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound_socket = socket.socket(family, socket.SOCK_STREAM)
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound_socket.bind((host, port))
    except OSError as error:
        bound_socket.close()
        raise ListenerError(f"{host}:{port} can't be bound: {error}") from error
    bound_socket.setblocking(False)
    return bound_socket
