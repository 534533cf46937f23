"""Checks addresses of endpoints that the store holds."""

import ipaddress

MAX_PORT = 65_535


def is_address(text: str) -> bool:
    """Return whether a datagram can be sent to an address.

    :param text: The address; valid as ``host:port`` with an IP address as host.

    >>> is_address("10.0.0.1:7000"), is_address("10.0.0.1:99999")
    (True, False)
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT
