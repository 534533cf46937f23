"""Reads the true time from a wall clock that may jump."""

from collections import deque
from dataclasses import dataclass, field
from statistics import median_low

# A jump of the wall clock that ends within half of this time has no effect.
SAMPLE_LIFETIME_S = 60.0
# The offset is the median of many samples, so more frequent ones add nothing.
MIN_SAMPLE_INTERVAL_S = 0.5


@dataclass(kw_only=True)
class TrueTime:
    """The offset between the boot clock and the wall clock, without its jumps.

    :param samples: Times of the boot clock and the offsets that were seen then.
    :param offset_s: The median of the offsets, in seconds.

    >>> TrueTime().offset_s
    0.0
    """

    samples: deque[tuple[float, float]] = field(default_factory=deque)
    offset_s: float = 0.0


def record_wall_clock(true_time: TrueTime, *, boot_s: float, wall_s: float) -> None:
    """Take a sample of the wall clock.

    :param true_time: The filter; changed in place.
    :param boot_s: The time of the boot clock, in seconds.
    :param wall_s: The time of the wall clock at the same moment, in seconds.
    """
    samples = true_time.samples
    if samples and boot_s - samples[-1][0] < MIN_SAMPLE_INTERVAL_S:
        return
    samples.append((boot_s, wall_s - boot_s))
    while boot_s - samples[0][0] > SAMPLE_LIFETIME_S:
        samples.popleft()
    true_time.offset_s = median_low(offset_s for _, offset_s in samples)


def read_true_time_s(true_time: TrueTime, boot_s: float) -> float:
    """Return the true time at a moment, in seconds since the start of 1970.

    :param true_time: The filter.
    :param boot_s: The time of the boot clock at that moment, in seconds.
    """
    return boot_s + true_time.offset_s
