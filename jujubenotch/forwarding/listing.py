"""Tracks the upstreams on the platform's list, with a grace time after outages."""

from dataclasses import dataclass, field

from jujubenotch.forwarding.model import ListedUpstream
from jujubenotch.forwarding.source import Item

# Entries that expired while the store was unavailable are renewed within about
# 2 s. A leaving upstream must get no request later than 2 s after its entry was
# removed.
MISSING_GRACE_S = 1.8


@dataclass(kw_only=True, slots=True)
class KnownUpstream:
    """An upstream that is listed, or whose entry has been missing for a short time.

    :param usable_until_s: Until when the upstream stays usable without an
        entry, in seconds; ``None`` while it is listed.
    """

    listed: ListedUpstream
    usable_until_s: float | None = None


@dataclass(kw_only=True)
class UpstreamListing:
    """The known upstreams, by name.

    >>> find_usable(UpstreamListing(), "drafting", now_s=0.0)
    []
    """

    upstreams: dict[str, KnownUpstream] = field(default_factory=dict)


def apply_items(
    listing: UpstreamListing,
    items: tuple[Item[ListedUpstream], ...],
    *,
    is_snapshot: bool,
    follows_outage: bool,
    now_s: float,
) -> None:
    """Apply entries that were read from the platform's list.

    :param listing: The known upstreams; changed in place.
    :param items: All entries, or only those that have changed.
    :param is_snapshot: Whether the items are the whole list.
    :param follows_outage: Whether the list was unavailable until just before, so that
        the entry of a running upstream may be missing.
    :param now_s: The present time, in seconds.
    """
    for item in items:
        if item.value is not None:
            listing.upstreams[item.key] = KnownUpstream(listed=item.value)
        elif item.is_removed:
            _remove(listing, item.key, follows_outage=follows_outage, now_s=now_s)
        else:
            listing.upstreams.pop(item.key, None)
    if is_snapshot:
        present = {item.key for item in items}
        for name in listing.upstreams.keys() - present:
            _remove(listing, name, follows_outage=follows_outage, now_s=now_s)


def drop_expired(listing: UpstreamListing, now_s: float) -> list[str]:
    """Drop the missing upstreams whose grace time has passed.

    :param listing: The known upstreams; changed in place.
    :param now_s: The present time, in seconds.
    :returns: The names of the dropped upstreams.
    """
    names = [
        name
        for name, known in listing.upstreams.items()
        if known.usable_until_s is not None and known.usable_until_s <= now_s
    ]
    for name in names:
        del listing.upstreams[name]
    return names


def find_usable(
    listing: UpstreamListing, service: str, now_s: float
) -> list[ListedUpstream]:
    """Find the upstreams of a service that may get new requests.

    :param listing: The known upstreams.
    :param service: The service's name.
    :param now_s: The present time, in seconds.
    :returns: The upstreams, sorted by name.
    """
    return [
        listing.upstreams[name].listed
        for name in sorted(listing.upstreams)
        if _is_usable(listing.upstreams[name], service, now_s)
    ]


def _is_usable(known, service, now_s):
    if known.listed.service != service or known.listed.is_leaving:
        return False
    return known.usable_until_s is None or now_s < known.usable_until_s


def _remove(listing, name, *, follows_outage, now_s):
    known = listing.upstreams.get(name)
    if known is None or known.usable_until_s is not None:
        return
    # The entry of a leaving upstream is not renewed, so it gets no grace time.
    if not follows_outage or known.listed.is_leaving:
        del listing.upstreams[name]
        return
    known.usable_until_s = now_s + MISSING_GRACE_S
