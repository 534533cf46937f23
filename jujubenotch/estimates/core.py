"""Exponentially weighted means and rates."""

import math
import zlib
from dataclasses import dataclass

CRC_VALUES = 2**32
MIN_SEEN_S = 3.0


@dataclass(kw_only=True, slots=True)
class RunningMean:
    """An exponentially weighted mean; the first samples weigh equally.

    :param weight: The part of each later sample in the mean.
    :param value: The mean; ``None`` before the first sample.

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
    """A rate of events over an exponentially fading window.

    :param window_s: The window's time constant, in seconds.
    :param first_s: When the first event was, monotonic, in seconds; ``None``
        before it.

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
    rate.count = rate.count * _fade(rate, now_s) + 1.0
    rate.updated_s = now_s


def read_rate(rate: DecayingRate, now_s: float) -> float:
    """Return the recent events a second.

    The first event starts the clock and isn't counted. Until the window has
    passed, the rest is divided by the part of the window that was seen, so that
    the rate isn't too low after a start.

    :param rate: The rate.
    :param now_s: The present monotonic time, in seconds.
    :returns: Events a second.
    """
    if not rate.count:
        return 0.0
    age_s = now_s - rate.first_s
    first = math.exp(-age_s / rate.window_s)
    later = max(0.0, rate.count * _fade(rate, now_s) - first)
    seen_ratio = 1.0 - math.exp(-max(MIN_SEEN_S, age_s) / rate.window_s)
    return later / (rate.window_s * seen_ratio)


def draw_fraction(text: str) -> float:
    """Draw a fraction that depends on nothing but a text.

    :param text: For example a request's id.
    :returns: A number from 0 up to, without, 1.
    """
    return zlib.crc32(text.encode()) / CRC_VALUES


def _fade(rate, now_s):
    return math.exp(-max(0.0, now_s - rate.updated_s) / rate.window_s)
