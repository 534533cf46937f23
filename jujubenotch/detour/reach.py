"""Decides from failed connections whether an instance reaches a service's upstreams.

Failed requests only give cause for a check. The check connects to several upstreams at
once; only when none of them accepts a connection is the service out of reach.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from jujubenotch.forwarding import ListedUpstream

# Failures are compared within this time.
FAILURE_WINDOW_S = 2.0
# With so many upstreams failing, contact by connections that were open before proves
# nothing: a path may be cut for new connections only.
FAILED_UPSTREAMS = 2
# After a single failure, contact within this time shows that there is a path.
CONTACT_S = 0.5
CHECK_INTERVAL_S = 1.0
# Of each data centre, so that a path to the own one isn't missed.
SAMPLES = 4
# A single connection may get through while a path comes and goes.
PROBES_TO_REGAIN = 2


@dataclass(kw_only=True)
class Reach:
    """What an instance knows about its paths to the upstreams of a service.

    All times are monotonic, in seconds.

    :param failed_s: When the last connection to each upstream failed.
    :param contact_s: When an upstream last responded; ``None`` before.
    :param checked_s: When the paths were last checked; ``None`` before.
    :param lost_s: Since when no upstream is reached; ``None`` while some are.
    :param probes: Consecutive probes that succeeded since.

    >>> needs_check(Reach(), 0.0)
    False
    """

    failed_s: dict[str, float] = field(default_factory=dict)
    contact_s: float | None = None
    checked_s: float | None = None
    lost_s: float | None = None
    probes: int = 0

    @property
    def is_lost(self) -> bool:
        """Whether no upstream of the service is reached."""
        return self.lost_s is not None


def record_failure(reach: Reach, upstream: str, now_s: float) -> None:
    """Record that a connection to an upstream was not established, or is silent.

    :param reach: What is known of the service; changed in place.
    :param upstream: The upstream's name.
    :param now_s: The present monotonic time, in seconds.
    """
    reach.failed_s = {
        name: failed_s
        for name, failed_s in reach.failed_s.items()
        if now_s - failed_s < FAILURE_WINDOW_S
    }
    reach.failed_s[upstream] = now_s


def record_contact(reach: Reach, now_s: float) -> None:
    """Record that an upstream of the service has responded.

    :param reach: What is known of the service; changed in place.
    :param now_s: The present monotonic time, in seconds.
    """
    reach.contact_s = now_s


def needs_check(reach: Reach, now_s: float) -> bool:
    """Return whether the failures give cause to check the paths.

    :param reach: What is known of the service.
    :param now_s: The present monotonic time, in seconds.
    """
    if reach.is_lost:
        return False
    if reach.checked_s is not None and now_s - reach.checked_s < CHECK_INTERVAL_S:
        return False
    recent = sum(now_s - each < FAILURE_WINDOW_S for each in reach.failed_s.values())
    had_contact = reach.contact_s is not None and now_s - reach.contact_s < CONTACT_S
    return recent >= FAILED_UPSTREAMS or (recent > 0 and not had_contact)


def choose_samples(
    upstreams: Iterable[ListedUpstream], draws: Iterable[float]
) -> list[ListedUpstream]:
    """Choose the upstreams to which a check connects: some of each data centre.

    :param upstreams: The usable upstreams of the service.
    :param draws: A random number for each of them, which orders them.
    """
    ordered = sorted(
        zip(draws, upstreams, strict=False), key=lambda pair: (pair[0], pair[1].name)
    )
    chosen, counts = [], {}
    for _, upstream in ordered:
        count = counts.get(upstream.data_centre, 0)
        if count < SAMPLES:
            counts[upstream.data_centre] = count + 1
            chosen.append(upstream)
    return chosen


def record_check(reach: Reach, *, tried: int, reached: int, now_s: float) -> None:
    """Record a check of the paths.

    :param reach: What is known of the service; changed in place.
    :param tried: The number of upstreams to which a connection was tried.
    :param reached: How many of them accepted one.
    :param now_s: The present monotonic time, in seconds.
    """
    reach.checked_s = now_s
    if tried and not reached and not reach.is_lost:
        reach.lost_s = now_s
        reach.probes = 0


def record_probe(reach: Reach, *, is_reached: bool, now_s: float) -> bool:
    """Record a probe of a service that is out of reach.

    :param reach: What is known of the service; changed in place.
    :param is_reached: Whether the probed upstream accepted a connection.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether the service is in reach again.
    """
    reach.probes = reach.probes + 1 if is_reached else 0
    if reach.probes < PROBES_TO_REGAIN:
        return False
    reach.lost_s = None
    reach.failed_s.clear()
    reach.contact_s = now_s
    return True
