"""Chooses the other instances that send requests on for this one."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

# An instance that is busy or stops is not asked for this time.
AVOID_S = 1.0
# An instance that reaches no upstream itself is not asked for this time. It has to be
# long enough to learn which of some hundred instances are cut off.
CUT_OFF_AVOID_S = 5.0
# For this time an instance that has helped is likely to help again.
HELPED_S = 5.0
# After so many refusals of a request, instances that have helped lately are asked.
MAX_UNPROVED_HELPERS = 4
# Bounds the work for a request that nobody can send.
MAX_HELPERS = 8
# Instances of one data centre are often cut off together.
MAX_OWN_HELPERS = 2
# With fewer instances left in the own data centre, they alone would be overloaded.
MIN_OWN_SHARE = 0.5


@dataclass(kw_only=True)
class Helpers:
    """What an instance knows about the others as helpers, by address.

    All times are monotonic, in seconds.

    :param avoided_until_s: Until when those that were of no help are not asked.
    :param helped_s: When each has last sent a request on.
    """

    avoided_until_s: dict[str, float] = field(default_factory=dict)
    helped_s: dict[str, float] = field(default_factory=dict)


def avoid_helper(
    helpers: Helpers, address: str, now_s: float, avoid_s: float = AVOID_S
) -> None:
    """Ask an instance for no help for some time.

    :param helpers: What is known of the other instances; changed in place.
    :param address: The address of the instance.
    :param now_s: The present monotonic time, in seconds.
    :param avoid_s: For how long, in seconds.
    """
    until_s = helpers.avoided_until_s
    until_s[address] = now_s + avoid_s
    helpers.helped_s.pop(address, None)
    for other in [each for each, end_s in until_s.items() if end_s <= now_s]:
        del until_s[other]


def record_help(helpers: Helpers, address: str, now_s: float) -> None:
    """Record that an instance has sent a request on.

    :param helpers: What is known of the other instances; changed in place.
    :param address: The address of the instance.
    :param now_s: The present monotonic time, in seconds.
    """
    helpers.helped_s[address] = now_s


def choose_helper(
    helpers: Helpers,
    instances: Mapping[str, str],
    data_centre: str,
    *,
    asked: Collection[str],
    draws: Mapping[str, float],
    now_s: float,
) -> str | None:
    """Choose the instance to ask next for a request.

    Those of the own data centre come first, while at least half of them may be asked
    and no two have refused the request. The order is random, so that the borrowed
    requests are spread. When all instances are avoided, one of them is asked.

    :param helpers: What is known of the other instances.
    :param instances: The data centre of each other instance, by address.
    :param data_centre: The data centre of this instance.
    :param asked: The instances that have refused the request.
    :param draws: A random number for each instance.
    :param now_s: The present monotonic time, in seconds.
    :returns: Its address; ``None`` when no further one is to be asked.
    """
    if len(asked) >= MAX_HELPERS:
        return None
    available = [
        address
        for address in instances
        if address not in asked and not _is_avoided(helpers, address, now_s)
    ]
    if not available:
        return None if asked else _find_next_available(helpers, instances)
    if len(asked) >= MAX_UNPROVED_HELPERS:
        proved = [each for each in available if _has_helped(helpers, each, now_s)]
        available = proved or available
    candidates = _prefer_data_centre(available, asked, instances, data_centre)
    return min(candidates, key=lambda address: (draws[address], address))


def _prefer_data_centre(available, asked, instances, data_centre):
    """Keep the instances of the own data centre, or leave them out after refusals."""
    own = [address for address in available if instances[address] == data_centre]
    own_asked = sum(instances.get(address) == data_centre for address in asked)
    if own_asked >= MAX_OWN_HELPERS:
        return [each for each in available if each not in own] or own
    own_listed = sum(place == data_centre for place in instances.values())
    is_own_usable = len(own) + own_asked >= MIN_OWN_SHARE * own_listed
    return own if own and is_own_usable else available


def _is_avoided(helpers, address, now_s):
    return helpers.avoided_until_s.get(address, now_s) > now_s


def _has_helped(helpers, address, now_s):
    helped_s = helpers.helped_s.get(address)
    return helped_s is not None and now_s - helped_s < HELPED_S


def _find_next_available(helpers, instances):
    """Return the instance that may be asked again first; ``None`` without instances."""
    until_s = helpers.avoided_until_s
    return min(instances, key=lambda each: (until_s[each], each), default=None)
