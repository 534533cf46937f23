"""Sends the origins of streams to other instances, and receives theirs."""

import asyncio

from jujubenotch.daemon.forward_streams import (
    LIST_AGE_S,
    StreamWatch,
    add_versions,
    find_window_s,
    list_instances,
    save_later,
    wait_for_instances,
)
from jujubenotch.forwarding import read_boot_clock_s
from jujubenotch.neighbours import Message, MessageKind, StreamEntry, VersionEntry
from jujubenotch.streams import (
    StreamOrigin,
    choose_keepers,
    choose_owners,
    find_origin,
    find_recent_versions,
    remember_origin,
)

# Origins are sent together; a caller needs longer to come back to another instance.
FLUSH_DELAY_S = 0.05
# About 3 KB compressed, three datagrams.
MAX_ENTRIES = 100


async def send_origins(watch: StreamWatch) -> None:
    """Send the origins of streams to other instances; runs until it is cancelled.

    :param watch: The state of the watch; changed in place.
    """
    while True:
        await watch.must_send.wait()
        await wait_for_instances(watch, LIST_AGE_S)
        await asyncio.sleep(FLUSH_DELAY_S)
        watch.must_send.clear()
        request_ids, watch.unsent = watch.unsent, []
        by_owner = {}
        instances = list_instances(watch)
        keepers = choose_keepers(instances)
        for request_id in request_ids:
            for owner in sorted({*choose_owners(request_id, instances), *keepers}):
                by_owner.setdefault(owner, []).append(request_id)
        by_owner.pop(watch.neighbours.own_address, None)
        for owner, owned in by_owner.items():
            for start in range(0, len(owned), MAX_ENTRIES):
                _send_entries(watch, owned[start : start + MAX_ENTRIES], owner)


def _send_entries(watch, request_ids, address, unknown=(), versions=None):
    now_s = read_boot_clock_s()
    known = {
        each: find_origin(watch.origins, each, now_s=now_s) for each in request_ids
    }
    entries = tuple(
        StreamEntry(
            request_id=request_id,
            service=found.origin.service,
            software_version=found.origin.software_version,
        )
        for request_id, found in known.items()
        if found is not None
    )
    message = Message(
        kind=MessageKind.STREAMS,
        streams=entries,
        request_ids=tuple(unknown),
        versions=versions,
    )
    watch.send(message, (address,))


def receive_streams(watch: StreamWatch, sender: str, message: Message) -> None:
    """Take up the origins that another instance tells, or answer its question.

    :param watch: The state of the watch; changed in place.
    :param sender: The address of the other instance.
    :param message: The message.
    """
    now_s = read_boot_clock_s()
    if message.kind is MessageKind.STREAM_QUERY:
        asked = message.request_ids[:MAX_ENTRIES]
        unknown = [
            each
            for each in asked
            if find_origin(watch.origins, each, now_s=now_s) is None
        ]
        versions = _list_versions(watch, now_s) if message.wants_versions else None
        _send_entries(watch, asked, sender, unknown, versions)
        return
    for entry in message.streams:
        origin = StreamOrigin(
            service=entry.service, software_version=entry.software_version
        )
        is_new = remember_origin(watch.origins, entry.request_id, origin, now_s=now_s)
        if is_new:
            save_later(watch, entry.request_id, origin)
        question = watch.questions.get(entry.request_id)
        if question is not None:
            question.is_answered.set()
    for request_id in message.request_ids:
        _end_wait(watch.questions.get(request_id), sender)
    if message.versions is not None:
        _take_versions(watch, sender, message.versions)


def _list_versions(watch, now_s):
    history = watch.history
    window_s = find_window_s(watch.state)
    return tuple(
        VersionEntry(service=service, software_version=version)
        for service in sorted(history.listed)
        for version in find_recent_versions(
            history, service, window_s=window_s, now_s=now_s
        )
    )


def _take_versions(watch, sender, versions):
    """Take up the versions that another instance knows, if it was asked for them."""
    question = watch.list_check.question
    if question is None or sender not in question.pending:
        return
    add_versions(watch, ((each.service, each.software_version) for each in versions))
    _end_wait(question, sender)


def _end_wait(question, sender):
    """Record that an instance has answered; the last answer ends the wait."""
    if question is None:
        return
    question.pending.discard(sender)
    if not question.pending:
        question.is_answered.set()
