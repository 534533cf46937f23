"""Keeps this instance's share of the request rate that an upstream has named.

The limit holds for all instances together, and no message tells one instance what
the others send. Each therefore sends one request at a time, at random intervals whose
mean is the number of instances divided by the limit. An opportunity that is not used
soon lapses, so that the instances don't save them up for a burst that all of them see.
"""

from collections.abc import Callable
from dataclasses import dataclass

# The rest allows for chance, as the instances draw their intervals independently.
USED_SHARE = 0.7
# Below this rate of all instances together, an upstream that withdraws its limit would
# not get the request whose response tells so.
MIN_RATE_PER_S = 0.5
OPENING_S = 1.5
# Of the mean interval: the shortest interval and the range of the random part.
MIN_INTERVAL_SHARE = 0.5
INTERVAL_SPREAD_SHARE = 1.0


@dataclass(kw_only=True, slots=True)
class NamedLimit:
    """A limit that an upstream has named, and when this instance may send.

    :param per_s: The limit in requests per second.
    :param named_s: When this instance first read of a limit, in seconds.
    :param read_s: When this instance last read the limit, in seconds.
    :param interval_s: The mean time between two requests of this instance, in seconds.
    :param opens_s: From when this instance may send the next request, in seconds.
    """

    per_s: float
    named_s: float
    read_s: float
    interval_s: float
    opens_s: float


def name_limit(
    per_s: float, *, instances: int, draw: float, now_s: float
) -> NamedLimit:
    """Start to keep a limit.

    :param per_s: The limit in requests per second.
    :param instances: The number of instances that share it.
    :param draw: A random number in [0, 1).
    :param now_s: The present time, in seconds.
    """
    interval_s = find_interval_s(per_s, instances)
    return NamedLimit(
        per_s=per_s,
        named_s=now_s,
        read_s=now_s,
        interval_s=interval_s,
        opens_s=now_s + draw * interval_s,
    )


def find_interval_s(per_s: float, instances: int) -> float:
    """Return the mean time between two requests of one instance, in seconds.

    :param per_s: The limit of all instances, in requests per second.
    :param instances: The number of instances.
    """
    return instances / max(MIN_RATE_PER_S, USED_SHARE * per_s)


def change_limit(
    limit: NamedLimit, per_s: float, *, instances: int, now_s: float
) -> None:
    """Keep another limit; the rest of the present interval is scaled.

    :param limit: The limit; changed in place.
    :param per_s: The new limit in requests per second.
    :param instances: The number of instances that share it.
    :param now_s: The present time, in seconds.
    """
    interval_s = find_interval_s(per_s, instances)
    if limit.opens_s > now_s:
        rest_s = limit.opens_s - now_s
        limit.opens_s = now_s + rest_s * interval_s / limit.interval_s
    limit.per_s = per_s
    limit.interval_s = interval_s


def skip_lapsed_openings(
    limit: NamedLimit, draw: Callable[[], float], now_s: float
) -> None:
    """Move to the first opening that has not lapsed.

    :param limit: The limit; changed in place.
    :param draw: Returns a random number in [0, 1).
    :param now_s: The present time, in seconds.
    """
    missed_s = now_s - OPENING_S - limit.opens_s
    if missed_s > limit.interval_s:
        limit.opens_s += limit.interval_s * (missed_s // limit.interval_s)
    while limit.opens_s + OPENING_S < now_s:
        limit.opens_s += _draw_interval_s(limit, draw)


def use_opening(limit: NamedLimit, draw: Callable[[], float], now_s: float) -> None:
    """Record that a request is sent.

    :param limit: The limit; changed in place.
    :param draw: Returns a random number in [0, 1).
    :param now_s: The present time, in seconds.
    """
    limit.opens_s = now_s + _draw_interval_s(limit, draw)


def _draw_interval_s(limit, draw):
    share = MIN_INTERVAL_SHARE + INTERVAL_SPREAD_SHARE * draw()
    return limit.interval_s * share
