"""Exponentially weighted means and event rates, and hash-based fractions."""

import math
import zlib
from dataclasses import dataclass

CRC_VALUES = 2**32
MIN_OBSERVED_S = 3.0


@dataclass(kw_only=True, slots=True)
class RunningMean:
    """An exponentially weighted mean in which the first samples weigh equally.

    :param weight: The weight of each later sample in the mean, from 0 to 1.
    :param value: The mean; ``None`` before the first sample.
    :param samples: Number of samples added.

    >>> mean = RunningMean(weight=0.5)
    >>> update_mean(mean, 4.0)
    >>> mean.value
    4.0
    """

    weight: float = 0.1
    value: float | None = None
    samples: int = 0


@dataclass(kw_only=True, slots=True)
class DecayingRate:
    """A rate of events in which past events decay exponentially.

    :param window_s: The time constant of the decay, in seconds.
    :param first_s: Monotonic time of the first event, in seconds; ``None``
        before the first event.
    :param count: The number of events, each decayed up to ``updated_s``.
    :param updated_s: Monotonic time of the last event, in seconds.

    >>> rate = DecayingRate(window_s=10.0)
    >>> for time_s in range(4):
    ...     count_event(rate, time_s)
    >>> round(read_rate(rate, 4.0), 2)
    0.75
    """

    window_s: float
    first_s: float | None = None
    count: float = 0.0
    updated_s: float = 0.0


def update_mean(mean: RunningMean, sample: float) -> None:
    """Add a sample to a mean.

    :param mean: The mean; changed in place.
    :param sample: The sample, in the mean's unit.
    """
    mean.samples += 1
    if mean.value is None:
        mean.value = sample
        return
    weight = max(mean.weight, 1 / mean.samples)
    mean.value += weight * (sample - mean.value)


def count_event(rate: DecayingRate, now_s: float) -> None:
    """Add an event to a rate.

    :param rate: The rate; changed in place.
    :param now_s: The present monotonic time, in seconds.
    """
    if rate.first_s is None:
        rate.first_s = now_s
    rate.count = rate.count * _compute_decay(rate, now_s) + 1.0
    rate.updated_s = now_s


def read_rate(rate: DecayingRate, now_s: float) -> float:
    """Return the present rate of events.

    The first event marks the start of the observation and is not counted. The
    decayed count of the other events is divided by the part of the window that
    has been observed, so that the rate is not underestimated shortly after the
    start.

    :param rate: The rate.
    :param now_s: The present monotonic time, in seconds.
    :returns: The number of events per second.
    """
    if not rate.count:
        return 0.0
    age_s = now_s - rate.first_s
    first = math.exp(-age_s / rate.window_s)
    later = max(0.0, rate.count * _compute_decay(rate, now_s) - first)
    observed_ratio = 1.0 - math.exp(-max(MIN_OBSERVED_S, age_s) / rate.window_s)
    return later / (rate.window_s * observed_ratio)


def hash_to_fraction(text: str) -> float:
    """Map a text to a fraction that is always the same for the same text.

    :param text: The text to hash, for example a request's id.
    :returns: A number from 0 (inclusive) to 1 (exclusive).
    """
    return zlib.crc32(text.encode()) / CRC_VALUES


def _compute_decay(rate, now_s):
    return math.exp(-max(0.0, now_s - rate.updated_s) / rate.window_s)
