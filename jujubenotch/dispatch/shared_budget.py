"""A retry budget that all instances keep together without messages.

The retries that reach a service within a window are bounded over all instances: by a
ratio of the callers' requests for it, plus a fixed number. Each instance has a credit
for each service, which starts empty. Its own requests add to the credit, and so does
time, by the instance's share of the fixed number. Credit expires after half a window.

The retries that an instance sends within a window are thus at most what it earned in
one and a half windows, and what it earns is scaled so that this sums to the bound, for
any number of instances and restarts. A retry that has not reached its upstream yet
takes the place of credit, as it may arrive within a later window.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from jujubenotch.dispatch.recent_count import (
    BUCKETS,
    RecentCount,
    count_event,
    drop_old_events,
)

CREDIT_LIFETIME_WINDOWS = 0.5
WINDOWS_SPENT_FROM = 1 + CREDIT_LIFETIME_WINDOWS
# The tolerance for rounding errors in sums of credit.
ROUNDING = 1e-9


class RetryEnd(StrEnum):
    """What is known of a retry whose budget was spent."""

    NOT_SENT = "not-sent"
    ARRIVED = "arrived"
    UNCONFIRMED = "unconfirmed"


@dataclass(frozen=True, kw_only=True)
class RetryBounds:
    """The bound on the retries of all instances together.

    :param ratio: The number of retries per request.
    :param extra: The number of retries in each window in addition to those.
    :param window_s: The length of a window, in seconds.
    :param instances: The number of instances that share the bound; 0 when unknown,
        which leaves no share of ``extra``.
    """

    ratio: float
    extra: float
    window_s: float
    instances: int

    @property
    def per_request(self) -> float:
        """The credit that a request adds."""
        return self.ratio / WINDOWS_SPENT_FROM

    @property
    def per_s(self) -> float:
        """The credit that a second adds."""
        if not self.instances:
            return 0.0
        return self.extra / (self.instances * WINDOWS_SPENT_FROM * self.window_s)

    @property
    def lifetime_s(self) -> float:
        """How long credit lasts, in seconds."""
        return CREDIT_LIFETIME_WINDOWS * self.window_s


@dataclass(kw_only=True)
class RetryCredit:
    """The retries of one service that an instance may send.

    All times are monotonic, in seconds.

    :param requests: The callers' requests within the lifetime of credit.
    :param started_s: When the instance started.
    :param updated_s: Until when ``balance`` has earned by time.
    :param balance: The credit.
    :param in_flight: Retries that were allowed and whose end isn't known.
    :param unconfirmed_until_s: For each retry that ended without a response, until
        when it may still arrive within the window of a later one.

    >>> bounds = RetryBounds(ratio=0.2, extra=54, window_s=10.0, instances=7)
    >>> credit = make_credit(bounds, started_s=0.0)
    >>> spend_retry(credit, bounds, now_s=0.1), spend_retry(credit, bounds, now_s=2.0)
    (False, True)
    """

    requests: RecentCount
    started_s: float
    updated_s: float
    balance: float = 0.0
    in_flight: int = 0
    unconfirmed_until_s: deque[float] = field(default_factory=deque)

    @property
    def unsettled(self) -> int:
        """The retries that may still arrive."""
        return self.in_flight + len(self.unconfirmed_until_s)


def make_credit(bounds: RetryBounds, started_s: float) -> RetryCredit:
    """Make an empty credit.

    :param bounds: The bound in force.
    :param started_s: When the instance started, monotonic, in seconds.
    """
    return RetryCredit(
        requests=RecentCount(bucket_s=bounds.lifetime_s / BUCKETS),
        started_s=started_s,
        updated_s=started_s,
    )


def record_request(credit: RetryCredit, bounds: RetryBounds, now_s: float) -> None:
    """Record a caller's request for the service.

    :param credit: The credit; changed in place.
    :param bounds: The bound in force.
    :param now_s: The present monotonic time, in seconds.
    """
    update_credit(credit, bounds, now_s)
    count_event(credit.requests, now_s)
    _add(credit, bounds, bounds.per_request, now_s)


def spend_retry(credit: RetryCredit, bounds: RetryBounds, now_s: float) -> bool:
    """Spend the credit for one retry if there is enough.

    :param credit: The credit; changed in place.
    :param bounds: The bound in force.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether the retry may be sent; its end is then to be recorded.
    """
    update_credit(credit, bounds, now_s)
    if credit.balance < 1 - ROUNDING:
        return False
    credit.balance = max(0.0, credit.balance - 1)
    credit.in_flight += 1
    return True


def record_retry_end(
    credit: RetryCredit, bounds: RetryBounds, end: RetryEnd, now_s: float
) -> None:
    """Record what became of a retry that was allowed.

    :param credit: The credit; changed in place.
    :param bounds: The bound in force.
    :param end: What is known of the retry.
    :param now_s: The present monotonic time, in seconds.
    """
    update_credit(credit, bounds, now_s)
    credit.in_flight -= 1
    if end is RetryEnd.NOT_SENT:
        _add(credit, bounds, 1.0, now_s)
    elif end is RetryEnd.UNCONFIRMED:
        credit.unconfirmed_until_s.append(now_s + bounds.window_s)


def update_credit(credit: RetryCredit, bounds: RetryBounds, now_s: float) -> None:
    """Add the credit earned by time, and discard what has expired.

    :param credit: The credit; changed in place.
    :param bounds: The bound in force.
    :param now_s: The present monotonic time, in seconds.
    """
    drop_old_events(credit.requests, now_s)
    while credit.unconfirmed_until_s and credit.unconfirmed_until_s[0] <= now_s:
        credit.unconfirmed_until_s.popleft()
    earned = bounds.per_s * max(0.0, now_s - credit.updated_s)
    credit.updated_s = max(now_s, credit.updated_s)
    _add(credit, bounds, earned, now_s)


def _add(credit, bounds, amount, now_s):
    """Add credit up to what was earned within its lifetime and isn't in use."""
    age_s = max(0.0, now_s - credit.started_s)
    recent = bounds.per_request * credit.requests.total
    recent += bounds.per_s * min(bounds.lifetime_s, age_s)
    limit = max(0.0, recent - credit.unsettled)
    credit.balance = min(credit.balance + amount, limit)
