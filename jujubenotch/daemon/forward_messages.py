"""Sends pages of the store to neighbours, and applies the pages that they send."""

import asyncio
import logging
import random
from collections.abc import Iterable
from dataclasses import replace

from jujubenotch.daemon.forward_instance_count import update_count
from jujubenotch.daemon.forward_missed import start_catch_up
from jujubenotch.daemon.forward_paces import note_reader, receive_paces
from jujubenotch.daemon.forward_relay import Relay
from jujubenotch.daemon.forward_revisions import add_known
from jujubenotch.daemon.forward_stream_messages import receive_streams
from jujubenotch.daemon.forward_usage import receive_reports
from jujubenotch.forwarding import (
    FollowProgress,
    Item,
    Page,
    SourceUpdate,
    read_boot_clock_s,
    record_update,
)
from jujubenotch.logs import log_event
from jujubenotch.membership import list_neighbours, record_heard
from jujubenotch.metrics import count_neighbour_message
from jujubenotch.neighbours import (
    Message,
    MessageItem,
    MessageKind,
    is_outage_reported,
    is_usable_page,
    must_step_down,
)

logger = logging.getLogger(__name__)

# The delay before a call for a missed page, which may still arrive, as datagrams are
# not ordered. It is random because several neighbours may miss the same page.
MIN_CATCH_UP_DELAY_S = 0.05
CATCH_UP_SPREAD_S = 0.3
# The lease's writes of some pages, so that a lost page leaves no gap.
MAX_SENT_REVISIONS = 24
STREAM_KINDS = frozenset({MessageKind.STREAMS, MessageKind.STREAM_QUERY})


def report_outage(relay: Relay) -> None:
    """Tell the neighbours that the store does not answer this instance.

    :param relay: The relay.
    """
    if relay.is_active and relay.role.is_reader:
        _send(relay, Message(kind=MessageKind.OUTAGE))


def share_page(relay: Relay, kind: MessageKind, update: SourceUpdate) -> None:
    """Send a page that this instance read to its neighbours.

    :param relay: The relay.
    :param kind: The kind of the source.
    :param update: The page.
    """
    relay.followed[kind].must_catch_up = False
    if kind is MessageKind.CONFIGURATION and update.follows_outage:
        for followed in relay.followed.values():
            followed.recheck.set()
    if not relay.is_active or not relay.role.is_reader or update.is_snapshot:
        return
    message = _make_page_message(relay, kind, update)
    if not _send(relay, message):
        _send(relay, replace(message, items=(), is_complete=False))


def _send(relay, message):
    return send_message(relay, message, list_neighbours(relay.neighbours))


def send_message(relay: Relay, message: Message, addresses: Iterable[str]) -> bool:
    """Send a message to other instances.

    :param relay: The relay.
    :param message: The message.
    :param addresses: The addresses of their endpoints.
    :returns: False when the message is too large or the endpoint isn't open.
    """
    if relay.endpoint is None:
        return False
    is_sent = relay.endpoint.send(message, addresses)
    if is_sent:
        count_neighbour_message(relay.instance.observer.metrics, message.kind, "sent")
    return is_sent


def _make_page_message(relay, kind, update):
    page = update.page
    return Message(
        kind=kind,
        era=page.era,
        after_revision=update.after_revision,
        revision=page.revision,
        changed_revision=page.changed_revision,
        store_time_s=page.store_time_s,
        list_revision=_find_known_revision(relay, MessageKind.UPSTREAMS, page.era),
        crash_revision=_find_known_revision(relay, MessageKind.CRASHES, page.era),
        follows_outage=update.follows_outage,
        lease_revisions=relay.list_lease_revisions()[-MAX_SENT_REVISIONS:],
        items=tuple(
            MessageItem(
                key=item.key,
                content=item.content,
                is_removed=item.is_removed,
                revision=item.revision,
            )
            for item in page.items
        ),
    )


def _find_known_revision(relay, kind, era):
    progress = relay.followed[kind].progress
    return (progress.revision or 0) if progress.era == era else 0


def receive_message(relay: Relay, sender: str, message: Message) -> None:
    """Apply a neighbour's message.

    :param relay: The relay; its state and the instance's are changed in place.
    :param sender: The address of the neighbour's endpoint.
    :param message: The message.
    """
    if message.kind is MessageKind.REPORTS:
        # These come from other data centres too, whose instances get no pages.
        _receive_reports(relay, message)
        return
    _record_heard(relay, sender, message)
    metrics = relay.instance.observer.metrics
    count_neighbour_message(metrics, message.kind, "received")
    _receive_own_kind(relay, sender, message)
    followed = relay.followed.get(message.kind)
    if followed is not None:
        _receive_page(relay, followed, sender, message)


