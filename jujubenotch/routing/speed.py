"""Observed latency of upstreams, and the number of other holders' requests there.

The load report of an upstream lags, so this instance's own observations take
precedence. The report only adds the requests that are not in this instance's
slot allocation: those of holders that this instance has not heard of.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from jujubenotch.estimates import RunningMean, update_mean
from jujubenotch.work import LoadReport, WorkReport

LATENCY_WEIGHT = 0.2
LATENCY_TOKENS = 16
DEFAULT_LATENCY_S = 0.1
DECAY_TIME_S = 30.0
MAX_CHANGES = 64
REPORT_VALID_S = 15.0
REPORT_TOLERANCE_S = 0.5


@dataclass(kw_only=True, slots=True)
class ObservedLatency:
    """The observed latency of one upstream, or of a whole group.

    :param first_token_s: Mean time to the first token, in seconds.
    :param between_tokens_s: Mean time between tokens, in seconds.
    :param observed_s: When the latency was last observed, monotonic, in seconds.
    """

    first_token_s: RunningMean = field(
        default_factory=lambda: RunningMean(weight=LATENCY_WEIGHT)
    )
    between_tokens_s: RunningMean = field(
        default_factory=lambda: RunningMean(weight=LATENCY_WEIGHT)
    )
    observed_s: float = float("-inf")


@dataclass(kw_only=True, slots=True)
class ExternalLoad:
    """The requests on one upstream that are not in this instance's slot allocation.

    :param changes: The most recent changes of the slot allocation's own request count,
        as pairs of monotonic time in seconds and count.
    :param running: Requests outside the slot allocation, by the last load report.
    :param valid_until_s: When the report becomes too old, monotonic, in seconds.
    """

    changes: deque = field(default_factory=lambda: deque(maxlen=MAX_CHANGES))
    running: int = 0
    valid_until_s: float = float("-inf")


def record_latency(latency: ObservedLatency, report: WorkReport, now_s: float) -> None:
    """Record the latency of one request.

    :param latency: The observed latency; changed in place.
    :param report: The report on the request.
    :param now_s: The present monotonic time, in seconds.
    """
    if report.first_token_s is not None:
        update_mean(latency.first_token_s, report.first_token_s)
        latency.observed_s = now_s
    if report.between_tokens_s is not None:
        update_mean(latency.between_tokens_s, report.between_tokens_s)
        latency.observed_s = now_s


def estimate_latency_s(
    latency: ObservedLatency, group_latency: ObservedLatency, now_s: float
) -> float:
    """Estimate how long an upstream takes for the start of an answer.

    With the age of the last observation, the estimate decays to the latency of
    the whole group. This way an upstream that was slow gets requests again, which
    show whether it is still slow.

    :param latency: The upstream's observed latency.
    :param group_latency: The observed latency of the whole group.
    :param now_s: The present monotonic time, in seconds.
    :returns: The time to the first token and a fixed number of further tokens,
        in seconds.
    """
    group_latency_s = _sum_latency_s(group_latency, 0.0, 0.0) or DEFAULT_LATENCY_S
    if latency.first_token_s.value is None:
        return group_latency_s
    latency_s = _sum_latency_s(
        latency, 0.0, group_latency.between_tokens_s.value or 0.0
    )
    age_s = max(0.0, now_s - latency.observed_s)
    return group_latency_s + (latency_s - group_latency_s) * math.exp(
        -age_s / DECAY_TIME_S
    )


def record_own_running(load: ExternalLoad, running: int, now_s: float) -> None:
    """Record a change of the slot allocation's own request count on an upstream.

    :param load: The upstream's load from outside the slot allocation; changed in place.
    :param running: Requests on the upstream that the slot allocation now contains.
    :param now_s: The present monotonic time, in seconds.
    """
    load.changes.append((now_s, running))


def record_external_load(
    load: ExternalLoad, report: LoadReport, running: int, now_s: float
) -> None:
    """Derive from a load report how many requests others have on an upstream.

    The number is the reported load minus the slot allocation's own request count at the
    time when the report was made.

    :param load: The upstream's load from outside the slot allocation; changed in place.
    :param report: The upstream's load report.
    :param running: Requests on the upstream that the slot allocation now contains.
    :param now_s: The present monotonic time, in seconds.
    """
    reported_s = now_s - report.age_s
    own_running = _read_own_running(load, running, reported_s)
    load.running = max(0, report.running + report.waiting - own_running)
    load.valid_until_s = reported_s + REPORT_VALID_S


def subtract_restored_request(load: ExternalLoad) -> None:
    """Subtract one request that has been restored to the slot allocation.

    Until then the request counted as one of another holder.

    :param load: The upstream's load from outside the slot allocation; changed in place.
    """
    load.running = max(0, load.running - 1)


def read_external_running(load: ExternalLoad, now_s: float) -> int:
    """Return how many requests others have on an upstream by a recent report.

    :param load: The upstream's load from outside the slot allocation.
    :param now_s: The present monotonic time, in seconds.
    :returns: The number of requests; 0 when the last report is too old.
    """
    return load.running if now_s < load.valid_until_s else 0


def _sum_latency_s(latency, default_first_s, default_between_s):
    first_s = latency.first_token_s.value
    between_s = latency.between_tokens_s.value
    first_s = default_first_s if first_s is None else first_s
    between_s = default_between_s if between_s is None else between_s
    return first_s + LATENCY_TOKENS * between_s


def _read_own_running(load, running, at_s):
    """Return the largest own request count around a time.

    The report's time is inexact, so counts shortly before and after it are taken
    into account.
    """
    largest = running
    for changed_s, count in reversed(load.changes):
        if changed_s > at_s + REPORT_TOLERANCE_S:
            largest = count
            continue
        largest = max(largest, count)
        if changed_s <= at_s - REPORT_TOLERANCE_S:
            break
    return largest
