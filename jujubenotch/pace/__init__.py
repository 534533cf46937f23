"""Learns how fast each upstream of a service is and how much it takes at once.

It applies to services whose upstreams report the pace of their machines. Estimates
decay towards the service's median, so no upstream is left out for slowness.

Errors: none; observations that are impossible are ignored.
Features: ``features/pace``.
"""

from jujubenotch.pace.choose import (
    Candidate,
    Need,
    PacedChoice,
    choose_by_wait,
    expect_first_s,
    rank_by_speed,
    rank_fastest_first,
)
from jujubenotch.pace.learn import (
    FirstToken,
    clip_pace,
    is_credit,
    is_learned,
    read_hold_s,
    read_limit,
    read_pace,
    read_slowness,
    record_first_token,
    record_pace,
    record_stream,
)
from jujubenotch.pace.model import Figures, ServicePace, UpstreamPace
from jujubenotch.pace.share import (
    SharedPace,
    SharedPaces,
    apply_total,
    find_totals,
    mark_sent,
    read_own_sums,
    read_sums,
    record_sender,
    take_reported_pace,
    write_sums,
)

__all__ = [
    "Candidate",
    "Figures",
    "FirstToken",
    "Need",
    "PacedChoice",
    "ServicePace",
    "SharedPace",
    "SharedPaces",
    "UpstreamPace",
    "apply_total",
    "choose_by_wait",
    "clip_pace",
    "expect_first_s",
    "find_totals",
    "is_credit",
    "is_learned",
    "mark_sent",
    "rank_by_speed",
    "rank_fastest_first",
    "read_hold_s",
    "read_limit",
    "read_own_sums",
    "read_pace",
    "read_slowness",
    "read_sums",
    "record_first_token",
    "record_pace",
    "record_sender",
    "record_stream",
    "take_reported_pace",
    "write_sums",
]
