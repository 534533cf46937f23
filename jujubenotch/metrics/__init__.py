"""Counters, histograms and gauges for operators.

Label values come from enumerations and from the records, never from a caller, so
that a caller can't create new time series.

Errors: none. Features: ``features/metrics``.
"""

from jujubenotch.metrics.model import Metrics, make_metrics
from jujubenotch.metrics.record import (
    count_authentication_failure,
    count_cloud_call,
    count_configuration_rejection,
    count_failure,
    count_lease_end,
    count_neighbour_message,
    count_outcome,
    count_refusal,
    count_refused_connection,
    count_retry,
    count_retry_budget,
    count_usage_windows,
    observe_between_tokens,
    observe_first_token,
    observe_upstreams,
    set_learned_capacity,
    set_lease,
    set_peers_connected,
    set_queued,
    set_requests_in_progress,
    set_revision,
    set_slots_in_use,
)
from jujubenotch.metrics.render import read_value, render

__all__ = [
    "Metrics",
    "count_authentication_failure",
    "count_cloud_call",
    "count_configuration_rejection",
    "count_failure",
    "count_lease_end",
    "count_outcome",
    "count_refusal",
    "count_neighbour_message",
    "count_refused_connection",
    "count_retry",
    "count_retry_budget",
    "count_usage_windows",
    "make_metrics",
    "observe_between_tokens",
    "observe_first_token",
    "observe_upstreams",
    "read_value",
    "render",
    "set_lease",
    "set_learned_capacity",
    "set_peers_connected",
    "set_queued",
    "set_requests_in_progress",
    "set_revision",
    "set_slots_in_use",
]
