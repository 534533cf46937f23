"""Keeps versions and origins of streams in the store, to outlive all instances.

Nothing is written here while each service has one version. An instance reads the
objects when a caller resumes a stream and the instance has seen too little of the list.
"""

import asyncio
import contextlib
import logging
import math
import random
import time
from collections.abc import Awaitable, Iterable
from dataclasses import replace

from jujubenotch.daemon.forward_streams import (
    LIST_AGE_S,
    MIN_LIST_AGE_S,
    StreamWatch,
    find_window_s,
    is_split,
    list_instances,
    record_listing,
    wait_for_instances,
)
from jujubenotch.forwarding import (
    SourceError,
    find_store_time_s,
    read_boot_clock_s,
)
from jujubenotch.logs import log_event
from jujubenotch.streams import (
    BATCH_SPAN_S,
    StreamObjects,
    StreamOrigin,
    VersionBasis,
    VersionEvidence,
    add_recorded_versions,
    choose_batches,
    choose_interval_s,
    choose_keepers,
    choose_record_span_s,
    confirm_batch,
    find_due_records,
    find_held_versions,
    find_origins_of,
    find_removable,
    has_seen_window,
    judge_version,
    remember_origin,
    take_batch,
)

logger = logging.getLogger(__name__)

MS_PER_S = 1000
# How often origins are written; those of this time are lost with all instances.
SAVE_INTERVAL_S = 0.5
# The others look for the keepers' record after this time, and write a missing one.
CHECK_DELAY_S = (0.08, 0.25)
# About so many of the others look in an interval, however many there are.
CHECKERS = 8
# A caller waits for the answer.
READ_TIMEOUT_S = 0.5
# Many callers come back at once; one call serves all of them.
READ_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.3
# A keeper writes about one batch each 5 s, and the window is 120 s at most.
MAX_BATCHES_READ = 60


def find_held(
    watch: StreamWatch, service: str, upstreams: Iterable[tuple[str, int]]
) -> frozenset[str]:
    """Find the versions of a service that may begin no resumable stream yet.

    :param watch: The state of the watch.
    :param service: The service.
    :param upstreams: The version and the start of each upstream that takes requests.
    """
    if watch.store is None:
        return frozenset()
    era = watch.state.freshness.era
    confirmed = {
        version
        for known_era, known_service, version in watch.book.confirmed
        if (known_era, known_service) == (era, service)
    }
    return find_held_versions(upstreams, confirmed)


async def keep_records(watch: StreamWatch) -> None:
    """Write records and origins while a service has several versions.

    :param watch: The state of the watch; changed in place.
    """
    # A process that starts again on the same machine writes batches of its own.
    watch.book.writer = f"{random.getrandbits(64):016x}"
    check_s = -math.inf
    era = None
    while True:
        await watch.must_record.wait()
        watch.must_record.clear()
        split = {each for each in watch.history.listed if is_split(watch, each)}
        now_s = read_boot_clock_s()
        store_s = find_store_time_s(watch.state.freshness, now_s)
        if not split:
            await _remove_obsolete(watch)
            watch.book.unsaved.clear()
            continue
        if store_s is not None:
            if era not in (None, watch.state.freshness.era):
                _save_again(watch, split, now_s)
            era = watch.state.freshness.era
            check_s = await _keep_once(watch, split, check_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SAVE_INTERVAL_S):
                await watch.must_record.wait()
        watch.must_record.set()


def _save_again(watch, split, now_s):
    """Save all origins after a restore, which may have lost the last batches."""
    since_s = now_s - find_window_s(watch.state)
    for service in split:
        watch.book.unsaved.update(
            find_origins_of(watch.origins, service, since_s=since_s)
        )


async def _keep_once(watch, split, check_s):
    """Write what is due; return when to look next for the keepers' records."""
    due = _find_due(watch, split)
    await wait_for_instances(watch, LIST_AGE_S)
    if is_keeper(watch):
        await _write_records(watch, due)
        await _save_origins(watch)
        await _remove_own(watch)
        return check_s
    watch.book.unsaved.clear()
    now_s = read_boot_clock_s()
    is_confirmed = all(_make_key(each) in watch.book.confirmed for each in due)
    if is_confirmed and now_s < check_s:
        return check_s
    await asyncio.sleep(random.uniform(*CHECK_DELAY_S))
    await _check_records(watch, due)
    interval_s = choose_interval_s(find_window_s(watch.state))
    share = max(1.0, len(list_instances(watch)) / CHECKERS)
    return now_s + interval_s * share * random.uniform(0.0, 2.0)


def _find_due(watch, split):
    """Return the records that are due and neither written nor seen by this instance."""
    now_s = read_boot_clock_s()
    freshness = watch.state.freshness
    store_s = find_store_time_s(freshness, now_s)
    due = [
        record
        for service in sorted(split)
        for record in find_due_records(
            watch.history,
            service,
            era=freshness.era,
            store_s=store_s,
            window_s=find_window_s(watch.state),
            now_s=now_s,
        )
    ]
    watch.book.written.intersection_update(due)
    return [each for each in due if each not in watch.book.written]


