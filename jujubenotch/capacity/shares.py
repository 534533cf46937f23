"""Computes the share of a group's slots that an instance may grant."""

from collections.abc import Collection

REBUILD_S = 1.0


def choose_own_share(known: Collection[str]) -> float:
    """Return the fallback share, which an instance may grant without a home.

    :param known: All instances of the data centre that may take work, including
        this one.
    :returns: The share, at most 1.

    >>> choose_own_share(["a", "b"])
    0.5
    """
    return 1.0 / len(known)


def choose_home_share(
    *,
    known: Collection[str],
    live: Collection[str],
    attached: Collection[str],
    age_s: float,
) -> float:
    """Return the share that a home may grant.

    A new home does not know which slots the other instances hold. It therefore
    grants only a fallback share until all live instances have reported their
    slots, but for at most one second. After that it subtracts the fallback share
    of each instance that has not reported: such an instance may be running behind
    a network partition, or may regard another instance as the home.

    :param known: All instances of the data centre that may take work, including
        the home.
    :param live: The instances heard from recently, including the home.
    :param attached: The instances that have reported the slots that they hold.
    :param age_s: The time since the home opened the account, in seconds.
    :returns: The share, at most 1.
    """
    everyone = set(known)
    audible = everyone.intersection(live)
    reporting = everyone.intersection(attached)
    if age_s < REBUILD_S and not reporting >= audible:
        return choose_own_share(everyone)
    return max(1, len(reporting)) / len(everyone)
