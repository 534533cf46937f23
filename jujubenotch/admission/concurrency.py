"""Adaptive concurrency limit of an upstream, based on the time between tokens.

The limit grows by one slot at a time while the reported time between tokens
meets the target, and is multiplied by a factor below one when the mean of the
reports exceeds the target (additive increase, multiplicative decrease, after
Chiu and Jain, 1989). The further the mean exceeds the target, the smaller the
factor and the larger the cut.
"""

from dataclasses import dataclass, field

from jujubenotch.estimates import RunningMean, update_mean

MIN_DECREASE_FACTOR = 0.5
MAX_DECREASE_FACTOR = 0.9
INCREASE_SLOTS = 1.0
INCREASE_INTERVAL_S = 1.0
MIN_REPORTS = 4
MEAN_WEIGHT = 0.2
TARGET_RETENTION_S = 60.0
TARGET_TOLERANCE = 1.02


@dataclass(kw_only=True, slots=True)
class ConcurrencyLimit:
    """The adaptive concurrency limit of one upstream.

    :param slots: Number of requests that the upstream may run at once;
        ``None`` while the number of slots in the records applies: before the
        target is first missed, and after the limit has grown back.
    :param mean_between_tokens_s: Mean time between tokens since the last change
        of the limit, in seconds.
    :param targets: For each target for the time between tokens, the monotonic
        time of its most recent report, in seconds.
    :param changed_s: Monotonic time of the last change of the limit, in seconds.

    >>> limit = ConcurrencyLimit()
    >>> observe_between_tokens(
    ...     limit, 0.05, target_s=0.03, slots=16, started_s=0.0, now_s=2.0
    ... )
    """

    slots: float | None = None
    mean_between_tokens_s: RunningMean = field(
        default_factory=lambda: RunningMean(weight=MEAN_WEIGHT)
    )
    targets: dict[float, float] = field(default_factory=dict)
    changed_s: float = float("-inf")


def read_limit(limit: ConcurrencyLimit, slots: int) -> int:
    """Return how many requests an upstream may run at once.

    :param limit: The adaptive limit of the upstream.
    :param slots: The upstream's number of slots according to the records.
    :returns: A number of requests, from 1 to ``slots``.
    """
    if limit.slots is None:
        return slots
    return max(1, min(slots, int(limit.slots)))


def observe_between_tokens(
    limit: ConcurrencyLimit,
    between_tokens_s: float,
    *,
    target_s: float,
    slots: int,
    started_s: float,
    now_s: float,
) -> None:
    """Adjust the limit to the time between tokens of one finished request.

    A request that ran for more than half of its time before the last change
    reflects the previous limit and is ignored.

    :param limit: The limit; changed in place.
    :param between_tokens_s: Mean time between tokens of the request, in seconds.
    :param target_s: Target of the request's class for that time, in seconds;
        0 means no target.
    :param slots: The upstream's number of slots according to the records.
    :param started_s: Monotonic time at which the request was granted, in seconds.
    :param now_s: The present monotonic time, in seconds.
    """
    if target_s > 0:
        limit.targets[target_s] = now_s
    tightest_s = _find_tightest_target_s(limit, now_s)
    if tightest_s is None or now_s - limit.changed_s < (now_s - started_s) / 2:
        return
    update_mean(limit.mean_between_tokens_s, between_tokens_s)
    if limit.mean_between_tokens_s.samples < MIN_REPORTS:
        return
    if limit.mean_between_tokens_s.value > tightest_s * TARGET_TOLERANCE:
        _decrease(limit, tightest_s, slots, now_s)
    elif limit.slots is not None and now_s - limit.changed_s >= INCREASE_INTERVAL_S:
        _increase(limit, slots, now_s)


def _find_tightest_target_s(limit, now_s):
    oldest_s = now_s - TARGET_RETENTION_S
    for target_s in [key for key, seen_s in limit.targets.items() if seen_s < oldest_s]:
        del limit.targets[target_s]
    return min(limit.targets, default=None)


def _decrease(limit, tightest_s, slots, now_s):
    factor = tightest_s / limit.mean_between_tokens_s.value
    factor = min(MAX_DECREASE_FACTOR, max(MIN_DECREASE_FACTOR, factor))
    limit.slots = max(1.0, read_limit(limit, slots) * factor)
    limit.mean_between_tokens_s = RunningMean(weight=MEAN_WEIGHT)
    limit.changed_s = now_s


def _increase(limit, slots, now_s):
    limit.slots += INCREASE_SLOTS
    limit.changed_s = now_s
    limit.mean_between_tokens_s = RunningMean(weight=MEAN_WEIGHT)
    if limit.slots >= slots:
        limit.slots = None
