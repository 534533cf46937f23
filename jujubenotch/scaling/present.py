"""Counts the listed upstreams of each kind."""

from collections import Counter

from jujubenotch.forwarding import UpstreamListing, find_usable
from jujubenotch.scaling.model import CapacityKind, OrderKey, Presence


def count_present(
    listing: UpstreamListing, service: str, now_s: float
) -> dict[OrderKey, Presence]:
    """Count the upstreams of a service by data centre and kind.

    An upstream that ends soon counts as leaving, whatever its state.

    :param listing: The known upstreams.
    :param service: The service's name.
    :param now_s: The present time on the listing's clock, in seconds.
    :returns: The numbers; data centres without an upstream are absent.
    """
    usable = find_usable(listing, service, now_s)
    ready = Counter(_make_key(listed) for listed in usable)
    names = {listed.name for listed in usable}
    leaving = Counter(
        _make_key(known.listed)
        for name, known in listing.upstreams.items()
        if known.listed.service == service
        and name not in names
        and (known.listed.is_leaving or known.leaves_at_s is not None)
    )
    return {
        key: Presence(ready=ready[key], leaving=leaving[key])
        for key in ready.keys() | leaving.keys()
    }


def find_slots(listing: UpstreamListing, service: str, default: int) -> float:
    """Return the mean number of slots of a service's upstreams.

    :param listing: The known upstreams.
    :param service: The service's name.
    :param default: The number when no upstream is listed.
    """
    slots = [
        known.listed.slots
        for known in listing.upstreams.values()
        if known.listed.service == service
    ]
    return sum(slots) / len(slots) if slots else max(1, default)


def _make_key(listed):
    return OrderKey(
        service=listed.service,
        data_centre=listed.data_centre,
        kind=(
            CapacityKind.PREEMPTIBLE if listed.is_preemptible else CapacityKind.STANDARD
        ),
    )
