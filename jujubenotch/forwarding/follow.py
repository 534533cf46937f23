"""Follows a source: a task reads all its items once and then their changes."""

import asyncio
import contextlib
import functools
import logging
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Generic

from jujubenotch.forwarding.errors import (
    EraChangedError,
    HistoryLostError,
    SourceError,
)
from jujubenotch.forwarding.intervals import MAX_CHANGE_WAIT_S, double_pause_s
from jujubenotch.forwarding.source import Page, Source, Value
from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)

# The longest time until the first part of an answer, and between two parts.
ANSWER_TIMEOUT_S = 0.7
PAUSE_JITTER = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class SourceUpdate(Generic[Value]):
    """A page with the times of the call that read it.

    :param sent_s: When the call was sent, by the clock that counts suspended
        time, in seconds.
    :param received_s: When the page arrived, by the same clock.
    :param after_revision: The revision after which the page's changes begin;
        ``None`` when the page holds all items.
    :param follows_outage: Whether the calls just before this one failed.
    :param starts_era: Whether the page is the first one since the store was
        restored from a copy.
    :param is_relayed: Whether another instance read the page; ``sent_s`` is then
        the time of its arrival.
    :param sender: The address of that instance; empty when this one read the page.
    """

    page: Page[Value]
    sent_s: float
    received_s: float
    after_revision: int | None
    follows_outage: bool
    starts_era: bool = False
    is_relayed: bool = False
    sender: str = ""

    @property
    def is_snapshot(self) -> bool:
        """Whether the page holds all items, not only the changed ones."""
        return self.after_revision is None


@dataclass(kw_only=True)
class FollowProgress:
    """The progress of following one source.

    :param name: The source's name, for the log.
    :param revision: The revision up to which all changes have been read;
        ``None`` before the first answer and after the history was lost.
    :param era: The era of the store in the last page; ``None`` before it.
    :param failures: Consecutive calls that got no answer.
    :param history_losses: How often the history was lost since changes were last
        read.
    :param recovered_s: When the source last answered after failures, by the clock
        that counts suspended time, in seconds; ``None`` if it never has.
    :param call_timeout: The time-out of the call in progress; ``None`` between calls.
    :param is_interrupted: Whether the last call was ended because it did not bring
        changes that the store has; the next one does not wait for changes.
    :param retry_requested: Set to end the pause after a failure.

    >>> FollowProgress(name="configuration").failures
    0
    """

    name: str
    revision: int | None = None
    era: int | None = None
    failures: int = 0
    history_losses: int = 0
    recovered_s: float | None = None
    call_timeout: asyncio.Timeout | None = None
    is_interrupted: bool = False
    retry_requested: asyncio.Event = field(default_factory=asyncio.Event)


