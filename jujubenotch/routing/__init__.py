"""Routing of requests: upstream groups, choice of an upstream, upstream health.

Errors: none. Features: ``features/routing``.
"""

from jujubenotch.routing.affinity import (
    PrefixAffinity,
    estimate_gain_s,
    find_prefix_upstream,
    record_first_token,
    record_prefix,
)
from jujubenotch.routing.choice import Candidate, choose_upstream
from jujubenotch.routing.groups import Groups, find_tiers, group_upstreams
from jujubenotch.routing.health import (
    Health,
    accept_running_probe,
    find_next_change_s,
    is_ejected,
    may_probe,
    record_result,
    record_standstill,
    start_probe,
)
from jujubenotch.routing.overflow import (
    RemoteGroup,
    choose_data_centre,
    estimate_remote_wait_s,
)
from jujubenotch.routing.speed import (
    ExternalLoad,
    ObservedLatency,
    estimate_latency_s,
    read_external_running,
    record_external_load,
    record_latency,
    record_own_running,
    subtract_restored_request,
)

__all__ = [
    "Candidate",
    "ExternalLoad",
    "Groups",
    "Health",
    "ObservedLatency",
    "PrefixAffinity",
    "RemoteGroup",
    "accept_running_probe",
    "choose_data_centre",
    "choose_upstream",
    "estimate_gain_s",
    "estimate_latency_s",
    "estimate_remote_wait_s",
    "find_next_change_s",
    "find_prefix_upstream",
    "find_tiers",
    "group_upstreams",
    "is_ejected",
    "may_probe",
    "read_external_running",
    "record_external_load",
    "record_first_token",
    "record_latency",
    "record_own_running",
    "record_prefix",
    "record_result",
    "record_standstill",
    "start_probe",
    "subtract_restored_request",
]
