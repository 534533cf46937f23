"""Learns the slowness and the concurrency limit of each upstream."""

import math
import statistics
from dataclasses import dataclass

from jujubenotch.pace.means import add_sample, read_mean
from jujubenotch.pace.model import (
    LEARNING_TIME_S,
    ServicePace,
    UpstreamPace,
    combine,
)
from jujubenotch.pace.usual import (
    USUAL_TIME_S,
    estimate_first_s,
    estimate_gap_s,
    record_first,
    record_gap,
)

SLOWNESS, LIMIT, PACE = range(3)
# Upstreams that stopped reporting their pace are placed by load again after this time.
PACE_VALID_S = 30.0
# The pace of a machine changes after about this time.
PACE_HOLDS_S = 0.6
# The number of observations that the service's median counts for.
PRIOR_WEIGHT = 1.0
# An observation beyond this ratio shows more than the speed, such as a prompt that was
# cached, or reading beside others.
MAX_LOG_RATIO = math.log(4.0)
# The estimates, the median and the speed classes are found again after this time, not
# for each request, as a request compares many upstreams.
REFRESH_INTERVAL_S = 0.25
# A step between speed classes; 1.3 times slower is one step. The class changes only
# when the estimate is further than this share of a step away, so that the instances
# rank the upstreams alike and prompts stay where they are cached.
CLASS_STEP = 0.3
CLASS_HYSTERESIS = 0.7
MAX_CLASS = 8
PRIOR_HOLD_S = 1.0
# On a full upstream a delay may come from the load, which the limit is for, as well as
# from the machine; on an idle one it shows the machine's speed.
MIN_SLOWNESS_WEIGHT = 0.1
# The concurrency limit is learned only from loads of at least this share of the slots.
TELLING_FILL = 0.5
# Delays up to this multiple of an idle upstream's time, or this share of the target,
# are no reason to lower the limit.
TOLERATED_RATIO = 2.0
TOLERATED_SHARE = 0.5
MIN_GRADIENT = 0.5
MIN_TOOK_S = 1e-6
# Reported paces outside of these bounds are taken for the nearest one. A wrong report
# then can't attract all requests.
MIN_PACE = 0.1
MAX_PACE = 30.0
LIMIT_PRIOR_WEIGHT = 2.0
MIN_LIMIT_SHARE = 0.25
HEADROOM_SHARE = 0.15
# The queue in an upstream that callers tolerate, as a share of the target.
QUEUE_SHARE = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class FirstToken:
    """The first token of a stream, as one instance observed it.

    :param tokens: The number of tokens that the upstream had to read.
    :param took_s: Time from sending the request to the first token, in seconds.
    :param load: Running and waiting requests, from the report in the same response.
    :param waiting: The waiting ones of them.
    :param slots: The upstream's slots.
    :param pace: The pace in that report.
    :param target_s: The target for the time to the first token, in seconds; 0 without
        one.
    """

    upstream: str
    tokens: float
    took_s: float
    load: int
    waiting: int
    slots: int
    pace: float
    target_s: float


def is_learned(service: ServicePace, now_s: float) -> bool:
    """Return whether the service's upstreams report the pace of their machines.

    :param service: The service.
    :param now_s: The present monotonic time, in seconds.
    """
    return now_s - service.paced_s < PACE_VALID_S


def record_pace(
    service: ServicePace, name: str, pace: float, reported_s: float, now_s: float
) -> None:
    """Record the pace that an upstream reports of its machine.

    :param service: The service; changed in place.
    :param name: The upstream's name.
    :param pace: How long work takes, as a multiple of the usual time.
    :param reported_s: When the report was made, monotonic, in seconds.
    :param now_s: The present monotonic time, in seconds.
    """
    pace = clip_pace(pace)
    service.paced_s = max(service.paced_s, reported_s)
    upstream = service.find(name)
    if reported_s >= upstream.reported_s:
        upstream.reported_pace = pace
        upstream.reported_s = reported_s
    _add(upstream, PACE, math.log(pace), now_s)


def clip_pace(pace: float) -> float:
    """Return the nearest pace that is plausible.

    :param pace: A reported pace.
    """
    return max(MIN_PACE, min(MAX_PACE, pace))


