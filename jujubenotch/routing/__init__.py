"""Where a request may go: groups of upstreams, choice among them, health.

Errors: none. Features: ``features/routing``.
"""

from jujubenotch.routing.groups import Groups, group_upstreams
from jujubenotch.routing.health import (
    Health,
    is_ejected,
    may_probe,
    next_change_s,
    record_result,
    settle_probe,
    start_probe,
)
from jujubenotch.routing.speed import (
    OtherLoad,
    Speed,
    estimate_latency_s,
    note_own_running,
    note_restored,
    read_other_running,
    record_other_load,
    record_speed,
)

__all__ = [
    "Groups",
    "Health",
    "OtherLoad",
    "Speed",
    "estimate_latency_s",
    "group_upstreams",
    "is_ejected",
    "may_probe",
    "next_change_s",
    "note_own_running",
    "note_restored",
    "read_other_running",
    "record_other_load",
    "record_result",
    "record_speed",
    "settle_probe",
    "start_probe",
]
