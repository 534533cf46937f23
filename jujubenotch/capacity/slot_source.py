"""The sources of a group's slots: this instance itself or a peer."""

from collections.abc import Callable
from dataclasses import dataclass

from jujubenotch.admission import WorkReport
from jujubenotch.capacity import coordinator as coordinator_module
from jujubenotch.capacity.coordinator_model import Coordinator
from jujubenotch.peers import (
    HeldSlot,
    OutgoingLink,
    RequesterFrame,
    SlotRelease,
    SlotRequest,
    get_pending_frame,
)


@dataclass(frozen=True, kw_only=True, eq=False)
class SlotSource:
    """The source of the slots of one or more groups. Times are in seconds.

    :param coordinator: The name of the instance that grants the slots; empty for the
        local fallback share.
    :param link: The link to the peer; ``None`` when this instance grants
        the slots.
    :param submit: Queues a request.
    :param withdraw: Withdraws the request with the given number in a group.
    :param release: Releases the slot with the given number in a group.
    :param report_held: Reports all slots that the instance holds in a group.
        It is called first when a group switches to this source.
    :param leave_group: Drops the queued requests of a group. It is called when the
        group switches to another source; held slots stay counted for a limited
        time.
    """

    coordinator: str
    submit: Callable[[SlotRequest, float], None]
    withdraw: Callable[[str, int, float], None]
    release: Callable[[str, int, WorkReport, float], None]
    report_held: Callable[[str, list[HeldSlot], float], None]
    leave_group: Callable[[str, float], None]
    link: OutgoingLink | None = None


def make_local_source(
    coordinator: Coordinator, *, holder: str, name: str
) -> SlotSource:
    """Make the source of the slots that this instance grants itself.

    :param coordinator: The slot allocations kept here.
    :param holder: This instance's name.
    :param name: The coordinator's name; empty for the fallback share.
    :returns: The slot source.
    """

    def submit(entry, now_s):
        coordinator_module.submit(coordinator, holder, entry, now_s)

    def withdraw(group, number, now_s):
        coordinator_module.withdraw(coordinator, holder, number, now_s)

    def release(group, number, report, now_s):
        coordinator_module.release(coordinator, holder, number, report, now_s)

    def report_held(group, held, now_s):
        coordinator_module.reconcile_held(coordinator, holder, group, held, now_s)

    def leave_group(group, now_s):
        coordinator_module.leave_group(coordinator, holder, group, now_s)

    return SlotSource(
        coordinator=name,
        submit=submit,
        withdraw=withdraw,
        release=release,
        report_held=report_held,
        leave_group=leave_group,
    )


def make_remote_source(link: OutgoingLink) -> SlotSource:
    """Make the source of the slots that a peer grants, for one session.

    It is valid only for the link's current session. Nothing is sent through it
    after that session has ended.

    :param link: The link to the peer, with an open session.
    :returns: The slot source.
    """
    outbox = link.outbox

    def open_session_frame() -> RequesterFrame:
        return get_pending_frame(outbox)

    def submit(entry, now_s):
        open_session_frame().requests.append(entry)

    def withdraw(group, number, now_s):
        frame = open_session_frame()
        if not _drop_request(frame, number):
            frame.withdrawn.append(number)

    def release(group, number, report, now_s):
        frame = open_session_frame()
        _drop_held(frame, group, number)
        frame.releases.append(SlotRelease(number=number, report=report))

    def report_held(group, held, now_s):
        open_session_frame().attachments[group] = list(held)

    def leave_group(group, now_s):
        frame = open_session_frame()
        frame.attachments.pop(group, None)
        frame.requests = [entry for entry in frame.requests if entry.group != group]
        frame.left_groups.append(group)

    return SlotSource(
        coordinator=link.name,
        link=link,
        submit=submit,
        withdraw=withdraw,
        release=release,
        report_held=report_held,
        leave_group=leave_group,
    )


def _drop_request(frame, number):
    """Remove a request from the unsent frame; return whether it was there.

    If it was there, the coordinator needs no message about it.
    """
    kept = [entry for entry in frame.requests if entry.number != number]
    is_dropped = len(kept) < len(frame.requests)
    frame.requests = kept
    return is_dropped


def _drop_held(frame, group, number):
    """Remove a slot from the unsent list of held slots.

    The coordinator applies releases before that list, so the list would otherwise
    restore the slot that was just released.
    """
    held = frame.attachments.get(group)
    if held is not None:
        frame.attachments[group] = [slot for slot in held if slot.number != number]
