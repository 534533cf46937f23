"""Estimates how long requests wait, from the rate at which the queue drains.

The rate at which a tier's queue drains is the number of slots available to the
tier divided by the time for which a request holds a slot. Available slots are
those that are neither needed by the tiers above nor held by the tiers below.
Slots held by the tiers below become available gradually.
"""

import math

from jujubenotch.admission.reserve import (
    DEFAULT_HOLD_S,
    compute_required_free,
    estimate_offered_slots,
)
from jujubenotch.admission.state import Pool, TargetUsage, TierDemand
from jujubenotch.estimates import hash_to_fraction, read_rate
from jujubenotch.work import TIERS, WorkRequest

MIN_DRAIN_SLOTS = 0.1
MIN_HOLD_S = 0.001
MIN_HOLD_SAMPLES = 8
# About 95 of 100 log-normal holding times are at most this many standard
# deviations above their mean.
LONG_HOLD_DEVIATIONS = 1.65
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
RETRY_JITTER = 0.5


def estimate_wait_s(
    pool: Pool, target: TargetUsage, tier: int, now_s: float, *, ahead: float
) -> float:
    """Estimate how long a request waits behind others until it gets a slot.

    :param pool: The pool.
    :param target: The usage of the request's model or plain service.
    :param tier: The request's tier.
    :param now_s: The present monotonic time, in seconds.
    :param ahead: Number of requests of the same tier that start earlier.
    :returns: The wait, in seconds.
    """
    work = (ahead + 1) * read_hold_s(target, tier)
    slots = float(target.slots)
    for upper in range(tier):
        target_queue = pool.target_queues[upper].get(target.name)
        if target_queue is not None:
            work += target_queue.queued * read_hold_s(target, upper)
        slots -= estimate_offered_slots(target.demands[upper], now_s)
    freed_per_s = 0.0
    for lower in range(tier + 1, TIERS):
        running = target.running_by_tier[lower]
        slots -= running
        freed_per_s += running / read_hold_s(target, lower)
    return _solve_wait_s(work, slots, freed_per_s)


def estimate_drain_s(pool: Pool, target: TargetUsage, tier: int, now_s: float) -> float:
    """Estimate how long the queues of a tier and of the tiers above take to drain.

    :param pool: The pool.
    :param target: The usage of a model or plain service.
    :param tier: The tier.
    :param now_s: The present monotonic time, in seconds.
    :returns: A time in seconds; 0 when a request of the tier could start now.
    """
    target_queue = pool.target_queues[tier].get(target.name)
    queued = 0 if target_queue is None else target_queue.queued
    if not queued and target.free > compute_required_free(pool, target, tier, now_s):
        return 0.0
    return estimate_wait_s(pool, target, tier, now_s, ahead=queued)


def misses_deadline(
    pool: Pool, request: WorkRequest, now_s: float, *, is_queued: bool
) -> bool:
    """Predict whether a request will wait too long to meet its deadline.

    Returns false before enough requests of the same tier and target have ended
    to estimate their holding time, and while all upstreams of the target are
    ejected. Below the most urgent tier, the predicted wait is capped by the
    max-wait guarantee, which grants one request of the class in each
    ``max_wait_s``.

    :param pool: The pool.
    :param request: The newest request of its tier, queued or not.
    :param now_s: The present monotonic time, in seconds.
    :param is_queued: Whether the request is already in the queue.
    :returns: Whether the request is predicted to miss its deadline.
    """
    target = pool.targets[request.target]
    demand = target.demands[request.tier]
    if demand.hold_s.samples < MIN_HOLD_SAMPLES or not target.slots:
        return False
    if not is_queued and target.free > compute_required_free(
        pool, target, request.tier, now_s
    ):
        return False
    ahead = _count_ahead(pool, request, is_queued)
    wait_s = estimate_wait_s(pool, target, request.tier, now_s, ahead=ahead)
    started_per_s = read_rate(demand.start_rate, now_s)
    if started_per_s > 0:
        wait_s = min(wait_s, (ahead + 1) / started_per_s)
    if request.tier > 0:
        wait_s = min(wait_s, _compute_guaranteed_wait_s(pool, request, is_queued))
    left_s = request.deadline_s - now_s
    return wait_s > max(left_s - demand.hold_s.value, left_s / 2)


