"""Tracks the upstreams on the platform's list, with a grace time after outages."""

from dataclasses import dataclass, field

from jujubenotch.forwarding.model import ListedUpstream
from jujubenotch.forwarding.source import Item

# Entries that expired while the store was unavailable are renewed within about
# 2 s. A leaving upstream must get no request later than 2 s after its entry was
# removed.
MISSING_GRACE_S = 1.8
# A store that was restored from a copy may list upstreams that no longer run. It
# removes such an entry after three missed heartbeats; this delay is longer.
COPIED_ENTRY_DELAY_S = 5.0
# Streams last up to 10 s; one that begins later than this before its upstream is
# reclaimed may be cut.
MIN_REMAINING_S = 10.0


@dataclass(kw_only=True, slots=True)
class KnownUpstream:
    """An upstream that is listed, or whose entry has been missing for a short time.

    :param usable_until_s: Until when the upstream stays usable without an
        entry, in seconds; ``None`` while it is listed.
    :param usable_from_s: From when the upstream is usable, in seconds; 0 unless it is
        known only from a copy from which the store was restored.
    :param leaves_at_s: When the upstream ends, in seconds; ``None`` when it has no end.
    """

    listed: ListedUpstream
    usable_until_s: float | None = None
    usable_from_s: float = 0.0
    leaves_at_s: float | None = None


@dataclass(kw_only=True)
class UpstreamListing:
    """The known upstreams, by name.

    :param copied_revision: Entries up to this revision come from the copy from
        which the store was restored; -1 in the first era that this instance saw.

    >>> find_usable(UpstreamListing(), "drafting", now_s=0.0)
    []
    """

    upstreams: dict[str, KnownUpstream] = field(default_factory=dict)
    copied_revision: int = -1


def apply_items(
    listing: UpstreamListing,
    items: tuple[Item[ListedUpstream], ...],
    *,
    is_snapshot: bool,
    follows_outage: bool,
    now_s: float,
    copied_revision: int | None = None,
) -> None:
    """Apply entries that were read from the platform's list.

    After the store was restored from a copy, an entry of the copy can't reinstate
    an upstream: one that was leaving keeps leaving, and one that wasn't known is
    used only after the store has had time to remove the entry of a dead upstream.

    :param listing: The known upstreams; changed in place.
    :param items: All entries, or only those that have changed.
    :param is_snapshot: Whether the items are the whole list.
    :param follows_outage: Whether the list was unavailable until just before, so that
        the entry of a running upstream may be missing.
    :param now_s: The present time, in seconds.
    :param copied_revision: The store's revision when it was first read after it was
        restored from a copy; ``None`` when the items are of the same era as before.
    """
    if copied_revision is not None:
        _start_era(listing, copied_revision, now_s)
    for item in items:
        if item.value is not None:
            _add(listing, item, now_s)
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
    return known.listed.service == service and is_usable(known, now_s)


def is_usable(known: KnownUpstream, now_s: float) -> bool:
    """Return whether an upstream may get new requests.

    :param known: The upstream.
    :param now_s: The present time, in seconds.
    """
    if known.listed.is_leaving:
        return False
    if now_s < known.usable_from_s:
        return False
    if known.leaves_at_s is not None and now_s > known.leaves_at_s - MIN_REMAINING_S:
        return False
    return known.usable_until_s is None or now_s < known.usable_until_s


def _start_era(listing, copied_revision, now_s):
    listing.copied_revision = copied_revision
    for known in listing.upstreams.values():
        if known.usable_from_s:
            known.usable_from_s = now_s + COPIED_ENTRY_DELAY_S


def _add(listing, item, now_s):
    known = listing.upstreams.get(item.key)
    is_copied = item.revision <= listing.copied_revision
    if not is_copied:
        listing.upstreams[item.key] = KnownUpstream(listed=item.value)
    elif known is None:
        listing.upstreams[item.key] = KnownUpstream(
            listed=item.value, usable_from_s=now_s + COPIED_ENTRY_DELAY_S
        )
    elif known.listed.started_ms < item.value.started_ms:
        listing.upstreams[item.key] = KnownUpstream(listed=item.value)
    elif known.listed.started_ms > item.value.started_ms:
        # The entry is that of an earlier process with the same name.
        return
    elif not known.listed.is_leaving:
        known.listed = item.value
        known.usable_until_s = None
    _set_end(listing.upstreams[item.key], known, now_s)


def _set_end(added, previous, now_s):
    """Set when an upstream ends, never later than an earlier entry told.

    An entry that is read again tells the time that was left when it was written.
    """
    if added.listed.leaves_s is None:
        return
    ends_s = [now_s + added.listed.leaves_s]
    is_same = (
        previous is not None and previous.listed.started_ms == added.listed.started_ms
    )
    if is_same and previous.leaves_at_s is not None:
        ends_s.append(previous.leaves_at_s)
    added.leaves_at_s = min(ends_s)


def _remove(listing, name, *, follows_outage, now_s):
    known = listing.upstreams.get(name)
    if known is None or known.usable_until_s is not None:
        return
    # The entry of a leaving upstream is not renewed, so it gets no grace time.
    if not follows_outage or known.listed.is_leaving:
        del listing.upstreams[name]
        return
    known.usable_until_s = now_s + MISSING_GRACE_S
