"""Which upstreams may get work, by the platform's list and its gaps."""

from dataclasses import dataclass, field

from jujubenotch.forwarding.model import ListedUpstream
from jujubenotch.forwarding.source import Item

# Entries that lapsed while the store was away come back within about 2 s, and
# a leaving upstream must get nothing 2 s after its entry went.
RETURN_WAIT_S = 1.8


@dataclass(kw_only=True, slots=True)
class KnownUpstream:
    """An upstream on the list, or missing from it for a while.

    :param missing_until_s: Until when its entry may come back; ``None`` while
        it is listed.
    """

    listed: ListedUpstream
    missing_until_s: float | None = None


@dataclass(kw_only=True)
class UpstreamListing:
    """The upstreams that are known, by name.

    >>> find_usable(UpstreamListing(), "drafting", now_s=0.0)
    []
    """

    known: dict[str, KnownUpstream] = field(default_factory=dict)


def apply_items(
    listing: UpstreamListing,
    items: tuple[Item[ListedUpstream], ...],
    *,
    is_whole: bool,
    is_back: bool,
    now_s: float,
) -> None:
    """Take in what the list says.

    :param listing: What is known; changed in place.
    :param items: The entries, or those that have changed.
    :param is_whole: Whether the items are the whole list.
    :param is_back: Whether the list could not be read just before, so that an
        entry may be missing although its upstream lives.
    :param now_s: The present time, in seconds.
    """
    for item in items:
        if item.value is not None:
            listing.known[item.key] = KnownUpstream(listed=item.value)
        elif item.is_removed:
            _remove(listing, item.key, is_back=is_back, now_s=now_s)
        else:
            listing.known.pop(item.key, None)
    if is_whole:
        present = {item.key for item in items}
        for name in listing.known.keys() - present:
            _remove(listing, name, is_back=is_back, now_s=now_s)


def forget_missing(listing: UpstreamListing, now_s: float) -> list[str]:
    """Drop the upstreams whose entry did not come back.

    :param listing: What is known; changed in place.
    :param now_s: The present time, in seconds.
    :returns: The names that were dropped.
    """
    names = [
        name
        for name, known in listing.known.items()
        if known.missing_until_s is not None and known.missing_until_s <= now_s
    ]
    for name in names:
        del listing.known[name]
    return names


def find_usable(
    listing: UpstreamListing, service: str, now_s: float
) -> list[ListedUpstream]:
    """Find the upstreams of a service that may get new work.

    :param listing: What is known.
    :param service: The service's name.
    :param now_s: The present time, in seconds.
    :returns: Upstreams in the order of their names.
    """
    return [
        listing.known[name].listed
        for name in sorted(listing.known)
        if _is_usable(listing.known[name], service, now_s)
    ]


def _is_usable(known, service, now_s):
    if known.listed.service != service or known.listed.is_leaving:
        return False
    return known.missing_until_s is None or now_s < known.missing_until_s


def _remove(listing, name, *, is_back, now_s):
    known = listing.known.get(name)
    if known is None or known.missing_until_s is not None:
        return
    # A leaving upstream doesn't come back.
    if not is_back or known.listed.is_leaving:
        del listing.known[name]
        return
    known.missing_until_s = now_s + RETURN_WAIT_S
