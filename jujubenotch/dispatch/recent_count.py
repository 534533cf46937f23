"""The number of events within the recent past, in bounded memory."""

from dataclasses import dataclass, field

BUCKETS = 20


@dataclass(kw_only=True)
class RecentCount:
    """The number of events within the last ``BUCKETS`` buckets of time.

    Events are counted in a ring of buckets. The oldest bucket is dropped as a whole.

    :param bucket_s: The length of a bucket, in seconds.
    :param counts: The number of events in each bucket of the ring.
    :param last_bucket: The number of the newest bucket, counted from time 0.
    :param total: The sum of the counts.

    >>> recent = RecentCount(bucket_s=0.5)
    >>> count_event(recent, now_s=7.0)
    >>> drop_old_events(recent, now_s=17.0)
    >>> recent.total
    0
    """

    bucket_s: float
    counts: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    last_bucket: int = 0
    total: int = 0


def count_event(recent: RecentCount, now_s: float) -> None:
    """Count an event of the present.

    :param recent: The count; changed in place.
    :param now_s: The present monotonic time, in seconds.
    """
    drop_old_events(recent, now_s)
    recent.counts[recent.last_bucket % BUCKETS] += 1
    recent.total += 1


def drop_old_events(recent: RecentCount, now_s: float) -> None:
    """Drop the buckets that are no longer recent.

    :param recent: The count; changed in place.
    :param now_s: The present monotonic time, in seconds.
    """
    bucket = int(now_s // recent.bucket_s)
    passed = min(bucket - recent.last_bucket, BUCKETS)
    for step in range(1, passed + 1):
        index = (bucket - passed + step) % BUCKETS
        recent.total -= recent.counts[index]
        recent.counts[index] = 0
    recent.last_bucket = max(bucket, recent.last_bucket)
