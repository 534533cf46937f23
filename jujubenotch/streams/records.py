"""Decides from records in the store at which version a stream began.

The records outlive all instances. They are written only while a service has upstreams
of several versions, and tell an instance that has just started what it has not seen.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from jujubenotch.streams.history import (
    VersionHistory,
    find_recent_versions,
)
from jujubenotch.streams.origins import StreamOrigin
from jujubenotch.streams.registrations import VersionRegistration

# A record is renewed several times within the window, so that one lost call doesn't
# make it expire.
INTERVAL_SHARE = 0.25
MIN_INTERVAL_S = 1.0
MAX_INTERVAL_S = 5.0
MAX_MISSED_INTERVALS = 3
# Instances learn of a new upstream some time after its start. The list is confirmed
# at least this often.
LISTING_DELAY_S = 3.0
# A batch of 1,000 origins takes about 20 KB.
MAX_BATCH_ORIGINS = 1000
# A batch is written again while it grows, so that there are few objects to read.
BATCH_SPAN_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionRecord:
    """A version of a service that was listed while another one was, or just after.

    :param era: The era of the store in which it was recorded.
    :param listed_s: The store's time at which it was still listed, in seconds, rounded
        down to the interval of the records.
    """

    service: str
    software_version: str
    era: int
    listed_s: int


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchName:
    """Identifies a batch of origins.

    :param era: The era of the store in which the batch was begun.
    :param begun_s: The store's time at that moment, in whole seconds.
    :param writer: Identifies the process that writes it.
    :param number: Counts the batches of the process.
    """

    era: int
    begun_s: int
    writer: str
    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamObjects:
    """The records, the registrations and the batches of origins in the store."""

    records: tuple[VersionRecord, ...] = ()
    batches: tuple[BatchName, ...] = ()
    registrations: tuple[VersionRegistration, ...] = ()


class StreamRecordStore(Protocol):
    """Where the instances keep what has to outlive all of them.

    Each method raises ``SourceError`` when the store didn't confirm the call.
    """

    async def list_objects(self) -> StreamObjects:
        """Return all records and the names of all batches."""

    async def write_record(self, record: VersionRecord) -> None:
        """Write a record; writing it again changes nothing."""

    async def write_registration(self, registration: VersionRegistration) -> None:
        """Register a version; doing so again changes nothing."""

    async def write_batch(
        self, name: BatchName, origins: dict[str, StreamOrigin]
    ) -> None:
        """Write a batch, whatever it contained before."""

    async def read_batch(self, name: BatchName) -> dict[str, StreamOrigin]:
        """Return the origins of a batch."""

    async def remove(
        self, identity: VersionRecord | VersionRegistration | BatchName
    ) -> None:
        """Remove a record, a registration or a batch."""

    async def has_lost_upstreams(self) -> bool:
        """Return whether an upstream has left the list since the store began."""


@dataclass(kw_only=True)
class RecordBook:
    """What an instance has written to the store and read there.

    :param writer: Identifies this process.
    :param confirmed: The versions whose record is confirmed, by era and service.
    :param written: The records that this instance wrote or saw.
    :param own: The objects that this instance wrote and has not removed.
    :param unsaved: Origins that are in no confirmed batch.
    :param batch: The batch that still grows.
    :param batch_origins: Its origins.
    :param batches_begun: Counts the batches.
    """

    writer: str = ""
    confirmed: set[tuple[int, str, str]] = field(default_factory=set)
    written: set[VersionRecord] = field(default_factory=set)
    own: set[VersionRecord | BatchName] = field(default_factory=set)
    unsaved: dict[str, StreamOrigin] = field(default_factory=dict)
    batch: BatchName | None = None
    batch_origins: dict[str, StreamOrigin] = field(default_factory=dict)
    batches_begun: int = 0


def choose_interval_s(window_s: float) -> int:
    """Choose how often records are renewed, in whole seconds.

    :param window_s: For how long a version that has left may still matter, in seconds.
    """
    return int(min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, INTERVAL_SHARE * window_s)))


def choose_record_span_s(window_s: float) -> float:
    """Return for how long after the last version has left records are kept up.

    It covers the rounding of the records' times and the time until other instances
    renew records for keepers that have ended. Origins are kept for as long as a record
    makes an instance doubt.

    :param window_s: For how long a version that has left may still matter, in seconds.
    """
    return window_s + MAX_MISSED_INTERVALS * choose_interval_s(window_s)


def find_due_records(
    history: VersionHistory,
    service: str,
    *,
    era: int,
    store_s: float,
    window_s: float,
    now_s: float,
) -> list[VersionRecord]:
    """Find the records that have to be in the store now.

    The record of a version that has left keeps the time at which it was last listed.

    :param history: The versions that this instance has seen.
    :param service: A service with several versions.
    :param era: The era of the store.
    :param store_s: An upper bound on the store's time, in seconds.
    :param window_s: For how long a version that has left may still matter, in seconds.
    :param now_s: The present time, in seconds.
    """
    interval_s = choose_interval_s(window_s)
    recent = find_recent_versions(history, service, window_s=window_s, now_s=now_s)
    return [
        VersionRecord(
            service=service,
            software_version=version,
            era=era,
            listed_s=int((store_s - left_age_s) // interval_s * interval_s),
        )
        for version, left_age_s in sorted(recent.items())
    ]


def is_record_recent(
    record: VersionRecord, *, era: int, store_s: float, window_s: float
) -> bool:
    """Return whether the version of a record may have begun streams that still matter.

    Times of another era can't be compared, so such a record always counts.

    :param record: The record.
    :param era: The era of the store.
    :param store_s: A lower bound on the store's time, in seconds.
    :param window_s: For how long a version that has left may still matter, in seconds.
    """
    if record.era != era:
        return True
    return store_s - record.listed_s < choose_record_span_s(window_s)


def add_recorded_versions(
    history: VersionHistory,
    records: Iterable[VersionRecord],
    *,
    era: int,
    store_s: float,
    window_s: float,
    now_s: float,
) -> None:
    """Add to an instance's history the versions that had left before it started.

    It then shares and saves origins like the instances that have seen them.

    :param history: The history; changed in place.
    :param records: The records in the store.
    :param era: The era of the store.
    :param store_s: A lower bound on the store's time, in seconds.
    :param window_s: For how long a version that has left may still matter, in seconds.
    :param now_s: The present time, in seconds.
    """
    for record in records:
        is_recent = is_record_recent(
            record, era=era, store_s=store_s, window_s=window_s
        )
        listed = history.listed.get(record.service, ())
        if not is_recent or not listed or record.software_version in listed:
            continue
        age_s = max(0.0, store_s - record.listed_s) if record.era == era else 0.0
        key = (record.service, record.software_version)
        history.left_s[key] = max(now_s - age_s, history.left_s.get(key, -math.inf))


def find_held_versions(
    upstreams: Iterable[tuple[str, int]], confirmed: Collection[str]
) -> frozenset[str]:
    """Find the versions of a service whose upstreams may begin no resumable stream.

    A version without a confirmed record waits for it. The version of the upstream that
    has served longest need not wait, as some version has to serve meanwhile.

    :param upstreams: The version and the start, as Unix time in milliseconds, of each
        upstream that takes new requests.
    :param confirmed: The versions with a confirmed record.
    """
    versions = {}
    for version, started_ms in upstreams:
        versions[version] = min(started_ms, versions.get(version, math.inf))
    if len(versions) < 2:
        return frozenset()
    oldest = min(versions, key=lambda version: (versions[version], version))
    return frozenset(versions) - {oldest} - set(confirmed)


def take_batch(
    book: RecordBook, *, era: int, store_s: float
) -> tuple[BatchName, dict[str, StreamOrigin]] | None:
    """Add unsaved origins to the batch that grows, or begin a new one.

    The origins stay unsaved until :func:`confirm_batch`.

    :param book: The book; changed in place.
    :param era: The era of the store.
    :param store_s: The store's time, in seconds.
    :returns: The batch to write; ``None`` when all origins are saved.
    """
    if not book.unsaved:
        return None
    batch = book.batch
    room = MAX_BATCH_ORIGINS - len(book.batch_origins)
    if (
        batch is None
        or batch.era != era
        or store_s - batch.begun_s > BATCH_SPAN_S
        or room <= 0
    ):
        book.batches_begun += 1
        book.batch = BatchName(
            era=era,
            begun_s=int(store_s),
            writer=book.writer,
            number=book.batches_begun,
        )
        book.batch_origins = {}
        room = MAX_BATCH_ORIGINS
    added = dict(list(book.unsaved.items())[:room])
    return book.batch, {**book.batch_origins, **added}


def confirm_batch(
    book: RecordBook, name: BatchName, origins: dict[str, StreamOrigin]
) -> None:
    """Record that the store has confirmed a batch.

    :param book: The book; changed in place.
    :param name: The batch.
    :param origins: Its origins.
    """
    book.own.add(name)
    if book.batch == name:
        book.batch_origins = origins
    for request_id in origins:
        book.unsaved.pop(request_id, None)


def choose_batches(
    batches: Iterable[BatchName], *, era: int, store_s: float, span_s: float
) -> list[BatchName]:
    """Choose the batches that may hold streams which can still be resumed.

    :param batches: All batches.
    :param era: The era of the store.
    :param store_s: A lower bound on the store's time, in seconds.
    :param span_s: For how long origins are kept, in seconds.
    :returns: The batches, the latest first.
    """
    recent = [name for name in batches if not is_batch_old(name, era, store_s, span_s)]
    return sorted(recent, key=lambda name: (name.era, name.begun_s), reverse=True)


def is_batch_old(name: BatchName, era: int, store_s: float, span_s: float) -> bool:
    """Return whether no stream of a batch can be resumed any more.

    :param name: The batch.
    :param era: The era of the store; the times of another one can't be compared.
    :param store_s: A lower bound on the store's time, in seconds.
    :param span_s: For how long origins are kept, in seconds.
    """
    return name.era == era and store_s - name.begun_s > span_s + BATCH_SPAN_S


def find_removable(
    objects: Iterable[VersionRecord | BatchName],
    *,
    era: int,
    store_s: float,
    window_s: float,
    is_over: bool,
) -> list[VersionRecord | BatchName]:
    """Find the objects that no instance needs any more.

    :param objects: Records and names of batches.
    :param era: The era of the store.
    :param store_s: A lower bound on the store's time, in seconds.
    :param window_s: For how long a version that has left may still matter, in seconds.
    :param is_over: Whether one version alone has served for so long that objects of
        earlier eras are obsolete as well.
    """
    span_s = choose_record_span_s(window_s)

    def is_removable(each):
        if each.era != era:
            return is_over
        if isinstance(each, BatchName):
            return is_batch_old(each, era, store_s, span_s)
        return store_s - each.listed_s > span_s

    return [each for each in objects if is_removable(each)]