def read_slowness(service: ServicePace, name: str, now_s: float) -> float:
    """Return how slow an upstream is, as a multiple of the service's median.

    :param service: The service; its estimates are kept up to date.
    :param name: The upstream's name.
    :param now_s: The present monotonic time, in seconds.
    """
    refresh_estimates(service, now_s)
    upstream = service.upstreams.get(name)
    if upstream is None:
        return 1.0
    return math.exp(upstream.log_slowness - service.median)


def read_pace(service: ServicePace, name: str, now_s: float) -> float:
    """Return the pace of an upstream's machine that is expected now.

    :param service: The service.
    :param name: The upstream's name.
    :param now_s: The present monotonic time, in seconds.
    """
    upstream = service.upstreams.get(name)
    if upstream is None or upstream.reported_pace is None:
        return 1.0
    mean = _read_mean_pace(upstream, now_s)
    age_s = max(0.0, now_s - upstream.reported_s)
    deviation = math.log(upstream.reported_pace) - mean
    return math.exp(mean + deviation * math.exp(-age_s / PACE_HOLDS_S))


def read_limit(service: ServicePace, name: str, slots: int, now_s: float) -> float:
    """Return how many concurrent requests an upstream takes before callers wait.

    :param service: The service.
    :param name: The upstream's name.
    :param slots: The upstream's slots, which are the limit before observations.
    :param now_s: The present monotonic time, in seconds.
    """
    refresh_estimates(service, now_s)
    upstream = service.upstreams.get(name)
    if upstream is None:
        return float(slots)
    total, weight = upstream.limit
    limit = (total + LIMIT_PRIOR_WEIGHT * slots) / (weight + LIMIT_PRIOR_WEIGHT)
    return max(MIN_LIMIT_SHARE * slots, 1.0, limit)


def read_hold_s(service: ServicePace, now_s: float) -> float:
    """Return how long a request occupies a slot of a usual upstream, in seconds.

    :param service: The service.
    :param now_s: The present monotonic time, in seconds.
    """
    return read_mean(
        service.usual.hold,
        now_s=now_s,
        time_s=USUAL_TIME_S,
        prior=PRIOR_HOLD_S,
        prior_weight=1.0,
    )


def is_credit(service: ServicePace, first: FirstToken, now_s: float) -> bool:
    """Return whether a first token speaks for an upstream.

    A response that is fast because it fails must not attract requests. What speaks
    for an upstream is therefore recorded only when the stream was completed.

    :param service: The service.
    :param first: The first token.
    :param now_s: The present monotonic time, in seconds.
    """
    refresh_estimates(service, now_s)
    known = service.find(first.upstream).log_slowness
    return _find_log_ratio(service, first, now_s) < known


def record_first_token(service: ServicePace, first: FirstToken, now_s: float) -> None:
    """Learn from the first token of a stream.

    :param service: The service; changed in place.
    :param first: The first token.
    :param now_s: The present monotonic time, in seconds.
    """
    upstream = service.find(first.upstream)
    _add_limit_sample(service, upstream, first, now_s)
    if first.waiting:
        # The time shows how long the queue was, not how fast the upstream is.
        return
    log_ratio = _find_log_ratio(service, first, now_s)
    slowness = read_slowness(service, first.upstream, now_s)
    record_first(
        service.usual,
        first.tokens,
        first.load / max(1, first.slots),
        first.took_s / (slowness * first.pace),
        now_s,
    )
    weight = max(MIN_SLOWNESS_WEIGHT, 1.0 - first.load / max(1, first.slots))
    _add(upstream, SLOWNESS, log_ratio, now_s, weight)


