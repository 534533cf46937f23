"""A budget that keeps retries from becoming a storm.

Retries within a window are at most a share of the successes within it, plus a
minimum that lets a quiet instance retry at all.
"""

from dataclasses import dataclass, field

from jujubenotch.records import Limits

WINDOW_S = 10.0
BUCKETS = 20
BUCKET_S = WINDOW_S / BUCKETS


@dataclass(kw_only=True)
class RecentCount:
    """Events of the last window, counted in buckets so that memory is bounded.

    :param counts: One count for each bucket of the ring.
    :param last_bucket: The newest bucket, numbered since time 0.
    :param total: Sum of the counts.
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
    """Record a request that ended well.

    :param history: What happened lately.
    :param now_s: The present monotonic time, in seconds.
    """
    _advance(history.successes, now_s)
    _add_one(history.successes)


def may_retry(history: RetryHistory, limits: Limits, now_s: float) -> bool:
    """Take one retry out of the budget, if it has one left.

    :param history: What happened lately.
    :param limits: The share and the minimum, as the records in force have them.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether the retry may be made; it is then spent.
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
