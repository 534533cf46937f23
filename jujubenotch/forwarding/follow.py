"""Follows a source: one task that reads all of it, then its changes."""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic

from jujubenotch.forwarding.errors import HistoryLostError, SourceError
from jujubenotch.forwarding.source import Page, Source, Value
from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)

MAX_CHANGE_WAIT_S = 1.8
# A wait proves nothing before it ends, so it is short beside the age that the
# configuration may have.
CHANGE_WAIT_SHARE = 0.36
ANSWER_TIMEOUT_S = 0.7
FIRST_PAUSE_S = 0.1
# Short beside the time in which an instance must be up to date again.
MAX_PAUSE_S = 0.5
PAUSE_SPREAD = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class Update(Generic[Value]):
    """A page with the times of its call.

    :param is_whole: Whether it holds all items, not only changes.
    :param is_back: Whether the source had been lost before it.
    """

    page: Page[Value]
    sent_s: float
    received_s: float
    is_whole: bool
    is_back: bool


def choose_change_wait_s(max_age_s: float) -> float:
    """Choose how long a call may wait for changes.

    :param max_age_s: How old what is known may become, in seconds; 0 is no
        bound.
    :returns: Seconds.
    """
    if not max_age_s:
        return MAX_CHANGE_WAIT_S
    return min(MAX_CHANGE_WAIT_S, CHANGE_WAIT_SHARE * max_age_s)


def read_suspended_clock_s() -> float:
    """Read the clock that goes on while the machine is suspended.

    :returns: Seconds.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def follow_source(
    name: str,
    source: Source[Value],
    apply_update: Callable[[Update[Value]], None],
    change_wait_s: float = MAX_CHANGE_WAIT_S,
) -> None:
    """Follow a source until cancelled.

    :param name: The source's name, for the log.
    :param source: The source.
    :param apply_update: Takes in what came.
    :param change_wait_s: How long a call waits for changes, in seconds.
    """
    revision = None
    failures = 0
    while True:
        try:
            update = await _read(source, revision, change_wait_s, failures > 0)
        except HistoryLostError:
            log_event(logger, logging.WARNING, "source-history-lost", source=name)
            revision = None
            continue
        except (SourceError, TimeoutError) as error:
            failures += 1
            if failures == 1:
                _log_lost(name, revision, error)
            await asyncio.sleep(_choose_pause_s(failures))
            continue
        if failures:
            log_event(
                logger,
                logging.INFO,
                "source-regained",
                source=name,
                failures=failures,
                revision=update.page.revision,
            )
        failures = 0
        revision = update.page.revision
        apply_update(update)


async def _read(source, revision, change_wait_s, is_back):
    sent_s = read_suspended_clock_s()
    is_whole = revision is None
    wait_s = 0.0 if is_whole or is_back else change_wait_s
    async with asyncio.timeout(wait_s + ANSWER_TIMEOUT_S):
        if is_whole:
            page = await source.read_all()
        else:
            page = await source.read_changes(revision, wait_s)
    return Update(
        page=page,
        sent_s=sent_s,
        received_s=read_suspended_clock_s(),
        is_whole=is_whole,
        is_back=is_back,
    )


def _log_lost(name, revision, error):
    log_event(
        logger,
        logging.WARNING,
        "source-lost",
        source=name,
        revision=revision or 0,
        error=str(error) or type(error).__name__,
    )


def _choose_pause_s(failures):
    pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** (failures - 1))
    return pause_s * random.uniform(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD)
