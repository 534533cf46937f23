"""Decides when a caller that is refused for want of room comes back.

How long a shortage lasts isn't known. One that has lasted for some time can be expected
to last about as long again, so callers that return sooner would mostly be refused once
more. They return within a range of times, not all at once, and the more urgent first.
"""

from dataclasses import dataclass

# A shortage has ended when nothing was refused for this time.
QUIET_S = 2.0
# Within this time some of the requests in progress have usually ended.
MIN_RETURN_S = 1.0
# The range of return times, as shares of the expected end of the shortage.
URGENT_RANGE = (0.6, 1.0)
OTHER_RANGE = (0.8, 1.4)
# Callers come back after at most a third of the time that they have left.
MAX_LEFT_SHARE = 0.28
# Where that bound is lower than the range, callers return within this last part of it.
MIN_SPREAD_SHARE = 0.35


@dataclass(kw_only=True, slots=True)
class Shortage:
    """The present shortage of one service, as the refusals of this instance show it.

    :param began_s: When its first request was refused, monotonic, in seconds; ``None``
        before any was.
    :param refused_s: When its last request was refused, monotonic, in seconds.

    >>> measure_shortage_s(Shortage(), now_s=5.0)
    0.0
    """

    began_s: float | None = None
    refused_s: float = float("-inf")


def record_refused(shortage: Shortage, now_s: float) -> None:
    """Record that a request was refused for want of room.

    :param shortage: The shortage; changed in place.
    :param now_s: The present monotonic time, in seconds.
    """
    if shortage.began_s is None or now_s - shortage.refused_s > QUIET_S:
        shortage.began_s = now_s
    shortage.refused_s = now_s


def measure_shortage_s(shortage: Shortage, now_s: float) -> float:
    """Return for how long the shortage has lasted; 0 without one.

    :param shortage: The shortage.
    :param now_s: The present monotonic time, in seconds.
    """
    if shortage.began_s is None or now_s - shortage.refused_s > QUIET_S:
        return 0.0
    return now_s - shortage.began_s


def choose_return_s(
    shortage: Shortage, *, is_urgent: bool, left_s: float, draw: float, now_s: float
) -> float:
    """Choose after which time a refused caller comes back.

    :param shortage: The shortage, with the present refusal recorded.
    :param is_urgent: Whether most of the refused requests are less urgent.
    :param left_s: The time that the caller has left, in seconds.
    :param draw: A random number in [0, 1), drawn for this refusal.
    :param now_s: The present monotonic time, in seconds.
    :returns: The time in seconds.
    """
    expected_s = max(MIN_RETURN_S, measure_shortage_s(shortage, now_s))
    first, last = URGENT_RANGE if is_urgent else OTHER_RANGE
    latest_s = min(last * expected_s, MAX_LEFT_SHARE * max(0.0, left_s))
    earliest_s = min(first * expected_s, (1 - MIN_SPREAD_SHARE) * latest_s)
    return earliest_s + draw * (latest_s - earliest_s)
