"""Publishes this instance's reports of crashed upstreams."""

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable

from jujubenotch.daemon.forward_crashes import CrashWatch, take_unpublished
from jujubenotch.daemon.forward_parts import CrashReportStore
from jujubenotch.forwarding import SourceError
from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)

# The reports of several crashes are written at once.
MIN_INTERVAL_S = 0.2
# With many instances the interval keeps the store's rate of writes within its limit.
WRITES_PER_S = 75.0
# Instances that saw one crash don't all write at the same instant.
SPREAD_S = 0.05
MAX_PAUSE_S = 1.0
# How often evidence that has expired is dropped.
EXPIRY_INTERVAL_S = 30.0


async def publish_reports(
    watch: CrashWatch,
    store: CrashReportStore,
    read_instance_count: Callable[[], int],
) -> None:
    """Publish the reports of this instance whenever they have changed.

    :param watch: The state of the watch.
    :param store: Where the instances publish their reports.
    :param read_instance_count: Returns the number of instances.
    """
    # Reports that were published before this process started are in the store's row,
    # which must not be overwritten before it has been read.
    await watch.is_loaded.wait()
    while True:
        await _wait_for_change(watch)
        await asyncio.sleep(SPREAD_S * random.random())
        reports = take_unpublished(watch)
        if reports is None:
            continue
        await _write(watch, store, reports)
        await asyncio.sleep(max(MIN_INTERVAL_S, read_instance_count() / WRITES_PER_S))


async def _wait_for_change(watch):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(EXPIRY_INTERVAL_S):
            await watch.evidence_changed.wait()
    watch.evidence_changed.clear()
    watch.evidence.is_stale = True


async def _write(watch, store, reports):
    pause_s = MIN_INTERVAL_S
    while True:
        try:
            await store.write(watch.name, reports)
        except SourceError as error:
            log_event(
                logger,
                logging.WARNING,
                "crash-reports-not-published",
                crashes=len(reports.crashes),
                error=str(error),
            )
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)
            reports = take_unpublished(watch) or reports
            continue
        log_event(
            logger,
            logging.INFO,
            "crash-reports-published",
            crashes=len(reports.crashes),
            acquittals=len(reports.acquittals),
        )
        return
