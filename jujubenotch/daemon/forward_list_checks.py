"""Proves that an instance knows all software versions that were listed until now.

What an instance has seen of the list is true for the moment of its last read. A stream
that its caller resumes may have begun later, at an upstream of a version that came
while this instance was cut off or stood still.
"""

import asyncio
import contextlib
import logging

from jujubenotch.daemon.forward_revisions import is_source_behind
from jujubenotch.daemon.forward_streams import (
    LIST_AGE_S,
    Question,
    StreamWatch,
    add_versions,
    wait_for_instances,
)
from jujubenotch.forwarding import SourceError, read_boot_clock_s
from jujubenotch.logs import log_event
from jujubenotch.membership import list_helpers, list_possible
from jujubenotch.neighbours import Message, MessageKind

logger = logging.getLogger(__name__)

# Callers that come back at once share a check.
GATHER_S = 0.02
# A caller waits for the answer of the store.
READ_TIMEOUT_S = 0.5
# Several round trips between two busy instances.
ANSWER_TIMEOUT_S = 0.05
QUESTIONS = 3
# More instances than this are not asked; those of large sites know only a part of the
# others.
MAX_ASKED = 64


async def knows_versions(watch: StreamWatch, since_s: float) -> bool:
    """Make sure that no version is missing that was listed before a time.

    The store's list is read unless the instance has seen a newer state of it. If the
    store doesn't answer, a majority of the instances has to answer which versions they
    know.

    :param watch: The state of the watch; versions that were missing are added.
    :param since_s: The time, in seconds; at most the present.
    :returns: Whether all versions are known.
    """
    check = watch.list_check
    if _is_confirmed(watch, since_s):
        return True
    async with check.lock:
        if check.started_s < since_s:
            await asyncio.sleep(GATHER_S)
            check.started_s = read_boot_clock_s()
            check.is_proved = await _check(watch, check.started_s)
        return check.is_proved


def _is_confirmed(watch, since_s):
    """Return whether the list was seen as it was at a time, or later."""
    state = watch.state
    if is_source_behind(
        state.revisions, state.listing_progress, state.configuration_progress
    ):
        return False
    confirmed_s = state.freshness.confirmed_s
    return confirmed_s is not None and confirmed_s >= since_s


async def _check(watch, started_s):
    is_read = await _read_list(watch)
    is_proved = is_read or await _ask_others(watch)
    log_event(
        logger,
        logging.INFO,
        "versions-checked" if is_proved else "versions-unknown",
        source="store" if is_read else "instances",
        took_s=round(read_boot_clock_s() - started_s, 4),
    )
    return is_proved


async def _read_list(watch):
    if watch.read_unseen is None or watch.state.listing_progress.failures:
        return False
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            page = await watch.read_unseen()
    except (SourceError, TimeoutError) as error:
        log_event(
            logger,
            logging.WARNING,
            "list-not-read",
            error=str(error) or type(error).__name__,
        )
        return False
    listed = [item.value for item in page.items if item.value is not None]
    add_versions(watch, ((each.service, each.software_version) for each in listed))
    return True


async def _ask_others(watch):
    """Ask all other instances for the versions that they know."""
    await wait_for_instances(watch, LIST_AGE_S)
    possible = list_possible(watch.neighbours)
    asked = sorted(possible.intersection(list_helpers(watch.neighbours)))
    # Together with this instance they are more than half of all that may be running.
    needed = (len(possible) + 1) // 2
    if not possible or not needed <= len(asked) <= MAX_ASKED:
        return False
    question = Question(pending=set(asked))
    message = Message(kind=MessageKind.STREAM_QUERY, wants_versions=True)
    watch.list_check.question = question
    try:
        for _ in range(QUESTIONS):
            watch.send(message, sorted(question.pending))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    await question.is_answered.wait()
            if len(asked) - len(question.pending) >= needed:
                return True
    finally:
        watch.list_check.question = None
    return False
