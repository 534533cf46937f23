"""The callers' HTTP interface: completions, models and plain services.

Errors: ``CallersError`` and its subclasses. Features: ``features/path``.
"""

from jujubenotch.callers.app import (
    CallerDependencies,
    CallerLimits,
    build_caller_app,
)
from jujubenotch.callers.borrowed import build_borrowed_app
from jujubenotch.callers.errors import CallersError, RefusedRequestError
from jujubenotch.callers.forward import build_forward_app

__all__ = [
    "CallerDependencies",
    "CallerLimits",
    "CallersError",
    "RefusedRequestError",
    "build_borrowed_app",
    "build_caller_app",
    "build_forward_app",
]