def is_keeper(watch: StreamWatch) -> bool:
    """Return whether this instance writes and removes objects for all.

    :param watch: The state of the watch.
    """
    return watch.neighbours.own_address in choose_keepers(list_instances(watch))


def _make_key(record):
    return record.era, record.service, record.software_version


async def _check_records(watch, due):
    """Take the keepers' records for confirmed, and write those that are missing."""
    try:
        objects = await watch.store.list_objects()
    except SourceError as error:
        _log_failure("version-records-not-read", error)
        return
    keys = {_make_key(each) for each in objects.records}
    recent = {each for each in due if each in objects.records}
    _confirm(watch, (each for each in due if _make_key(each) in keys))
    watch.book.written |= recent
    newest = {}
    for each in objects.records:
        key = _make_key(each)
        newest[key] = max(newest.get(key, -math.inf), each.listed_s)
    missing = [
        each
        for each in due
        if each.listed_s - newest.get(_make_key(each), -math.inf)
        > choose_interval_s(find_window_s(watch.state))
    ]
    await _write_records(watch, missing)


async def _write_records(watch, records):
    await asyncio.gather(*(_write_record(watch, each) for each in records))


async def _write_record(watch, record):
    try:
        await watch.store.write_record(record)
    except SourceError as error:
        _log_failure(
            "version-not-recorded",
            error,
            service=record.service,
            software_version=record.software_version,
        )
        return
    watch.book.written.add(record)
    watch.book.own.add(record)
    _confirm(watch, (record,))


def _confirm(watch, records):
    for record in records:
        key = _make_key(record)
        if key in watch.book.confirmed:
            continue
        # Of other eras nothing is asked again.
        watch.book.confirmed = {
            each for each in watch.book.confirmed if each[0] == record.era
        } | {key}
        log_event(
            logger,
            logging.INFO,
            "version-recorded",
            service=record.service,
            software_version=record.software_version,
            era=record.era,
        )


async def _save_origins(watch):
    while True:
        freshness = watch.state.freshness
        store_s = find_store_time_s(freshness, read_boot_clock_s())
        batch = take_batch(watch.book, era=freshness.era, store_s=store_s)
        if batch is None:
            return
        name, origins = batch
        try:
            await watch.store.write_batch(name, origins)
        except SourceError as error:
            _log_failure("stream-origins-not-saved", error, unsaved=len(origins))
            return
        confirm_batch(watch.book, name, origins)


async def _remove_own(watch):
    """Remove the objects of this instance that no one needs any more."""
    await _remove(watch, find_removable(watch.book.own, **_describe_age(watch, False)))


async def _remove_obsolete(watch):
    """Remove all objects that no one needs, once one version alone has served."""
    seen = watch.reader.objects or StreamObjects()
    has_objects = watch.book.confirmed or seen.records or seen.batches
    if not has_objects or _is_young(watch) or not is_keeper(watch):
        return
    try:
        objects = await watch.store.list_objects()
    except SourceError as error:
        # They are removed after the next rollout.
        _log_failure("version-records-not-read", error)
        return
    watch.book.own = {*objects.records, *objects.batches}
    removable = find_removable(watch.book.own, **_describe_age(watch, True))
    await _remove(watch, removable)
    if watch.book.own:
        # The last ones may be those of a rollout that has just begun elsewhere.
        _remove_later(watch)
    else:
        watch.book.confirmed.clear()
        watch.reader.objects = None
    log_event(
        logger,
        logging.INFO,
        "version-records-removed",
        objects=len(removable),
        left=len(watch.book.own),
    )


def _is_young(watch):
    return not has_seen_window(
        watch.history,
        window_s=choose_record_span_s(find_window_s(watch.state)),
        now_s=read_boot_clock_s(),
    )


def _describe_age(watch, is_over):
    freshness = watch.state.freshness
    return {
        "era": freshness.era,
        "store_s": freshness.store_s,
        "window_s": find_window_s(watch.state),
        "is_over": is_over,
    }


async def _remove(watch, identities):
    for identity in identities:
        # The other keeper may have removed it.
        with contextlib.suppress(SourceError):
            await watch.store.remove(identity)
        watch.book.own.discard(identity)


def _log_failure(event, error, **fields):
    log_event(logger, logging.WARNING, event, error=str(error), **fields)


def needs_records(watch: StreamWatch) -> bool:
    """Return whether an instance has seen too little of the list by itself.

    :param watch: The state of the watch.
    """
    return watch.store is not None and not has_seen_window(
        watch.history,
        window_s=find_window_s(watch.state),
        now_s=read_boot_clock_s(),
    )


