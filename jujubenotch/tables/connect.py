"""Creates the platform client that the settings select."""

from typing import Literal

from jujubenotch.tables.embedded import EmbeddedPlatformClient
from jujubenotch.tables.http import HttpPlatformClient
from jujubenotch.tables.interface import PlatformClient


def make_platform_client(
    *, kind: Literal["embedded", "http"], url: str = "", timeout_s: float = 2.0
) -> PlatformClient:
    """Create a platform client; its first call opens the connections.

    :param kind: ``embedded`` (in memory) or ``http``.
    :param url: The base URL; used only with ``http``.
    :param timeout_s: Timeout of each call, in seconds; used only with ``http``.
    :returns: The client; the caller must call its ``close`` method at the end.
    """
    if kind == "embedded":
        return EmbeddedPlatformClient()
    return HttpPlatformClient(url=url.rstrip("/"), timeout_s=timeout_s)
