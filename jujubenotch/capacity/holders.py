"""Attaches, detaches and expires the instances that hold slots of local accounts."""

from jujubenotch.capacity.home import drop_entries, drop_waiting, list_entries
from jujubenotch.capacity.home_model import Holder, HolderCallbacks, Home

DISCONNECTED_HOLDER_TIMEOUT_S = 5.0


def attach_holder(
    home: Home, name: str, incarnation: int, callbacks: HolderCallbacks, now_s: float
) -> None:
    """Register a holder, or a new session of a known holder.

    Slots of an earlier incarnation are freed at once. Requests that the same
    incarnation had queued are dropped, since the holder sends them again.

    :param home: The accounts kept here.
    :param name: The holder's name.
    :param incarnation: The holder's incarnation.
    :param callbacks: The callbacks that answer the holder.
    :param now_s: The current monotonic time, in seconds.
    """
    known = home.holders.get(name)
    if known is not None and known.incarnation != incarnation:
        _drop_holder(home, known, now_s)
        known = None
    if known is None:
        home.holders[name] = Holder(
            name=name, incarnation=incarnation, callbacks=callbacks
        )
        return
    known.callbacks = callbacks
    known.disconnected_s = None
    drop_waiting(home, known, now_s)
    _clear_attachments(home, name)


def detach_holder(
    home: Home, name: str, callbacks: HolderCallbacks, now_s: float
) -> None:
    """Record the end of a holder's session and drop its queued requests.

    Its slots are kept until :data:`DISCONNECTED_HOLDER_TIMEOUT_S` has passed,
    since the work may still run and the holder may reconnect.

    :param home: The accounts kept here.
    :param name: The holder's name.
    :param callbacks: The callbacks of the session that ended. The call is ignored
        if a later session has replaced it.
    :param now_s: The current monotonic time, in seconds.
    """
    holder = home.holders.get(name)
    if holder is None or holder.callbacks is not callbacks:
        return
    holder.disconnected_s = now_s
    drop_waiting(home, holder, now_s)
    _clear_attachments(home, name)


def drop_expired_holders(home: Home, now_s: float) -> None:
    """Free the slots of holders that have been disconnected for too long.

    Slots of holders that switched to another account that long ago are freed too.

    :param home: The accounts kept here.
    :param now_s: The current monotonic time, in seconds.
    """
    for holder in tuple(home.holders.values()):
        if (
            holder.disconnected_s is not None
            and now_s - holder.disconnected_s >= DISCONNECTED_HOLDER_TIMEOUT_S
        ):
            _drop_holder(home, holder, now_s)
    for name, group in home.groups.items():
        for holder_name, left_s in tuple(group.left_s.items()):
            if now_s - left_s >= DISCONNECTED_HOLDER_TIMEOUT_S:
                del group.left_s[holder_name]
                _drop_holder_group(home, holder_name, name, now_s)


def _drop_holder(home, holder, now_s):
    drop_entries(home, tuple(holder.entries.values()), now_s)
    _clear_attachments(home, holder.name)
    del home.holders[holder.name]


def _drop_holder_group(home, name, group, now_s):
    holder = home.holders.get(name)
    if holder is not None:
        drop_entries(home, list_entries(holder, group), now_s)


def _clear_attachments(home, name):
    for group in home.groups.values():
        group.attached.discard(name)
