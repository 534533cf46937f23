"""The platform's table service, object store and instance list.

Errors: ``PlatformError`` and its kinds. Features: ``features/tables``.
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