def record_stream(
    service: ServicePace,
    name: str,
    *,
    route: str,
    fill: float,
    gap_s: float | None,
    hold_s: float,
    now_s: float,
) -> None:
    """Learn from a completed stream.

    :param service: The service; changed in place.
    :param name: The upstream's name.
    :param route: The route's name.
    :param fill: The requests on the upstream, as a multiple of its slots.
    :param gap_s: The mean pause between events, in seconds; ``None`` without one.
    :param hold_s: How long the request occupied its slot, in seconds.
    :param now_s: The present monotonic time, in seconds.
    """
    upstream = service.find(name)
    slowness = read_slowness(service, name, now_s)
    # A stream lasts longer than a phase of its machine, so it met the mean pace.
    pace = math.exp(_read_mean_pace(upstream, now_s))
    usual_hold_s = hold_s / (slowness * pace)
    add_sample(service.usual.hold, usual_hold_s, now_s=now_s, time_s=USUAL_TIME_S)
    if not gap_s:
        return
    expected_s = estimate_gap_s(service.usual, route, fill, now_s)
    record_gap(service.usual, route, fill, gap_s / (slowness * pace), now_s)
    if expected_s is not None:
        log_ratio = math.log(gap_s / (expected_s * pace))
        _add(upstream, SLOWNESS, _clip(log_ratio), now_s)


def refresh_estimates(service: ServicePace, now_s: float) -> None:
    """Find the estimates, their median and the speed classes again when they are old.

    :param service: The service; changed in place.
    :param now_s: The present monotonic time, in seconds.
    """
    if now_s - service.median_s < REFRESH_INTERVAL_S or not service.upstreams:
        return
    service.median_s = now_s
    upstreams = service.upstreams.values()
    for upstream in upstreams:
        upstream.log_slowness = _read_log_slowness(service, upstream, now_s)
        limit = combine(upstream, LIMIT, now_s)
        upstream.limit = limit.total, limit.weight
    service.median = statistics.median(each.log_slowness for each in upstreams)
    for upstream in upstreams:
        steps = (upstream.log_slowness - service.median) / CLASS_STEP
        if abs(steps - upstream.speed_class) > CLASS_HYSTERESIS:
            upstream.speed_class = max(-MAX_CLASS, min(MAX_CLASS, round(steps)))
            service.has_class_changes = True


def _find_log_ratio(service, first, now_s):
    fill = first.load / max(1, first.slots)
    usual_s = estimate_first_s(service.usual, first.tokens, fill, now_s)
    # The usual times are those of the median upstream, on each instance, so the ratios
    # of several instances can be added up.
    return _clip(math.log(max(first.took_s, MIN_TOOK_S) / (usual_s * first.pace)))


def _add_limit_sample(service, upstream, first, now_s):
    """Add the limit that follows from the delay at the present load.

    The load contains the requests of all instances, and so does the limit.
    """
    if first.load < TELLING_FILL * first.slots:
        return
    factor = read_slowness(service, first.upstream, now_s) * first.pace
    idle_s = factor * estimate_first_s(service.usual, first.tokens, 0.0, now_s)
    tolerated_s = max(TOLERATED_RATIO * idle_s, TOLERATED_SHARE * first.target_s)
    gradient = max(MIN_GRADIENT, min(1.0, tolerated_s / max(first.took_s, MIN_TOOK_S)))
    limit = read_limit(service, first.upstream, first.slots, now_s)
    sample = first.load * gradient
    if gradient == 1.0:
        # Nobody waits at this load, so the limit is above it.
        sample = max(limit, first.load + HEADROOM_SHARE * first.slots)
    queue = QUEUE_SHARE * first.target_s / read_hold_s(service, now_s) * first.slots
    _add(upstream, LIMIT, min(sample, first.slots + queue), now_s)


def _read_log_slowness(service, upstream, now_s):
    return read_mean(
        combine(upstream, SLOWNESS, now_s),
        now_s=now_s,
        time_s=LEARNING_TIME_S,
        prior=service.median,
        prior_weight=PRIOR_WEIGHT,
    )


def _read_mean_pace(upstream: UpstreamPace, now_s: float) -> float:
    return read_mean(
        combine(upstream, PACE, now_s),
        now_s=now_s,
        time_s=LEARNING_TIME_S,
        prior=0.0,
        prior_weight=PRIOR_WEIGHT,
    )


def _add(upstream, number, value, now_s, weight=1.0):
    for figures in (upstream.own, upstream.unsettled):
        mean = figures.means[number]
        add_sample(mean, value, now_s=now_s, time_s=LEARNING_TIME_S, weight=weight)


def _clip(log_ratio):
    return max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
