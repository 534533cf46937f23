"""Computes the share of a group's slots that an instance may grant."""

from collections.abc import Collection

COORDINATOR_REBUILD_TIMEOUT_S = 1.0


def compute_fallback_share(known: Collection[str]) -> float:
    """Return the fallback share, which an instance may grant without a coordinator.

    :param known: All instances of the data centre that may take work, including
        this one.
    :returns: The share, at most 1.

    >>> compute_fallback_share(["a", "b"])
    0.5
    """
    return 1.0 / len(known)


def compute_coordinator_share(
    *,
    known: Collection[str],
    live: Collection[str],
    attached: Collection[str],
    age_s: float,
) -> float:
    """Return the share that a coordinator may grant.

    A new coordinator has no record of the slots that other instances hold. It therefore
    grants only a fallback share until all live instances have reported their
    slots, but for at most one second. After that it subtracts the fallback share
    of each instance that has not reported: such an instance may be running behind
    a network partition, or may regard another instance as the coordinator.

    :param known: All instances of the data centre that may take work, including
        the coordinator.
    :param live: The instances heard from recently, including the coordinator.
    :param attached: The instances that have reported the slots that they hold.
    :param age_s: The time since the coordinator opened the slot allocation, in seconds.
    :returns: The share, at most 1.
    """
    known_names = set(known)
    live_names = known_names.intersection(live)
    reporting_names = known_names.intersection(attached)
    if age_s < COORDINATOR_REBUILD_TIMEOUT_S and not reporting_names >= live_names:
        return compute_fallback_share(known_names)
    return max(1, len(reporting_names)) / len(known_names)
