"""Tells how urgent the recent long prompts of a service are.

Long prompts are refused when an engine can't read all of them, or for the sake of short
ones. As long as most of them are less urgent than a prompt, refusing those suffices.
"""

import math
from dataclasses import dataclass, field

AVERAGING_TIME_S = 5.0
# At least the other prompts, which are not spared, can be refused.
MIN_LESS_URGENT_SHARE = 0.5


@dataclass(kw_only=True, slots=True)
class RecentTiers:
    """The tiers of recent requests, as counts that decay exponentially.

    :param counts: The counts, by tier.
    :param updated_s: When the decay was last applied, monotonic, in seconds.

    >>> RecentTiers().counts
    {}
    """

    counts: dict[int, float] = field(default_factory=dict)
    updated_s: float = 0.0


def record_tier(recent: RecentTiers, tier: int, now_s: float) -> None:
    """Count a request.

    :param recent: The recent tiers; changed in place.
    :param tier: The request's tier; 0 is the most urgent.
    :param now_s: The present monotonic time, in seconds.
    """
    _decay(recent, now_s)
    recent.counts[tier] = recent.counts.get(tier, 0.0) + 1.0


def is_spared(recent: RecentTiers, tier: int) -> bool:
    """Return whether the greater part of the recent requests is less urgent.

    :param recent: The recent tiers.
    :param tier: The request's tier.
    :returns: False when there are no recent requests.
    """
    total = sum(recent.counts.values())
    less_urgent = sum(count for other, count in recent.counts.items() if other > tier)
    return total > 0 and less_urgent >= MIN_LESS_URGENT_SHARE * total


def _decay(recent, now_s):
    factor = math.exp(-max(0.0, now_s - recent.updated_s) / AVERAGING_TIME_S)
    for tier in recent.counts:
        recent.counts[tier] *= factor
    recent.updated_s = now_s
