"""Chooses the other instances that send requests on for this one."""

from collections.abc import Mapping
from dataclasses import dataclass, field

# An instance that refused or wasn't reached is not asked for this time.
AVOID_S = 1.0
# Bounds the time until a request that nobody can send is refused.
MAX_HELPERS = 4


@dataclass(kw_only=True)
class Helpers:
    """The instances that were of no help lately.

    :param avoided_until_s: Until when each is not asked, monotonic, in seconds.
    """

    avoided_until_s: dict[str, float] = field(default_factory=dict)


def avoid_helper(
    helpers: Helpers, address: str, now_s: float, avoid_s: float = AVOID_S
) -> None:
    """Ask an instance for no help for some time.

    :param helpers: The instances that were of no help; changed in place.
    :param address: The address of the instance.
    :param now_s: The present monotonic time, in seconds.
    :param avoid_s: For how long, in seconds.
    """
    until_s = helpers.avoided_until_s
    until_s[address] = now_s + avoid_s
    for other in [each for each, end_s in until_s.items() if end_s <= now_s]:
        del until_s[other]


def choose_helpers(
    helpers: Helpers,
    instances: Mapping[str, str],
    data_centre: str,
    *,
    draws: Mapping[str, float],
    now_s: float,
) -> list[str]:
    """Choose the instances to ask, in their order.

    Those of the own data centre come first. Within a data centre the order is random,
    so that the borrowed requests are spread.

    :param helpers: The instances that were of no help lately.
    :param instances: The data centre of each other instance, by address.
    :param data_centre: The data centre of this instance.
    :param draws: A random number for each instance.
    :param now_s: The present monotonic time, in seconds.
    :returns: At most ``MAX_HELPERS`` addresses.
    """
    available = [
        address
        for address in instances
        if helpers.avoided_until_s.get(address, now_s) <= now_s
    ]
    available.sort(
        key=lambda address: (instances[address] != data_centre, draws[address], address)
    )
    return available[:MAX_HELPERS]
