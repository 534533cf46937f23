"""Clients of the platform: its table service, object store and instance list.

Exceptions: ``PlatformError`` and its subclasses. Features: ``features/tables``.
"""

from jujubenotch.tables.connect import make_platform_client
from jujubenotch.tables.embedded import EmbeddedPlatformClient
from jujubenotch.tables.errors import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
    ReplyLostError,
)
from jujubenotch.tables.http import HttpPlatformClient
from jujubenotch.tables.interface import (
    InstanceListEntry,
    PlatformClient,
    Row,
    Write,
)

__all__ = [
    "ConflictError",
    "EmbeddedPlatformClient",
    "HttpPlatformClient",
    "InstanceListEntry",
    "PlatformClient",
    "PlatformError",
    "PlatformUnavailableError",
    "ReplyLostError",
    "Row",
    "Write",
    "make_platform_client",
]