def is_too_late(pool: Pool, request: WorkRequest, now_s: float) -> bool:
    """Tell whether a request is unlikely to end before its deadline if started now.

    A request that is started too late is cut off at its deadline and wastes its
    slot. Returns false while requests of a lower tier wait or run, so that no
    request is refused while less urgent work proceeds. Also returns false before
    enough requests of the same tier and target have ended to estimate their
    holding time. The request is assumed to need at most half of the time from
    its arrival to its deadline.

    :param pool: The pool.
    :param request: The next request of its tier.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether it is too late to start the request.
    """
    target = pool.targets[request.target]
    if any(pool.queued_by_tier[request.tier + 1 :]):
        return False
    if any(target.running_by_tier[request.tier + 1 :]):
        return False
    demand = target.demands[request.tier]
    if demand.hold_s.samples < MIN_HOLD_SAMPLES:
        return False
    likely_hold_s = (
        demand.hold_s.value + LONG_HOLD_DEVIATIONS * compute_hold_deviation_s(demand)
    )
    max_hold_s = (request.deadline_s - request.arrived_s) / 2
    return now_s + min(likely_hold_s, max_hold_s) > request.deadline_s


def compute_hold_deviation_s(demand: TierDemand) -> float:
    """Return the standard deviation of the time that requests hold a slot.

    :param demand: The demand of a tier for a target.
    :returns: The standard deviation, in seconds.
    """
    if demand.hold_s.value is None:
        return 0.0
    return math.sqrt(max(0.0, demand.hold_s_squared.value - demand.hold_s.value**2))


def read_hold_s(target: TargetUsage, tier: int) -> float:
    """Return the mean time for which a request of a tier holds a slot.

    :param target: The usage of a model or plain service.
    :param tier: The tier.
    :returns: The mean time, in seconds.
    """
    hold_s = target.demands[tier].hold_s.value
    return DEFAULT_HOLD_S if hold_s is None else max(MIN_HOLD_S, hold_s)


def compute_retry_after_s(wait_s: float, request_id: str) -> float:
    """Return the time after which a refused caller should retry, with jitter.

    The jitter depends on the request's id, so that refused callers do not all
    retry at the same time.

    :param wait_s: Estimated time until the queue has drained, in seconds.
    :param request_id: The request's id.
    :returns: The time until the retry, in seconds.
    """
    bounded_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return bounded_s * (1 + RETRY_JITTER * hash_to_fraction(request_id))


def _solve_wait_s(work, slots, freed_per_s):
    """Compute how long a growing number of slots takes to do an amount of work.

    The number of slots grows linearly, so the result is the root of
    ``slots * wait + freed_per_s * wait ** 2 / 2 == work``. The work is in
    slot-seconds.
    """
    root = math.sqrt(slots**2 + 2 * freed_per_s * work)
    return work / max(MIN_DRAIN_SLOTS, (slots + root) / 2)


def _count_ahead(pool, request, is_queued):
    """Estimate how many requests of the same tier start before a request.

    These are the waiting requests of the same team, and those of other teams
    that get a turn in fair queueing meanwhile.
    """
    target_queue = pool.target_queues[request.tier].get(request.target)
    if target_queue is None:
        return 0
    team_queue = target_queue.teams.get(request.team)
    own = 0 if team_queue is None else len(team_queue.requests) - is_queued
    turns = max(1.0, target_queue.weight / request.team_weight)
    return min(target_queue.queued - is_queued, (own + 1) * turns)


def _compute_guaranteed_wait_s(pool, request, is_queued):
    class_queue = pool.classes.get(request.service_class)
    queued = 0 if class_queue is None else len(class_queue.requests) - is_queued
    return (queued + 1) * request.max_wait_s
