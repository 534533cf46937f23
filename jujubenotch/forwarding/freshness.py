"""Bounds the age of the current configuration by means of the store's clock.

The present time comes from a clock that keeps running while the machine is
suspended, so that the age includes the time spent suspended.
"""

from dataclasses import dataclass

# The largest difference in speed between this instance's clock and the store's.
MAX_CLOCK_DRIFT = 200e-6


@dataclass(kw_only=True)
class Freshness:
    """The latest time at which the configuration is known to have been up to date.

    :param offset_s: A lower bound on this instance's clock minus the store's
        clock, in seconds; ``None`` before the first answer.
    :param store_s: The store's clock in its last answer, in seconds.
    :param confirmed_s: The latest time at which the configuration is known to have
        been up to date, by this instance's clock, in seconds; ``None`` before
        the first answer.
    :param offset_since_s: When the offset was last confirmed, by this instance's
        clock, in seconds.
    :param era: The era of the store in its last answer.

    >>> freshness = Freshness()
    >>> record_store_response(freshness, sent_s=10.0, received_s=10.1, store_s=3.0)
    >>> measure_age_s(freshness, 12.0)
    2.0
    """

    offset_s: float | None = None
    offset_since_s: float = 0.0
    store_s: float = 0.0
    confirmed_s: float | None = None
    era: int = 0


def record_store_response(
    freshness: Freshness,
    *,
    sent_s: float,
    received_s: float,
    store_s: float,
    era: int = 0,
) -> None:
    """Record a response of the store, which contains all changes up to its time.

    :param freshness: The configuration's freshness; changed in place.
    :param sent_s: When the call was sent, by this instance's clock, in seconds.
    :param received_s: When the response arrived, by this instance's clock, in
        seconds.
    :param store_s: The store's clock when it answered, in seconds.
    :param era: The era of the store; its clock may differ from the last era's.
    """
    lowest_offset_s = sent_s - store_s
    has_restarted = store_s < freshness.store_s or era != freshness.era
    if freshness.offset_s is None or has_restarted:
        freshness.offset_s = lowest_offset_s
        freshness.offset_since_s = received_s
    known_offset_s = _find_offset_s(freshness, received_s)
    freshness.offset_s = max(known_offset_s, lowest_offset_s)
    freshness.offset_since_s = received_s
    freshness.era = era
    _confirm(freshness, received_s, store_s)


def record_relayed_page(
    freshness: Freshness, *, received_s: float, store_s: float, era: int
) -> None:
    """Record a page that another instance read and that arrived from there.

    :param freshness: The configuration's freshness; changed in place.
    :param received_s: When the page arrived, by this instance's clock, in seconds.
    :param store_s: The store's clock when it answered the other instance, in seconds.
    :param era: The era of the store; the page is ignored unless this instance has
        had an answer of the same era, as it can't place the store's time otherwise.
    """
    if freshness.offset_s is None or era != freshness.era:
        return
    if store_s > freshness.store_s:
        _confirm(freshness, received_s, store_s)


def _find_offset_s(freshness, now_s):
    """Return a lower bound on the present offset; the clocks may drift apart."""
    passed_s = max(0.0, now_s - freshness.offset_since_s)
    return freshness.offset_s - MAX_CLOCK_DRIFT * passed_s


def _confirm(freshness, received_s, store_s):
    freshness.store_s = store_s
    offset_s = _find_offset_s(freshness, received_s)
    # If the store's clock runs fast, the sum can lie after the arrival of the
    # response, which contains no later changes.
    confirmed_s = min(received_s, store_s + offset_s)
    if freshness.confirmed_s is None or confirmed_s > freshness.confirmed_s:
        freshness.confirmed_s = confirmed_s


def find_store_time_s(freshness: Freshness, now_s: float) -> float | None:
    """Return an upper bound on the store's present time.

    :param freshness: The configuration's freshness.
    :param now_s: The present time by this instance's clock, in seconds.
    :returns: The time in seconds; ``None`` before the first answer.
    """
    if freshness.offset_s is None:
        return None
    return now_s - _find_offset_s(freshness, now_s)


def measure_age_s(freshness: Freshness, now_s: float) -> float:
    """Return the time since the configuration was last known to be up to date.

    :param freshness: The configuration's freshness.
    :param now_s: The present time by this instance's clock, in seconds.
    :returns: The age in seconds; infinite before the first answer.
    """
    if freshness.confirmed_s is None:
        return float("inf")
    return now_s - freshness.confirmed_s
