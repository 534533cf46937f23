"""How many requests an upstream may run within its classes' time between tokens.

The limit grows by one slot at a time while reports keep the target, and is cut
by a factor when their mean misses it (additive increase, multiplicative
decrease, after Chiu and Jain, 1989). The factor is the more the further the
mean is from the target.
"""

from dataclasses import dataclass, field

from jujubenotch.estimates import RunningMean, update_mean

MIN_DECREASE_FACTOR = 0.5
MAX_DECREASE_FACTOR = 0.9
INCREASE_SLOTS = 1.0
INCREASE_INTERVAL_S = 1.0
MIN_REPORTS = 4
RECENT_WEIGHT = 0.2
TARGET_MEMORY_S = 60.0
TOLERANCE = 1.02


@dataclass(kw_only=True, slots=True)
class ConcurrencyLimit:
    """The adaptive limit of one upstream.

    :param slots: Requests that it may run; ``None`` before the target was
        missed, when the records' number of slots holds.
    :param recent_s: Mean time between tokens since the last change, in seconds.
    :param targets: When each target was seen last, monotonic, in seconds.
    :param changed_s: When the limit changed last, monotonic, in seconds.

    >>> limit = ConcurrencyLimit()
    >>> observe_between_tokens(
    ...     limit, 0.05, target_s=0.03, slots=16, started_s=0.0, now_s=2.0
    ... )
    """

    slots: float | None = None
    recent_s: RunningMean = field(
        default_factory=lambda: RunningMean(weight=RECENT_WEIGHT)
    )
    targets: dict[float, float] = field(default_factory=dict)
    changed_s: float = float("-inf")


def read_limit(limit: ConcurrencyLimit, slots: int) -> int:
    """Return how many requests an upstream may run.

    :param limit: Its adaptive limit.
    :param slots: The records' number of slots.
    :returns: Requests, from 1 to ``slots``.
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
    """Let the limit follow what was seen of one request.

    A request that ran mostly before the last change tells of the former limit
    and is left out.

    :param limit: The limit; changed in place.
    :param between_tokens_s: Mean gap between tokens of the request, in seconds.
    :param target_s: Its class's bound on that gap, in seconds; 0 is no bound.
    :param slots: The records' number of slots.
    :param started_s: When the request was granted, monotonic, in seconds.
    :param now_s: The present monotonic time, in seconds.
    """
    if target_s > 0:
        limit.targets[target_s] = now_s
    tightest_s = _find_tightest(limit, now_s)
    if tightest_s is None or now_s - limit.changed_s < (now_s - started_s) / 2:
        return
    update_mean(limit.recent_s, between_tokens_s)
    if limit.recent_s.samples < MIN_REPORTS:
        return
    if limit.recent_s.value > tightest_s * TOLERANCE:
        _decrease(limit, tightest_s, slots, now_s)
    elif limit.slots is not None and now_s - limit.changed_s >= INCREASE_INTERVAL_S:
        _increase(limit, slots, now_s)


def _find_tightest(limit, now_s):
    oldest_s = now_s - TARGET_MEMORY_S
    for target_s in [key for key, seen_s in limit.targets.items() if seen_s < oldest_s]:
        del limit.targets[target_s]
    return min(limit.targets, default=None)


def _decrease(limit, tightest_s, slots, now_s):
    factor = tightest_s / limit.recent_s.value
    factor = min(MAX_DECREASE_FACTOR, max(MIN_DECREASE_FACTOR, factor))
    limit.slots = max(1.0, read_limit(limit, slots) * factor)
    limit.recent_s = RunningMean(weight=RECENT_WEIGHT)
    limit.changed_s = now_s


def _increase(limit, slots, now_s):
    limit.slots += INCREASE_SLOTS
    limit.changed_s = now_s
    limit.recent_s = RunningMean(weight=RECENT_WEIGHT)
    if limit.slots >= slots:
        limit.slots = None
