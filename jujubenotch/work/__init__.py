"""Requests for slots, grants of slots, and reports on the work done with them.

Errors: none. Features: ``features/admission`` and ``features/routing``.
"""

from jujubenotch.work.core import (
    TIERS,
    ChoiceBasis,
    Grant,
    LoadReport,
    PoolSummary,
    WorkReport,
    WorkRequest,
    WorkResult,
    describe_basis,
)
from jujubenotch.work.interface import SlotProvider
from jujubenotch.work.notice import Unreadable, UpstreamNotice

__all__ = [
    "TIERS",
    "ChoiceBasis",
    "Grant",
    "LoadReport",
    "PoolSummary",
    "SlotProvider",
    "Unreadable",
    "UpstreamNotice",
    "WorkReport",
    "WorkRequest",
    "WorkResult",
    "describe_basis",
]