async def find_proved_version(
    watch: StreamWatch, service: str
) -> tuple[str | None, VersionBasis]:
    """Find the version of all streams of a service that may still be resumed.

    The store is asked only if this instance has seen too little by itself.

    :param watch: The state of the watch; changed in place.
    :param service: The service.
    :returns: The version, ``None`` when it is not certain, and why.
    """
    if not needs_records(watch):
        return _judge(watch, service, None)
    evidence = await _read_evidence(watch, service)
    version, basis = _judge(watch, service, evidence)
    if basis is not VersionBasis.UPSTREAMS_TOO_YOUNG:
        return version, basis
    is_complete = await _are_versions_registered(watch)
    evidence = replace(evidence, is_registering_complete=is_complete)
    version, basis = _judge(watch, service, evidence)
    if basis is not VersionBasis.UPSTREAMS_TOO_YOUNG or evidence.era:
        # After a restore the changes of the list since its beginning may be lost.
        return version, basis
    async with watch.reader.lock:
        if watch.reader.has_lost_upstreams is None:
            watch.reader.has_lost_upstreams = await _call(
                watch.store.has_lost_upstreams()
            )
    is_first = watch.reader.has_lost_upstreams is False
    return _judge(watch, service, replace(evidence, is_first_listing=is_first))


async def _are_versions_registered(watch):
    """Return whether all listed instances are of releases that register versions."""
    neighbours = watch.neighbours
    watch.wants_all = True
    is_known = neighbours.are_versions_registered
    await wait_for_instances(watch, LIST_AGE_S if is_known else MIN_LIST_AGE_S)
    return neighbours.are_versions_registered


def _judge(watch, service, evidence):
    return judge_version(
        watch.history,
        service,
        evidence,
        window_s=find_window_s(watch.state),
        now_s=read_boot_clock_s(),
    )


async def _read_evidence(watch, service):
    objects = await _read_objects(watch, must_be_new=False)
    if objects is None:
        return None
    freshness = watch.state.freshness
    return VersionEvidence(
        records=objects.records,
        registrations=(*objects.registrations, *watch.registrations.known),
        era=freshness.era,
        store_s=freshness.store_s,
        oldest_start_age_s=_measure_oldest_start_age_s(watch, service),
    )


def _measure_oldest_start_age_s(watch, service):
    started_ms = [
        each.listed.started_ms
        for each in watch.state.listing.upstreams.values()
        if each.listed.service == service and each.listed.started_ms
    ]
    if not started_ms:
        return -math.inf
    return time.time() - min(started_ms) / MS_PER_S


async def _read_objects(watch, *, must_be_new):
    """Read the objects; callers that come at once share a call.

    What an instance has read since its start tells of the time before it, so one
    success is enough for the records.
    """
    reader = watch.reader
    async with reader.lock:
        if not _must_read(reader, must_be_new):
            return reader.objects
        reader.objects = await _call(watch.store.list_objects())
        reader.read_s = read_boot_clock_s()
    objects = reader.objects
    if objects is None:
        return None
    if objects.records or objects.batches:
        _add_recorded(watch, objects.records)
        _remove_later(watch)
    log_event(
        logger,
        logging.INFO,
        "version-records-read",
        records=len(objects.records),
        batches=len(objects.batches),
    )
    return objects


def _add_recorded(watch, records):
    freshness = watch.state.freshness
    add_recorded_versions(
        watch.history,
        records,
        era=freshness.era,
        store_s=freshness.store_s,
        window_s=find_window_s(watch.state),
        now_s=read_boot_clock_s(),
    )
    record_listing(watch)


def _remove_later(watch):
    delay_s = choose_record_span_s(find_window_s(watch.state)) + BATCH_SPAN_S
    asyncio.get_running_loop().call_later(delay_s, watch.must_record.set)


def _must_read(reader, must_be_new):
    age_s = read_boot_clock_s() - reader.read_s
    if reader.objects is None:
        return age_s >= RETRY_INTERVAL_S
    return must_be_new and age_s >= READ_INTERVAL_S


async def _call(call: Awaitable):
    """Make a call that callers wait for; return ``None`` when it fails."""
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            return await call
    except (SourceError, TimeoutError) as error:
        _log_failure("version-records-not-read", error)
        return None


async def read_saved_origins(watch: StreamWatch) -> None:
    """Read the origins that instances saved before this one started.

    :param watch: The state of the watch; its origins are changed in place.
    """
    objects = await _read_objects(watch, must_be_new=True)
    if objects is None:
        return
    async with watch.reader.lock:
        now_s = read_boot_clock_s()
        if now_s - watch.reader.batches_read_s < READ_INTERVAL_S:
            return
        await _read_batches(watch, objects)
        watch.reader.batches_read_s = read_boot_clock_s()


async def _read_batches(watch, objects):
    freshness = watch.state.freshness
    names = choose_batches(
        objects.batches,
        era=freshness.era,
        store_s=freshness.store_s,
        span_s=choose_record_span_s(find_window_s(watch.state)),
    )[:MAX_BATCHES_READ]
    saved = await asyncio.gather(
        *(_call(watch.store.read_batch(name)) for name in names)
    )
    count = 0
    for request_id, origin in _join(saved).items():
        count += remember_origin(
            watch.origins, request_id, origin, now_s=read_boot_clock_s()
        )
    log_event(
        logger,
        logging.INFO,
        "stream-origins-read",
        batches=len(names),
        failed=saved.count(None),
        streams=count,
    )


def _join(saved: Iterable[dict[str, StreamOrigin] | None]) -> dict[str, StreamOrigin]:
    return {key: origin for each in saved if each for key, origin in each.items()}
