"""Follows a source: one task that reads all of it, then its changes."""

import asyncio
import contextlib
import functools
import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic

from jujubenotch.forwarding.errors import HistoryLostError, SourceError
from jujubenotch.forwarding.source import Page, Source, Value
from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)

MAX_CHANGE_WAIT_S = 20.0
# A wait proves nothing before it ends, so it is short beside the age that the
# configuration may have.
CHANGE_WAIT_SHARE = 0.24
# At a large site the calls of all instances weigh more than keys that are
# refused a second sooner when the store is lost.
LARGE_SITE_WAIT_SHARE = 0.45
LARGE_SITE_UPSTREAMS = 30
# Many upstreams start together; their entries need not come one by one.
SETTLE_S = 0.4
LARGE_SITE_SETTLE_S = 1.2
# Without a sign of an answer, or between two parts of one.
ANSWER_TIMEOUT_S = 0.7
FIRST_PAUSE_S = 0.1
# Short beside the time in which an instance must be up to date again.
MAX_PAUSE_S = 0.5
PAUSE_SPREAD = 0.3
MAX_DOUBLINGS = 10


@dataclass(frozen=True, kw_only=True, slots=True)
class Update(Generic[Value]):
    """A page with the times of its call.

    :param after_revision: Where its changes begin; ``None`` when it holds all
        items.
    :param is_back: Whether the source had been lost before it.
    """

    page: Page[Value]
    sent_s: float
    received_s: float
    after_revision: int | None
    is_back: bool

    @property
    def is_whole(self) -> bool:
        """Whether it holds all items, not only changes."""
        return self.after_revision is None


@dataclass(kw_only=True)
class Following:
    """How far a source has been followed.

    :param name: The source's name, for the log.
    :param revision: Up to where its changes are known; ``None`` before the
        first answer or after its history was lost.
    :param failures: Calls in a row that brought no answer.
    :param losses: How often its history was lost since changes came last.
    :param regained_s: When it last answered after failures, by the clock that
        counts suspended time; ``None`` if it never failed.
    :param bound: The bound on the call in progress; ``None`` between calls.
    :param retry: Set to end the pause after a failure.

    >>> Following(name="configuration").failures
    0
    """

    name: str
    revision: int | None = None
    failures: int = 0
    losses: int = 0
    regained_s: float | None = None
    bound: asyncio.Timeout | None = None
    retry: asyncio.Event = field(default_factory=asyncio.Event)


def choose_change_wait_s(max_age_s: float, upstreams: int) -> float:
    """Choose how long a call may wait for changes.

    :param max_age_s: How old what is known may become, in seconds; 0 is no
        bound.
    :param upstreams: How many upstreams are listed, as the site's size.
    :returns: Seconds.
    """
    if not max_age_s:
        return MAX_CHANGE_WAIT_S
    is_large = upstreams >= LARGE_SITE_UPSTREAMS
    share = LARGE_SITE_WAIT_SHARE if is_large else CHANGE_WAIT_SHARE
    return min(MAX_CHANGE_WAIT_S, share * max_age_s)


def choose_list_settle_s(upstreams: int) -> float:
    """Choose how long changes of the list may come together before the next call.

    :param upstreams: How many upstreams are listed, as the site's size.
    :returns: Seconds; short beside the time in which a leaving upstream must be
        known.
    """
    return LARGE_SITE_SETTLE_S if upstreams >= LARGE_SITE_UPSTREAMS else SETTLE_S


def read_suspended_clock_s() -> float:
    """Read the clock that goes on while the machine is suspended.

    :returns: Seconds.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def end_wait(following: Following) -> None:
    """End a wait that has fallen silent, so that the source is asked anew.

    :param following: A source whose changes are known to be missing.
    """
    if following.bound is not None and not following.bound.expired():
        following.bound.reschedule(asyncio.get_running_loop().time())


def was_lost_lately(following: Following, within_s: float, now_s: float) -> bool:
    """Tell whether a source is lost, or was so a short time ago.

    :param following: The source.
    :param within_s: How short, in seconds.
    :param now_s: The present time, by the clock that counts suspended time.
    """
    if following.failures:
        return True
    regained_s = following.regained_s
    return regained_s is not None and now_s - regained_s < within_s


async def follow_source(
    following: Following,
    source: Source[Value],
    apply_update: Callable[[Update[Value]], None],
    choose_wait_s: Callable[[], float] = lambda: MAX_CHANGE_WAIT_S,
    choose_settle_s: Callable[[], float] = lambda: 0.0,
    max_pause_s: float = MAX_PAUSE_S,
) -> None:
    """Follow a source until cancelled.

    :param following: How far it has been followed; changed in place.
    :param source: The source.
    :param apply_update: Takes in what came.
    :param choose_wait_s: Tells how long a call waits for changes, in seconds.
    :param choose_settle_s: Tells how long to let changes come together after
        one, in seconds.
    :param max_pause_s: The longest pause between two calls that fail, in seconds.
    """
    while True:
        try:
            update = await _read(following, source, choose_wait_s())
        except HistoryLostError:
            log_event(
                logger, logging.WARNING, "source-history-lost", source=following.name
            )
            following.revision = None
            following.losses += 1
            # Once may be asked anew at once; a store that always says so is not
            # to be asked without a pause.
            if following.losses > 1:
                await _pause(following, following.losses - 1, max_pause_s)
            continue
        except (SourceError, TimeoutError) as error:
            _note_failure(following, error)
            await _pause(following, following.failures, max_pause_s)
            continue
        _note_answer(following, update)
        apply_update(update)
        if update.page.items:
            await asyncio.sleep(choose_settle_s())


async def _read(following, source, change_wait_s):
    sent_s = read_suspended_clock_s()
    after_revision = following.revision
    is_back = following.failures > 0
    wait_s = 0.0 if after_revision is None or is_back else change_wait_s
    note_progress = functools.partial(_extend_bound, following)
    try:
        async with asyncio.timeout(wait_s + ANSWER_TIMEOUT_S) as following.bound:
            if after_revision is None:
                page = await source.read_all(note_progress)
            else:
                page = await source.read_changes(after_revision, wait_s, note_progress)
    finally:
        following.bound = None
    return Update(
        page=page,
        sent_s=sent_s,
        received_s=read_suspended_clock_s(),
        after_revision=after_revision,
        is_back=is_back,
    )


def _extend_bound(following):
    """Give an answer that is coming more time: it may be large, its link slow."""
    bound = following.bound
    if bound is None or bound.expired():
        return
    end_s = asyncio.get_running_loop().time() + ANSWER_TIMEOUT_S
    if end_s > bound.when():
        bound.reschedule(end_s)


def _note_answer(following, update):
    following.revision = update.page.revision
    if not update.is_whole:
        following.losses = 0
    if not following.failures:
        return
    log_event(
        logger,
        logging.INFO,
        "source-regained",
        source=following.name,
        failures=following.failures,
        revision=following.revision,
    )
    following.failures = 0
    following.regained_s = update.received_s


def _note_failure(following, error):
    following.failures += 1
    if following.failures > 1:
        return
    log_event(
        logger,
        logging.WARNING,
        "source-lost",
        source=following.name,
        revision=following.revision or 0,
        error=str(error) or type(error).__name__,
    )


async def _pause(following, failures, max_pause_s):
    pause_s = min(max_pause_s, FIRST_PAUSE_S * 2 ** min(failures - 1, MAX_DOUBLINGS))
    pause_s *= random.uniform(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD)
    following.retry.clear()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(pause_s):
            await following.retry.wait()
