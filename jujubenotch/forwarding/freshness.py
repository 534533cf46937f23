"""How old the configuration in force may be, proved by the store's own clock.

The present time comes from a clock that goes on while the machine is
suspended, so that time spent suspended counts.
"""

from dataclasses import dataclass


@dataclass(kw_only=True)
class Freshness:
    """Until when the configuration is known to be the newest.

    :param offset_s: This instance's clock less the store's, at least.
    :param store_s: The newest time of the store's clock that was seen.
    :param proved_s: When the configuration was the newest one for sure; ``None``
        before the first answer.

    >>> freshness = Freshness()
    >>> record_answer(freshness, sent_s=10.0, received_s=10.1, store_s=3.0)
    >>> measure_age_s(freshness, 12.0)
    2.0
    """

    offset_s: float | None = None
    store_s: float = 0.0
    proved_s: float | None = None


def record_answer(
    freshness: Freshness, *, sent_s: float, received_s: float, store_s: float
) -> None:
    """Take in that an answer of the store brought all changes up to its time.

    :param freshness: What is known; changed in place.
    :param sent_s: When the call was sent.
    :param received_s: When its answer came.
    :param store_s: The store's clock as it answered.
    """
    lowest_offset_s = sent_s - store_s
    restarted = store_s < freshness.store_s
    if freshness.offset_s is None or restarted:
        freshness.offset_s = lowest_offset_s
    freshness.offset_s = max(freshness.offset_s, lowest_offset_s)
    freshness.store_s = store_s
    # A clock of the store that runs fast can't prove more than the answer did.
    proved_s = min(received_s, store_s + freshness.offset_s)
    if freshness.proved_s is None or proved_s > freshness.proved_s:
        freshness.proved_s = proved_s


def measure_age_s(freshness: Freshness, now_s: float) -> float:
    """Tell how long ago the configuration was the newest for sure.

    :param freshness: What is known.
    :param now_s: The present time, in seconds.
    :returns: Seconds; infinite before the first answer.
    """
    if freshness.proved_s is None:
        return float("inf")
    return now_s - freshness.proved_s
