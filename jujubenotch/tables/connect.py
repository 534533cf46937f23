"""Makes the client of the platform that the settings name."""

from typing import Literal

from jujubenotch.tables.embedded import EmbeddedPlatform
from jujubenotch.tables.http import HttpPlatform
from jujubenotch.tables.interface import Platform


def connect_platform(
    *, kind: Literal["embedded", "http"], url: str = "", timeout_s: float = 2.0
) -> Platform:
    """Make a client; connections are opened by its first call.

    :param kind: ``embedded`` (in memory) or ``http``.
    :param url: The base address, for ``http``.
    :param timeout_s: Bound on each call, in seconds, for ``http``.
    :returns: The client; end it with its ``close``.
    """
    if kind == "embedded":
        return EmbeddedPlatform()
    return HttpPlatform(url=url.rstrip("/"), timeout_s=timeout_s)
