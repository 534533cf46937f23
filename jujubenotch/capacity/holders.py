"""Attaches, detaches and expires the instances that hold slots granted here."""

from jujubenotch.capacity.coordinator import drop_entries, drop_waiting, list_entries
from jujubenotch.capacity.coordinator_model import Coordinator, Holder, HolderCallbacks

DISCONNECTED_HOLDER_TIMEOUT_S = 5.0


def attach_holder(
    coordinator: Coordinator,
    name: str,
    incarnation: int,
    callbacks: HolderCallbacks,
    now_s: float,
) -> None:
    """Register a holder, or a new session of a known holder.

    Slots of an earlier incarnation are freed at once. Requests that the same
    incarnation had queued are dropped, since the holder sends them again.

    :param coordinator: The slot allocations kept here.
    :param name: The holder's name.
    :param incarnation: The holder's incarnation.
    :param callbacks: The callbacks that answer the holder.
    :param now_s: The current monotonic time, in seconds.
    """
    known = coordinator.holders.get(name)
    if known is not None and known.incarnation != incarnation:
        _drop_holder(coordinator, known, now_s)
        known = None
    if known is None:
        coordinator.holders[name] = Holder(
            name=name, incarnation=incarnation, callbacks=callbacks
        )
        return
    known.callbacks = callbacks
    known.disconnected_s = None
    drop_waiting(coordinator, known, now_s)
    _clear_attachments(coordinator, name)


def detach_holder(
    coordinator: Coordinator, name: str, callbacks: HolderCallbacks, now_s: float
) -> None:
    """Record the end of a holder's session and drop its queued requests.

    Its slots are kept until :data:`DISCONNECTED_HOLDER_TIMEOUT_S` has passed,
    since the work may still run and the holder may reconnect.

    :param coordinator: The slot allocations kept here.
    :param name: The holder's name.
    :param callbacks: The callbacks of the session that ended. The call is ignored
        if a later session has replaced it.
    :param now_s: The current monotonic time, in seconds.
    """
    holder = coordinator.holders.get(name)
    if holder is None or holder.callbacks is not callbacks:
        return
    holder.disconnected_s = now_s
    drop_waiting(coordinator, holder, now_s)
    _clear_attachments(coordinator, name)


def drop_expired_holders(coordinator: Coordinator, now_s: float) -> None:
    """Free the slots of holders that have been disconnected for too long.

    Slots of holders that switched to another slot source that long ago are freed too.

    :param coordinator: The slot allocations kept here.
    :param now_s: The current monotonic time, in seconds.
    """
    for holder in tuple(coordinator.holders.values()):
        if (
            holder.disconnected_s is not None
            and now_s - holder.disconnected_s >= DISCONNECTED_HOLDER_TIMEOUT_S
        ):
            _drop_holder(coordinator, holder, now_s)
    for name, group in coordinator.groups.items():
        for holder_name, left_s in tuple(group.left_s.items()):
            if now_s - left_s >= DISCONNECTED_HOLDER_TIMEOUT_S:
                del group.left_s[holder_name]
                _drop_holder_group(coordinator, holder_name, name, now_s)


def _drop_holder(coordinator, holder, now_s):
    drop_entries(coordinator, tuple(holder.entries.values()), now_s)
    _clear_attachments(coordinator, holder.name)
    del coordinator.holders[holder.name]


def _drop_holder_group(coordinator, name, group, now_s):
    holder = coordinator.holders.get(name)
    if holder is not None:
        drop_entries(coordinator, list_entries(holder, group), now_s)


def _clear_attachments(coordinator, name):
    for group in coordinator.groups.values():
        group.attached.discard(name)
