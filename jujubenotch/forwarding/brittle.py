"""Spares upstreams that end when they have to turn too many requests away.

The bound holds for what all instances send beyond the room of an upstream. No message
tells one instance what the others send. Each therefore replaces its own requests that
have ended, and adds its share of the room that an upstream reports, or takes back its
share of what is reported beyond the room. After a request that was turned away it makes
a pause, so long that all instances together stay below the bound.
"""

import math
from dataclasses import dataclass

# The share of the slots that is left free for requests in transit.
KEPT_SHARE = 0.08
MIN_KEPT = 1.0
# The rest allows for chance, as the instances draw their pauses independently. Chance
# matters more where the bound is low.
USED_SHARE = 0.3
LOW_BOUND_PER_S = 6.0
MIN_RATE_PER_S = 0.1
# An upstream that has reported nothing for this time is tried with one request.
SILENT_S = 2.0
# Without a response that says so, a service is taken for brittle for this time.
LAPSE_S = 5.0


@dataclass(kw_only=True, slots=True)
class Brittleness:
    """What the upstreams of a service have said of their brittleness.

    :param per_s: How many requests a second one of them can turn away.
    :param named_s: When this instance first read so, monotonic, in seconds.
    :param read_s: When it last read so.
    """

    per_s: float
    named_s: float
    read_s: float


def is_in_force(brittleness: Brittleness | None, now_s: float) -> bool:
    """Return whether the upstreams of a service are taken for brittle.

    :param brittleness: What they have said; ``None`` when nothing.
    :param now_s: The present monotonic time, in seconds.
    """
    return brittleness is not None and now_s - brittleness.read_s < LAPSE_S


def find_allowed(
    *, slots: int, reported: int, own: int, instances: int, draw: float
) -> int:
    """Find how many requests this instance may have on a brittle upstream.

    :param slots: The requests that the upstream can run at the same time.
    :param reported: Running and waiting requests of all instances, as last reported.
    :param own: Requests of this instance on the upstream at that time.
    :param instances: The number of instances that share it.
    :param draw: A random number in [0, 1), drawn for that report; the instances' shares
        of a request add up by chance.
    """
    usable = slots - max(MIN_KEPT, KEPT_SHARE * slots)
    if reported > usable:
        return math.floor(own * max(0.0, usable) / reported + draw)
    return own + math.floor((usable - reported) / instances + draw)


def find_pause_s(per_s: float, instances: int, draw: float) -> float:
    """Choose the pause of one instance between two requests that may be turned away.

    :param per_s: How many it can turn away in a second, of all instances together.
    :param instances: The number of instances.
    :param draw: A random number in [0, 1).
    :returns: The pause in seconds.
    """
    rate_per_s = USED_SHARE * per_s * min(1.0, per_s / LOW_BOUND_PER_S)
    return instances / max(MIN_RATE_PER_S, rate_per_s) * (0.5 + draw)