def read_boot_clock_s() -> float:
    """Read the clock that keeps running while the machine is suspended.

    :returns: The time since boot, in seconds.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def interrupt_call(progress: FollowProgress) -> None:
    """End the call in progress, so that the source is read again.

    :param progress: The progress of a source that has changes which the call in
        progress did not bring.
    """
    if progress.call_timeout is not None and not progress.call_timeout.expired():
        progress.is_interrupted = True
        progress.call_timeout.reschedule(asyncio.get_running_loop().time())


def was_recently_unavailable(
    progress: FollowProgress, within_s: float, now_s: float
) -> bool:
    """Return whether a source is failing or recovered only a short time ago.

    :param progress: The progress of the source.
    :param within_s: The longest time since the source answered again, in seconds.
    :param now_s: The present time by the clock that counts suspended time, in
        seconds.
    """
    if progress.failures:
        return True
    recovered_s = progress.recovered_s
    return recovered_s is not None and now_s - recovered_s < within_s


async def _start_at_once():
    """Let the next call start without a delay."""


async def follow_source(
    progress: FollowProgress,
    source: Source[Value],
    apply_update: Callable[[SourceUpdate[Value]], None],
    choose_wait_s: Callable[[], float] = lambda: MAX_CHANGE_WAIT_S,
    choose_delay_s: Callable[[], float] = lambda: 0.0,
    choose_pause_s: Callable[[int], float] = double_pause_s,
    wait_until_due: Callable[[], Awaitable[None]] = _start_at_once,
    report_failure: Callable[[], None] = lambda: None,
) -> None:
    """Follow a source until the task is cancelled.

    :param progress: The progress; changed in place.
    :param source: The source.
    :param apply_update: Called with each page that was read.
    :param choose_wait_s: Returns how long a call waits for changes, in seconds.
    :param choose_delay_s: Returns the delay between a page with items and the
        next call, in seconds, so that one call reads several changes.
    :param choose_pause_s: Returns the pause after a number of consecutive failed
        calls, in seconds, without the random variation.
    :param wait_until_due: Returns when this instance has to call the store.
    :param report_failure: Called after each failed call.
    """
    while True:
        await wait_until_due()
        try:
            update = await _read_update(progress, source, choose_wait_s())
        except HistoryLostError:
            log_event(
                logger, logging.WARNING, "source-history-lost", source=progress.name
            )
            progress.revision = None
            progress.history_losses += 1
            # After the first loss the next call follows immediately. A store that
            # answers every call like this must not be called without a pause.
            if progress.history_losses > 1:
                losses = progress.history_losses
                await _pause(progress, choose_pause_s(losses - 1))
            continue
        except EraChangedError:
            progress.revision = None
            continue
        except (SourceError, TimeoutError) as error:
            if progress.is_interrupted:
                continue
            _note_failure(progress, error)
            report_failure()
            await _pause(progress, choose_pause_s(progress.failures))
            continue
        if _is_outdated(progress, update):
            continue
        record_update(progress, update)
        apply_update(update)
        if update.page.items:
            await asyncio.sleep(choose_delay_s())


async def read_unseen(progress: FollowProgress, source: Source[Value]) -> Page[Value]:
    """Read what a source has that was not read yet, beside the call in progress.

    :param progress: The progress of the source; not changed.
    :param source: The source.
    :returns: The changes since the progress, or all items if nothing is known.
    :raises SourceError: The store did not return a valid response, or its response
        leaves changes out.
    """
    revision = progress.revision
    if revision is None:
        page = await source.read_all(_ignore_progress)
    else:
        page = await source.read_changes(revision, 0.0, _ignore_progress)
    if progress.era is not None and page.era != progress.era:
        raise EraChangedError(
            f"the store changed from era {progress.era} to {page.era}"
        )
    if page.has_more:
        raise SourceError(f"the changes after revision {revision} are incomplete")
    return page


def _ignore_progress():
    """Note nothing; the caller bounds the duration of the whole call."""


async def _read_update(progress, source, change_wait_s):
    sent_s = read_boot_clock_s()
    after_revision = progress.revision
    follows_outage = progress.failures > 0
    must_not_wait = after_revision is None or follows_outage or progress.is_interrupted
    wait_s = 0.0 if must_not_wait else change_wait_s
    progress.is_interrupted = False
    note_progress = functools.partial(_extend_timeout, progress)
    try:
        async with asyncio.timeout(wait_s + ANSWER_TIMEOUT_S) as progress.call_timeout:
            if after_revision is None:
                page = await source.read_all(note_progress)
            else:
                page = await source.read_changes(after_revision, wait_s, note_progress)
    finally:
        progress.call_timeout = None
    _check_era(progress, page, after_revision)
    return SourceUpdate(
        page=page,
        sent_s=sent_s,
        received_s=read_boot_clock_s(),
        after_revision=after_revision,
        follows_outage=follows_outage,
        starts_era=progress.era is not None and page.era != progress.era,
    )


def _check_era(progress, page, after_revision):
    if progress.era is None or page.era == progress.era:
        return
    if page.era < progress.era:
        raise SourceError(
            f"the store answered with era {page.era} after era {progress.era}"
        )
    if after_revision is None:
        return
    log_event(
        logger,
        logging.WARNING,
        "source-era-changed",
        source=progress.name,
        before=progress.era,
        era=page.era,
        revision=after_revision,
        restored_revision=page.revision,
    )
    raise EraChangedError(f"the store changed from era {progress.era} to {page.era}")


def _extend_timeout(progress):
    """Extend the time-out for an answer that is still arriving.

    The answer may be large, or the connection slow.
    """
    timeout = progress.call_timeout
    if timeout is None or timeout.expired():
        return
    end_s = asyncio.get_running_loop().time() + ANSWER_TIMEOUT_S
    if end_s > timeout.when():
        timeout.reschedule(end_s)


def _is_outdated(progress, update):
    """Return whether a relayed page arrived during the call that was newer."""
    if progress.revision is None or update.page.era != progress.era:
        return False
    return update.page.revision < progress.revision


def record_update(progress: FollowProgress, update: SourceUpdate) -> None:
    """Record that a page was read, by this instance or by another one.

    :param progress: The progress; changed in place.
    :param update: The page.
    """
    progress.revision = update.page.revision
    progress.era = update.page.era
    if not update.is_snapshot:
        progress.history_losses = 0
    if not progress.failures:
        return
    log_event(
        logger,
        logging.INFO,
        "source-regained",
        source=progress.name,
        failures=progress.failures,
        revision=progress.revision,
    )
    progress.failures = 0
    progress.recovered_s = update.received_s


def _note_failure(progress, error):
    progress.failures += 1
    if progress.failures > 1:
        return
    log_event(
        logger,
        logging.WARNING,
        "source-lost",
        source=progress.name,
        revision=progress.revision or 0,
        error=str(error) or type(error).__name__,
    )


async def _pause(progress, pause_s):
    pause_s *= random.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
    progress.retry_requested.clear()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(pause_s):
            await progress.retry_requested.wait()
