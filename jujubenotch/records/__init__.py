"""Declarative records: classes, teams, bindings, upstreams, caps and limits.

Errors: ``RecordsError``. Features: ``features/records``.
"""

from jujubenotch.records.errors import RecordsError
from jujubenotch.records.model import (
    Application,
    Binding,
    Configuration,
    Limits,
    PowerCap,
    Route,
    ServiceClass,
    Team,
    Upstream,
    UpstreamKind,
)

__all__ = [
    "Application",
    "Binding",
    "Configuration",
    "Limits",
    "PowerCap",
    "RecordsError",
    "Route",
    "ServiceClass",
    "Team",
    "Upstream",
    "UpstreamKind",
]
