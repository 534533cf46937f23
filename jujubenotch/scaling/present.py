"""Counts the listed upstreams of each kind."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from jujubenotch.forwarding import UpstreamListing, is_usable
from jujubenotch.scaling.model import CapacityKind, OrderKey, Presence


@dataclass(kw_only=True)
class PresentUpstreams:
    """The listed upstreams of all services.

    :param by_service: The numbers by service and key; keys without an upstream are
        absent.
    :param slots: The mean number of slots of an upstream, by service.
    """

    by_service: dict[str, dict[OrderKey, Presence]] = field(default_factory=dict)
    slots: dict[str, float] = field(default_factory=dict)


def count_present(listing: UpstreamListing, now_s: float) -> PresentUpstreams:
    """Count the listed upstreams by service, data centre and kind.

    The list is read once for all services, as it may have thousands of entries. An
    upstream that ends soon counts as leaving, whatever its state.

    :param listing: The known upstreams.
    :param now_s: The present time on the listing's clock, in seconds.
    """
    ready, leaving = Counter(), Counter()
    slots, numbers = Counter(), Counter()
    for known in listing.upstreams.values():
        listed = known.listed
        place = (listed.service, listed.data_centre, listed.is_preemptible)
        slots[listed.service] += listed.slots
        numbers[listed.service] += 1
        if is_usable(known, now_s):
            ready[place] += 1
        elif listed.is_leaving or known.leaves_at_s is not None:
            leaving[place] += 1
    by_service = defaultdict(dict)
    for place in ready.keys() | leaving.keys():
        key = _make_key(*place)
        by_service[key.service][key] = Presence(
            ready=ready[place], leaving=leaving[place]
        )
    return PresentUpstreams(
        by_service=dict(by_service),
        slots={name: slots[name] / number for name, number in numbers.items()},
    )


def _make_key(service, data_centre, is_preemptible):
    kind = CapacityKind.PREEMPTIBLE if is_preemptible else CapacityKind.STANDARD
    return OrderKey(service=service, data_centre=data_centre, kind=kind)
