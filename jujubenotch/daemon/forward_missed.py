"""Reads changes that a source has not delivered, although the store has them."""

import asyncio
import logging
import random

from jujubenotch.daemon.forward_relay import FollowedSource, Relay
from jujubenotch.daemon.forward_revisions import is_source_behind
from jujubenotch.daemon.forward_state import ForwardState
from jujubenotch.forwarding import FollowProgress, interrupt_call
from jujubenotch.logs import log_event
from jujubenotch.metrics import count_neighbour_message
from jujubenotch.neighbours import MessageKind

logger = logging.getLogger(__name__)

# When one source has reported a revision, the other source delivers the changes up
# to that revision within this time.
CHANGE_DELIVERY_S = 0.6
# The reader calls the store at once when its call has stalled. Instances that still
# miss the change after this time read it themselves, not all at the same time.
OWN_READ_DELAY_S = 0.5
OWN_READ_SPREAD_S = 0.3
# A read of the lease's row takes some tens of milliseconds.
LEASE_READ_S = 0.3
STALLED_EVENTS = {
    "upstreams": "upstream-list-stalled",
    "crash-reports": "crash-reports-stalled",
}


def is_behind(state: ForwardState, progress: FollowProgress) -> bool:
    """Return whether the store may have changes that a source has not delivered.

    :param state: The instance's state.
    :param progress: The progress in following the source.
    """
    return is_source_behind(state.revisions, progress, state.configuration_progress)


def expect_change(relay: Relay, state: ForwardState, kind: MessageKind) -> None:
    """Read a change from the store unless it is delivered soon.

    :param relay: The relay; the source may be read again.
    :param state: The instance's state.
    :param kind: The kind of the source.
    """
    loop = asyncio.get_running_loop()
    loop.call_later(CHANGE_DELIVERY_S, _judge_stalled_call, relay, state, kind)


def _judge_stalled_call(relay, state, kind):
    """End a call that seems stalled, once the lease's row could account for it."""
    if relay.is_lease_read_due():
        loop = asyncio.get_running_loop()
        loop.call_later(LEASE_READ_S, _end_stalled_call, relay, state, kind)
        return
    _end_stalled_call(relay, state, kind)


def _end_stalled_call(relay, state, kind):
    progress = relay.followed[kind].progress
    if not is_behind(state, progress):
        return
    if not relay.is_reading:
        delay_s = OWN_READ_DELAY_S + OWN_READ_SPREAD_S * random.random()
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, _read_missed_change, relay, state, kind)
    if progress.call_timeout is not None:
        log_event(
            logger,
            logging.WARNING,
            STALLED_EVENTS[progress.name],
            revision=progress.revision or 0,
            newest=state.configuration_progress.revision,
        )
        interrupt_call(progress)


def _read_missed_change(relay, state, kind):
    """Read a change that the reader has not sent, as its own call may hang."""
    followed = relay.followed[kind]
    if not is_behind(state, followed.progress) or followed.must_catch_up:
        return
    newest = state.configuration_progress.revision
    start_catch_up(relay, followed, era=followed.progress.era, newest=newest)


def start_catch_up(
    relay: Relay, followed: FollowedSource, *, era: int, newest: int
) -> None:
    """Read changes from the store that no neighbour's page has brought.

    :param relay: The relay.
    :param followed: The source; changed in place.
    :param era: The era of the store in which the changes were made.
    :param newest: The newest revision that is known there.
    """
    progress = followed.progress
    log_event(
        logger,
        logging.INFO,
        "page-missed",
        source=progress.name,
        revision=progress.revision,
        newest=newest,
        era=era,
    )
    metrics = relay.instance.observer.metrics
    count_neighbour_message(metrics, progress.name, "missed")
    followed.must_catch_up = True
    followed.recheck.set()
