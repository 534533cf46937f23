"""One interface to whoever keeps the account of a group: here or at a peer."""

from collections.abc import Callable
from dataclasses import dataclass

from jujubenotch.admission import WorkReport
from jujubenotch.capacity import home as home_accounts
from jujubenotch.capacity.home_model import Home
from jujubenotch.peers import (
    HeldSlot,
    Link,
    RequesterFrame,
    SlotRelease,
    SlotRequest,
    open_frame,
)


@dataclass(frozen=True, kw_only=True, eq=False)
class Account:
    """Where an instance gets the slots of some groups. Times are in seconds.

    :param home: The instance that keeps it; empty for the own share.
    :param link: The peer's link; ``None`` when the account is kept here.
    :param submit: Queues a request.
    :param withdraw: Takes back the request of a number, in a group.
    :param release: Gives back the slot of a number, in a group.
    :param hold: Tells all slots held of a group; comes first in each group.
    :param leave: Gives up all that is queued and held of a group.
    """

    home: str
    submit: Callable[[SlotRequest, float], None]
    withdraw: Callable[[str, int, float], None]
    release: Callable[[str, int, WorkReport, float], None]
    hold: Callable[[str, list[HeldSlot], float], None]
    leave: Callable[[str, float], None]
    link: Link | None = None


def make_local_account(home: Home, *, holder: str, name: str) -> Account:
    """Make the account that is kept on this instance.

    :param home: What keeps it.
    :param holder: This instance's name.
    :param name: The home's name, empty for the own share.
    :returns: The account.
    """

    def submit(entry, now_s):
        home_accounts.submit(home, holder, entry, now_s)

    def withdraw(group, number, now_s):
        home_accounts.withdraw(home, holder, number, now_s)

    def release(group, number, report, now_s):
        home_accounts.release(home, holder, number, report, now_s)

    def hold(group, held, now_s):
        home_accounts.hold(home, holder, group, held, now_s)

    def leave(group, now_s):
        home_accounts.leave(home, holder, group, now_s)

    return Account(
        home=name,
        submit=submit,
        withdraw=withdraw,
        release=release,
        hold=hold,
        leave=leave,
    )


def make_remote_account(link: Link) -> Account:
    """Make the account of one session with a peer.

    It is good for that session only; after its end nothing is sent any more.

    :param link: The link; attached.
    :returns: The account.
    """
    outbox = link.outbox

    def open_session_frame() -> RequesterFrame:
        return open_frame(outbox)

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

    def hold(group, held, now_s):
        open_session_frame().attachments[group] = list(held)

    def leave(group, now_s):
        frame = open_session_frame()
        frame.attachments.pop(group, None)
        frame.requests = [entry for entry in frame.requests if entry.group != group]
        frame.left_groups.append(group)

    return Account(
        home=link.name,
        link=link,
        submit=submit,
        withdraw=withdraw,
        release=release,
        hold=hold,
        leave=leave,
    )


def _drop_request(frame, number):
    """Take a request back that was not sent yet; the home never hears of it."""
    kept = [entry for entry in frame.requests if entry.number != number]
    is_dropped = len(kept) < len(frame.requests)
    frame.requests = kept
    return is_dropped


def _drop_held(frame, group, number):
    """Leave a slot out of a list not sent yet, which is read after releases."""
    held = frame.attachments.get(group)
    if held is not None:
        frame.attachments[group] = [slot for slot in held if slot.number != number]
