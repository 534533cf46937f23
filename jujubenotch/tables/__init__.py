"""Clients of the platform: its table service, object store and instance list.

Exceptions: ``PlatformError`` and its subclasses. Features: ``features/tables``.
"""

from jujubenotch.tables.connect import connect_platform
from jujubenotch.tables.embedded import EmbeddedPlatform
from jujubenotch.tables.errors import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
    ReplyLostError,
)
from jujubenotch.tables.http import HttpPlatform
from jujubenotch.tables.interface import (
    ListedInstance,
    Platform,
    Row,
    Write,
)

__all__ = [
    "ConflictError",
    "EmbeddedPlatform",
    "HttpPlatform",
    "ListedInstance",
    "Platform",
    "PlatformError",
    "PlatformUnavailableError",
    "ReplyLostError",
    "Row",
    "Write",
    "connect_platform",
]
