"""The rule on upstreams that name a limit on the requests that they receive."""

from dataclasses import dataclass, field

WINDOW_S = 4.0
# An instance knows of the limit this long after it has read the response.
TOLD_AFTER_S = 0.5
# The limit has to be kept this long after the upstream first named it.
IN_FORCE_AFTER_S = 3.0
ALLOWED_RATIO = 1.5
ALLOWED_SPARE = 5


@dataclass(kw_only=True)
class ReceivedRequests:
    """The requests that one upstream received, and when instances read its limit.

    :param arrivals: The time in seconds and the instance of each request.
    :param told_s: When each instance first read the limit, in seconds.
    """

    arrivals: list = field(default_factory=list)
    told_s: dict = field(default_factory=dict)


def find_largest_excess(received, limit_per_s, *, named_s):
    """Return by how many requests the busiest window exceeds what is allowed."""
    allowed = ALLOWED_RATIO * limit_per_s * WINDOW_S + ALLOWED_SPARE
    counted = [
        at_s
        for at_s, instance in sorted(received.arrivals)
        if at_s >= named_s + IN_FORCE_AFTER_S
        and at_s >= received.told_s.get(instance, float("inf")) + TOLD_AFTER_S
    ]
    largest, first = 0, 0
    for last, at_s in enumerate(counted):
        while counted[first] < at_s - WINDOW_S:
            first += 1
        largest = max(largest, last - first + 1)
    return largest - allowed
