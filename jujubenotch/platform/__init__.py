"""The platform's table service, object store and instance list.

Errors: ``PlatformError`` and its kinds. Features: ``features/platform``.
"""

from jujubenotch.platform.connect import connect_platform
from jujubenotch.platform.embedded import EmbeddedPlatform
from jujubenotch.platform.errors import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
    ReplyLostError,
)
from jujubenotch.platform.http import HttpPlatform
from jujubenotch.platform.interface import (
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
