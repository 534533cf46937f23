"""Routing of requests: upstream groups, choice of an upstream, upstream health.

Errors: none. Features: ``features/routing``.
"""

from jujubenotch.routing.affinity import (
    PrefixAffinity,
    estimate_gain_s,
    find_affine,
    record_first_token,
    remember_prefix,
)
from jujubenotch.routing.choice import Candidate, choose_upstream
from jujubenotch.routing.groups import Groups, find_tiers, group_upstreams
from jujubenotch.routing.health import (
    Health,
    is_ejected,
    may_probe,
    next_change_s,
    record_result,
    settle_probe,
    start_probe,
)
from jujubenotch.routing.overflow import (
    RemoteGroup,
    choose_data_centre,
    estimate_remote_wait_s,
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
    "Candidate",
    "Groups",
    "Health",
    "OtherLoad",
    "PrefixAffinity",
    "RemoteGroup",
    "Speed",
    "choose_data_centre",
    "choose_upstream",
    "estimate_gain_s",
    "estimate_latency_s",
    "estimate_remote_wait_s",
    "find_affine",
    "find_tiers",
    "group_upstreams",
    "is_ejected",
    "may_probe",
    "next_change_s",
    "note_own_running",
    "note_restored",
    "read_other_running",
    "record_first_token",
    "record_other_load",
    "record_result",
    "record_speed",
    "remember_prefix",
    "settle_probe",
    "start_probe",
]
