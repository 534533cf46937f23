"""Bound TCP sockets."""

import socket


class ListenerError(Exception):
    """An address can't be listened on."""


def bind_socket(host: str, port: int) -> socket.socket:
    """Bind a TCP address.

    :param host: An IP number.
    :param port: A port; 0 takes a free one.
    :returns: The bound socket.
    :raises ListenerError: The address is taken or not this instance's.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    result = socket.socket(family, socket.SOCK_STREAM)
    result.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        result.bind((host, port))
    except OSError as error:
        result.close()
        raise ListenerError(f"{host}:{port} can't be bound: {error}") from error
    result.setblocking(False)
    return result
