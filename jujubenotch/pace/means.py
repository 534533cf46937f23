"""Means of samples whose weight decays with time, which can be added up."""

import math
from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class DecayingMean:
    """A weighted sum of samples; all weights decay exponentially with time.

    The sums of several instances add up to the sum of all their samples.

    :param total: The sum of the samples, each with its weight.
    :param weight: The sum of the weights.
    :param updated_s: When the decay was last applied, monotonic, in seconds.

    >>> mean = DecayingMean()
    >>> add_sample(mean, 2.0, now_s=0.0, time_s=5.0)
    >>> read_mean(mean, now_s=0.0, time_s=5.0, prior=0.0, prior_weight=1.0)
    1.0
    """

    total: float = 0.0
    weight: float = 0.0
    updated_s: float = 0.0


def add_sample(
    mean: DecayingMean,
    value: float,
    *,
    now_s: float,
    time_s: float,
    weight: float = 1.0,
) -> None:
    """Add a sample.

    :param mean: The mean; changed in place.
    :param value: The sample.
    :param now_s: The present monotonic time, in seconds.
    :param time_s: The time constant of the decay, in seconds.
    :param weight: The sample's weight.
    """
    decay(mean, now_s, time_s)
    mean.total += weight * value
    mean.weight += weight


def add_mean(
    mean: DecayingMean, other: DecayingMean, *, now_s: float, time_s: float
) -> None:
    """Add the samples of another mean.

    :param mean: The mean; changed in place.
    :param other: The other one; it is only decayed.
    :param now_s: The present monotonic time, in seconds.
    :param time_s: The time constant of the decay, in seconds.
    """
    decay(mean, now_s, time_s)
    decay(other, now_s, time_s)
    mean.total += other.total
    mean.weight += other.weight


def read_mean(
    mean: DecayingMean,
    *,
    now_s: float,
    time_s: float,
    prior: float,
    prior_weight: float,
) -> float:
    """Return the mean, which decays towards a prior value.

    :param mean: The mean; only decayed.
    :param now_s: The present monotonic time, in seconds.
    :param time_s: The time constant of the decay, in seconds.
    :param prior: The value without samples.
    :param prior_weight: The number of samples that the prior value counts for.
    """
    decay(mean, now_s, time_s)
    return (mean.total + prior_weight * prior) / (mean.weight + prior_weight)


def decay(mean: DecayingMean, now_s: float, time_s: float) -> None:
    """Apply the decay up to a time.

    :param mean: The mean; changed in place.
    :param now_s: The present monotonic time, in seconds.
    :param time_s: The time constant of the decay, in seconds.
    """
    if now_s > mean.updated_s:
        factor = math.exp((mean.updated_s - now_s) / time_s)
        mean.total *= factor
        mean.weight *= factor
        mean.updated_s = now_s


def clear(mean: DecayingMean) -> None:
    """Remove all samples.

    :param mean: The mean; changed in place.
    """
    mean.total = mean.weight = 0.0
