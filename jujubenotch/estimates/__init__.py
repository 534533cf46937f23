"""Running estimates of means and rates, updated one sample at a time.

Errors: none. Features: ``features/admission``.
"""

from jujubenotch.estimates.core import (
    DecayingRate,
    RunningMean,
    count_event,
    hash_to_fraction,
    read_rate,
    update_mean,
)

__all__ = [
    "DecayingRate",
    "RunningMean",
    "count_event",
    "hash_to_fraction",
    "read_rate",
    "update_mean",
]
