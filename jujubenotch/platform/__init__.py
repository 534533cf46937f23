"""The platform's table service, object store and instance list.

Errors: ``PlatformError`` and its kinds. Features: ``features/platform``.
"""

from jujubenotch.platform.errors import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
    ReplyLostError,
)
from jujubenotch.platform.interface import (
    ListedInstance,
    Platform,
    Row,
    Write,
)

__all__ = [
    "ConflictError",
    "ListedInstance",
    "Platform",
    "PlatformError",
    "PlatformUnavailableError",
    "ReplyLostError",
    "Row",
    "Write",
]
