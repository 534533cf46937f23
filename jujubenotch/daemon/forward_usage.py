"""Gathers the counts of all instances, and reports the usage of each window."""

from dataclasses import dataclass

from jujubenotch.usage import ServiceDemand


@dataclass(kw_only=True)
class UsageWatch:
    """The state of counting, gathering and reporting."""


def read_counts(watch: UsageWatch, window: int) -> dict[str, int]:
    """Return the requests that began in a window, by team, as far as is known here.

    :param watch: The state of the watch.
    :param window: The window's number.
    """
    raise NotImplementedError


def read_demand(
    watch: UsageWatch, now_s: float
) -> dict[tuple[str, str], ServiceDemand]:
    """Return the demand by service and data centre.

    Only the holder of the lease receives the reports of all data centres; elsewhere
    the result is empty or partial.

    :param watch: The state of the watch.
    :param now_s: The present time of the boot clock, in seconds.
    """
    raise NotImplementedError
