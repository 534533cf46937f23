"""Parses the addresses of the peers that an instance contacts first."""

import re
from dataclasses import dataclass

SEED_PATTERN = re.compile(
    r"(?P<name>[^@\s]+)@(?P<data_centre>[^@\s]+)"
    r"@(?P<host>\[[0-9A-Fa-f:.]+\]|[^@:\s]+):(?P<port>[0-9]{1,5})"
)
MAX_PORT = 65535


@dataclass(frozen=True, kw_only=True)
class Seed:
    """A peer that is listed in the settings.

    :param name: The instance name of the peer.
    :param data_centre: The data centre of the peer.
    :param host: The host name or IP address, without brackets.
    :param port: The TCP port of the peer's listener for other instances.
    """

    name: str
    data_centre: str
    host: str
    port: int


def parse_seed(text: str) -> Seed:
    """Parse one seed.

    :param text: ``name@data_centre@host:port``, with an IPv6 address in brackets.
    :returns: The seed.
    :raises ValueError: The text has another form, or the port is out of range.

    >>> parse_seed("a@north@10.0.0.1:7000").port
    7000
    """
    match = SEED_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not of the form name@data_centre@host:port")
    port = int(match["port"])
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"port {port} of {text!r} is not within 1 to {MAX_PORT}")
    return Seed(
        name=match["name"],
        data_centre=match["data_centre"],
        host=match["host"].strip("[]"),
        port=port,
    )
