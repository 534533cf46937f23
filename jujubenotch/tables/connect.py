"""Creates the platform client that the settings select."""

from typing import Literal

from jujubenotch.tables.embedded import EmbeddedPlatform
from jujubenotch.tables.http import HttpPlatform
from jujubenotch.tables.interface import Platform


def connect_platform(
    *, kind: Literal["embedded", "http"], url: str = "", timeout_s: float = 2.0
) -> Platform:
    """Create a platform client; its first call opens the connections.

    :param kind: ``embedded`` (in memory) or ``http``.
    :param url: The base URL; used only with ``http``.
    :param timeout_s: Timeout of each call, in seconds; used only with ``http``.
    :returns: The client; the caller must call its ``close`` method at the end.
    """
    if kind == "embedded":
        return EmbeddedPlatform()
    return HttpPlatform(url=url.rstrip("/"), timeout_s=timeout_s)
