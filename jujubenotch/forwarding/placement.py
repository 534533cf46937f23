"""Chooses the upstream of a request; no message passes between instances."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from jujubenotch.membership import choose_by_rendezvous
from jujubenotch.routing import Health
from jujubenotch.work import LoadReport

# A prompt's upstream is passed over once it has this much more work than the
# mean of its service.
MAX_LOAD_RATIO = 1.25
SPARE_REQUESTS = 1
# Within this time half of the others' requests have ended or moved.
REPORT_HALF_LIFE_S = 1.0
# Part of the slots of a shared upstream beyond which long prompts give way.
SHARED_LIMIT = 0.3
# The same where long prompts have upstreams of their own: so many wait there
# that a caller would leave before its turn.
OWN_LIMIT = 1.25
# Loads that differ by less are equal: instances must not all choose the same.
LOAD_TOLERANCE = 0.5


@dataclass(kw_only=True, slots=True)
class UpstreamWork:
    """What this instance knows of one upstream's work.

    :param running: Requests that this instance has there.
    :param reported: Requests of all instances there, running or waiting, as
        the upstream told last.
    :param running_at_report: Requests that this instance had there then.
    :param reported_s: When it told so, monotonic, in seconds; ``None`` never.
    :param health: What recent results tell of it.
    """

    name: str
    slots: int
    running: int = 0
    reported: int = 0
    running_at_report: int = 0
    reported_s: float | None = None
    health: Health = field(default_factory=Health)


def record_report(work: UpstreamWork, report: LoadReport, now_s: float) -> None:
    """Take in what an upstream tells of its load.

    :param work: What is known of it; changed in place.
    :param report: What it tells.
    :param now_s: The present monotonic time, in seconds.
    """
    work.reported = report.running + report.waiting
    work.running_at_report = work.running
    work.reported_s = now_s


def estimate_load(work: UpstreamWork, now_s: float) -> float:
    """Estimate the requests of all instances at an upstream.

    The others' part is what the last report holds beyond this instance's own
    requests; it fades as the report grows old.

    :param work: What is known of it.
    :param now_s: The present monotonic time, in seconds.
    :returns: Requests.
    """
    if work.reported_s is None:
        return work.running
    others = max(0, work.reported - work.running_at_report)
    age_s = max(0.0, now_s - work.reported_s)
    return work.running + others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)


def must_yield(work: UpstreamWork, *, is_shared: bool, now_s: float) -> bool:
    """Tell whether a long prompt must give way at an upstream.

    :param work: The upstream chosen for the long prompt.
    :param is_shared: Whether short prompts have no upstream of their own.
    :param now_s: The present monotonic time, in seconds.
    """
    limit = SHARED_LIMIT if is_shared else OWN_LIMIT
    return estimate_load(work, now_s) >= limit * work.slots


def choose_upstream(
    candidates: Sequence[UpstreamWork],
    prefix_key: str,
    *,
    draw: float,
    now_s: float,
) -> UpstreamWork:
    """Choose the upstream of a request.

    Equal prefixes go to the same upstream at every instance, as long as its
    load allows: all instances rank the upstreams alike. Requests without a
    prefix go to the least loaded one.

    :param candidates: The upstreams that may get it; at least one.
    :param prefix_key: Equal for requests with the same prompt prefix; empty
        when it has none.
    :param draw: A number from 0 up to 1, drawn for the request.
    :param now_s: The present monotonic time, in seconds.
    :returns: The upstream.
    """
    loads = {work.name: estimate_load(work, now_s) for work in candidates}
    by_name = {work.name: work for work in candidates}
    if prefix_key:
        running = {work.name: work.running for work in candidates}
        limit = MAX_LOAD_RATIO * sum(running.values()) / len(running) + SPARE_REQUESTS
        for name in choose_by_rendezvous(prefix_key, loads, len(loads)):
            if running[name] <= limit:
                return by_name[name]
    lowest = min(loads.values())
    equal = [name for name, load in loads.items() if load <= lowest + LOAD_TOLERANCE]
    return by_name[equal[int(draw * len(equal))]]
