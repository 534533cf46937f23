"""A retry budget, which prevents retry storms.

The number of retries within a window is at most a fixed ratio of the successes
within that window, plus a minimum that allows retries on an instance with
little traffic.
"""

from dataclasses import dataclass, field

from jujubenotch.records import Limits

WINDOW_S = 10.0
BUCKETS = 20
BUCKET_S = WINDOW_S / BUCKETS


@dataclass(kw_only=True)
class RecentCount:
    """The number of events in the last window.

    Events are counted in a ring of buckets, which bounds the memory used.

    :param counts: The number of events in each bucket of the ring.
    :param last_bucket: The number of the newest bucket, counted from time 0.
    :param total: The sum of the counts.
    """

    counts: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    last_bucket: int = 0
    total: int = 0


@dataclass(kw_only=True)
class RetryHistory:
    """The successes and retries of the last 10 s.

    >>> may_retry(RetryHistory(), Limits(retry_budget_min=1), now_s=5.0)
    True
    """

    successes: RecentCount = field(default_factory=RecentCount)
    retries: RecentCount = field(default_factory=RecentCount)


def record_success(history: RetryHistory, now_s: float) -> None:
    """Record a request that completed.

    :param history: The recent successes and retries.
    :param now_s: The present monotonic time, in seconds.
    """
    _advance(history.successes, now_s)
    _add_one(history.successes)


def may_retry(history: RetryHistory, limits: Limits, now_s: float) -> bool:
    """Spend one retry of the budget if the budget allows it.

    :param history: The recent successes and retries.
    :param limits: The ratio and the minimum of the records in force.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether the retry may be made; if so, it has been spent.
    """
    _advance(history.successes, now_s)
    _advance(history.retries, now_s)
    earned = limits.retry_budget_ratio * history.successes.total
    if history.retries.total + 1 > limits.retry_budget_min + earned:
        return False
    _add_one(history.retries)
    return True


def _advance(recent, now_s):
    bucket = int(now_s // BUCKET_S)
    passed = min(bucket - recent.last_bucket, BUCKETS)
    for step in range(1, passed + 1):
        index = (bucket - passed + step) % BUCKETS
        recent.total -= recent.counts[index]
        recent.counts[index] = 0
    recent.last_bucket = max(bucket, recent.last_bucket)


def _add_one(recent):
    recent.counts[recent.last_bucket % BUCKETS] += 1
    recent.total += 1
