"""A retry budget, which prevents retry storms.

The number of retries within a window is at most a fixed ratio of the successes
within that window, plus a minimum that allows retries on an instance with
little traffic.
"""

from dataclasses import dataclass, field

from jujubenotch.dispatch.recent_count import (
    BUCKETS,
    RecentCount,
    count_event,
    drop_old_events,
)
from jujubenotch.records import Limits

WINDOW_S = 10.0
BUCKET_S = WINDOW_S / BUCKETS


def _count_recent():
    return RecentCount(bucket_s=BUCKET_S)


@dataclass(kw_only=True)
class RetryHistory:
    """The successes and retries of the last 10 s.

    >>> may_retry(RetryHistory(), Limits(retry_budget_min=1), now_s=5.0)
    True
    """

    successes: RecentCount = field(default_factory=_count_recent)
    retries: RecentCount = field(default_factory=_count_recent)


def record_success(history: RetryHistory, now_s: float) -> None:
    """Record a request that completed.

    :param history: The recent successes and retries.
    :param now_s: The present monotonic time, in seconds.
    """
    count_event(history.successes, now_s)


def may_retry(history: RetryHistory, limits: Limits, now_s: float) -> bool:
    """Spend one retry of the budget if the budget allows it.

    :param history: The recent successes and retries.
    :param limits: The ratio and the minimum of the records in force.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether the retry may be made; if so, it has been spent.
    """
    drop_old_events(history.successes, now_s)
    drop_old_events(history.retries, now_s)
    earned = limits.retry_budget_ratio * history.successes.total
    if history.retries.total + 1 > limits.retry_budget_min + earned:
        return False
    count_event(history.retries, now_s)
    return True
