"""Registers the software versions of upstreams that may begin resumable streams."""

import asyncio
import contextlib
import logging
import random

from jujubenotch.daemon.forward_records import is_keeper
from jujubenotch.daemon.forward_streams import (
    LIST_AGE_S,
    StreamWatch,
    find_window_s,
    wait_for_instances,
)
from jujubenotch.forwarding import SourceError, find_store_time_s, read_boot_clock_s
from jujubenotch.logs import log_event
from jujubenotch.streams import (
    VersionRegistration,
    choose_record_span_s,
    find_obsolete,
    find_unregistered,
    has_seen_window,
)

logger = logging.getLogger(__name__)

# Instances that start together don't all write the same registrations.
SPREAD_S = 0.5
RETRY_PAUSE_S = 1.0
# A restore of the store and registrations that are no longer needed are noticed within
# this time.
CHECK_INTERVAL_S = 5.0


async def keep_registrations(watch: StreamWatch) -> None:
    """Register versions as they are listed; runs until it is cancelled.

    :param watch: The state of the watch; its registrations are changed in place.
    """
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await watch.must_register.wait()
        watch.must_register.clear()
        if _find_unregistered(watch):
            await asyncio.sleep(random.uniform(0.0, SPREAD_S))
            await _register(watch)
        await _remove_obsolete(watch)


def _find_unregistered(watch):
    """Return the listed versions without a registration, if streams can be resumed."""
    state = watch.state
    if state.index is None or state.freshness.offset_s is None:
        return []
    if not any(each.is_resumable for each in state.index.configuration.routes):
        return []
    listed = (
        (each.listed.service, each.listed.software_version)
        for each in state.listing.upstreams.values()
    )
    known = watch.registrations.known
    return find_unregistered(known, listed, era=state.freshness.era)


async def _register(watch):
    """Read the registrations, and write those that are missing."""
    book = watch.registrations
    try:
        objects = await watch.store.list_objects()
        book.known.update(objects.registrations)
        for service, version in _find_unregistered(watch):
            await _write(watch, service, version)
        book.is_overdue = False
    except SourceError as error:
        book.is_overdue = True
        log_event(logger, logging.WARNING, "versions-not-registered", error=str(error))
        watch.must_register.set()
        await asyncio.sleep(RETRY_PAUSE_S)


async def _write(watch, service, version):
    freshness = watch.state.freshness
    registration = VersionRegistration(
        service=service,
        software_version=version,
        era=freshness.era,
        registered_s=int(find_store_time_s(freshness, read_boot_clock_s())),
    )
    await watch.store.write_registration(registration)
    watch.registrations.known.add(registration)
    log_event(
        logger,
        logging.INFO,
        "version-registered",
        service=service,
        software_version=version,
        era=registration.era,
    )


async def _remove_obsolete(watch):
    """Remove the registrations of versions that have left long ago.

    All instances forget them, so that a version that comes back is registered anew.
    """
    span_s = choose_record_span_s(find_window_s(watch.state))
    now_s = read_boot_clock_s()
    if not has_seen_window(watch.history, window_s=span_s, now_s=now_s):
        return
    known = watch.registrations.known
    obsolete = find_obsolete(known, watch.history, span_s=span_s, now_s=now_s)
    if not obsolete:
        return
    known.difference_update(obsolete)
    await wait_for_instances(watch, LIST_AGE_S)
    if not is_keeper(watch):
        return
    for each in obsolete:
        try:
            await watch.store.remove(each)
        except SourceError as error:
            log_event(
                logger, logging.WARNING, "registration-not-removed", error=str(error)
            )