def _record_heard(relay, sender, message):
    # Those of other data centres send messages about streams, but get no pages.
    is_neighbour = not relay.shares_pages or message.kind not in STREAM_KINDS
    now_s = asyncio.get_running_loop().time()
    if record_heard(relay.neighbours, sender, is_neighbour=is_neighbour, now_s=now_s):
        update_count(relay)
        log_event(logger, logging.INFO, "instance-heard", address=sender)


def _receive_own_kind(relay, sender, message):
    """Pass a message on to the part that it belongs to."""
    instance = relay.instance
    match message.kind:
        case MessageKind.STREAMS | MessageKind.STREAM_QUERY:
            receive_streams(instance.stream_watch, sender, message)
        case MessageKind.PACES:
            receive_paces(instance.pace_watch, sender, message)
        case MessageKind.CONFIGURATION:
            relay.reader_address = sender
            note_reader(instance.pace_watch, sender)
        case MessageKind.OUTAGE:
            _record_outage(relay, sender)


def _receive_page(relay, followed, sender, message):
    progress = followed.progress
    if progress.era is None or message.era < progress.era:
        return
    if message.era == progress.era and message.revision < (progress.revision or 0):
        return
    if message.era == progress.era:
        add_known(relay.instance.state.revisions, message.lease_revisions)
    _step_down_if_needed(relay, sender, message, progress)
    if is_usable_page(message, progress.era, progress.revision):
        _apply_page(relay, followed, sender, message)
    else:
        _schedule_catch_up(relay, followed, message.era, message.revision)
    _compare_revisions(relay, message)


def _receive_reports(relay, message):
    metrics = relay.instance.observer.metrics
    count_neighbour_message(metrics, message.kind, "received")
    if relay.instance.usage_watch is not None:
        receive_reports(relay.instance.usage_watch, message)


def _record_outage(relay, sender):
    if sender >= relay.neighbours.own_address:
        return
    now_s = asyncio.get_running_loop().time()
    if not is_outage_reported(relay.role, now_s):
        log_event(logger, logging.INFO, "store-outage-reported", sender=sender)
    relay.role.outage_reported_s = now_s


def _step_down_if_needed(relay, sender, message, progress):
    if must_step_down(
        relay.role,
        message,
        sender=sender,
        own_address=relay.neighbours.own_address,
        is_failing=progress.failures > 0,
    ):
        relay.role.is_reader = False
        log_event(logger, logging.INFO, "reader-role-left", to=sender)


def _apply_page(relay, followed, sender, message):
    now_s = read_boot_clock_s()
    update = SourceUpdate(
        page=Page(
            items=tuple(_make_item(followed.source, item) for item in message.items),
            revision=message.revision,
            store_time_s=message.store_time_s,
            changed_revision=message.changed_revision,
            era=message.era,
        ),
        sent_s=now_s,
        received_s=now_s,
        after_revision=message.after_revision,
        follows_outage=message.follows_outage,
        is_relayed=True,
        sender=sender,
    )
    ends_outage = followed.progress.failures > 0
    record_update(followed.progress, update)
    followed.apply(update)
    if ends_outage:
        _end_pauses(relay)


def _end_pauses(relay):
    for followed in relay.followed.values():
        followed.progress.retry_requested.set()
        followed.recheck.set()


def _make_item(source, item):
    if item.is_removed:
        return Item(key=item.key, value=None, is_removed=True)
    return source.make_item(item.key, item.content, item.revision)


def _compare_revisions(relay, message):
    """Catch up with sources of which the sender knows changes that are missing."""
    revisions = {
        MessageKind.UPSTREAMS: message.list_revision,
        MessageKind.CRASHES: message.crash_revision,
    }
    for kind, revision in revisions.items():
        followed = relay.followed[kind]
        if not is_known(followed.progress, message.era, revision):
            _schedule_catch_up(relay, followed, message.era, revision)


def is_known(progress: FollowProgress, era: int, revision: int) -> bool:
    """Return whether all changes up to a revision are known, or will be read anyway.

    :param progress: The progress in following a source.
    :param era: The era of the revision.
    :param revision: The revision.
    """
    if progress.revision is None or progress.era is None:
        return True
    return (progress.era, progress.revision) >= (era, revision)


def _schedule_catch_up(relay, followed, era, revision):
    delay_s = MIN_CATCH_UP_DELAY_S + CATCH_UP_SPREAD_S * random.random()
    asyncio.get_running_loop().call_later(
        delay_s, _catch_up, relay, followed, era, revision
    )


def _catch_up(relay, followed, era, revision):
    if is_known(followed.progress, era, revision) or followed.must_catch_up:
        return
    start_catch_up(relay, followed, era=era, newest=revision)
