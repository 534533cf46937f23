"""Requests for slots, grants of them, and reports of what became of the work.

Errors: none. Features: ``features/admission`` and ``features/routing``.
"""

from jujubenotch.work.core import (
    TIERS,
    Grant,
    LoadReport,
    PoolSummary,
    WorkReport,
    WorkRequest,
    WorkResult,
)
from jujubenotch.work.interface import Capacity

__all__ = [
    "TIERS",
    "Capacity",
    "Grant",
    "LoadReport",
    "PoolSummary",
    "WorkReport",
    "WorkRequest",
    "WorkResult",
]
