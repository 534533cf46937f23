"""Keeps the orders: what was sent, what is blocked, and what the list contradicts."""

from collections.abc import Mapping

from jujubenotch.scaling.kinds import LEAVING_S, LISTING_DELAY_S
from jujubenotch.scaling.model import (
    NEVER_S,
    Block,
    CapacityKind,
    ChangeReason,
    Order,
    OrderChange,
    OrderKey,
    Presence,
    ScalingState,
)

# An order for preemptible upstreams soon after a reclaim would be refused, or reclaimed
# as well.
RECLAIM_PAUSE_S = 30.0
# Where none were available they usually are again after some seconds.
UNAVAILABLE_PAUSE_S = 5.0
MAX_UNAVAILABLE_PAUSE_S = 60.0
# A shortfall lasts this long before the order is repeated, twice as long each time.
MIN_REPEAT_S = 8.0
MAX_REPEAT_S = 60.0
# A loss of this share at once is a reclaim also when no entry told it.
MASS_LOSS_SHARE = 0.5
MIN_MASS_LOSS = 2


def adopt_order(state: ScalingState, key: OrderKey, presence: Presence) -> None:
    """Take the listed upstreams for ordered, where no order is known.

    :param state: The state; changed in place.
    :param key: What the order is for.
    :param presence: The listed upstreams.
    """
    if key not in state.orders:
        state.orders[key] = Order(count=presence.ready, previous=presence.ready)


def record_presence(
    state: ScalingState, key: OrderKey, presence: Presence, now_s: float
) -> None:
    """Record since when the listed number has differed from the ordered one.

    :param state: The state; changed in place.
    :param key: What the order is for.
    :param presence: The listed upstreams.
    :param now_s: The present time, in seconds.
    """
    order = state.orders[key]
    if presence.ready == order.count:
        order.differs_s = None
        order.repeats = 0
    elif order.differs_s is None:
        order.differs_s = now_s


def find_reclaimed(
    state: ScalingState, key: OrderKey, presence: Presence, boot_s: float, now_s: float
) -> OrderChange | None:
    """Return the order that gives up the preemptible upstreams that were reclaimed.

    The platform's own replacement would be reclaimed again, so the order is lowered to
    what serves; standard ones are ordered in their place.

    :param state: The orders.
    :param key: What the order is for.
    :param presence: The listed upstreams.
    :param boot_s: The time until a new upstream serves, in seconds.
    :param now_s: The present time, in seconds.
    """
    order = state.orders[key]
    missing = order.count - presence.ready
    if key.kind is not CapacityKind.PREEMPTIBLE or missing <= 0:
        return None
    lowered_by = order.lowered_by if now_s - order.lowered_s < LEAVING_S else 0
    is_told = presence.leaving > lowered_by
    has_booted = now_s - order.raised_s > boot_s + LISTING_DELAY_S
    is_mass_loss = missing >= max(MIN_MASS_LOSS, MASS_LOSS_SHARE * order.count)
    if not is_told and not (has_booted and is_mass_loss):
        return None
    return OrderChange(
        key=key,
        count=presence.ready,
        before=order.count,
        reason=ChangeReason.RECLAIMED,
    )


def find_repeat(
    state: ScalingState, key: OrderKey, boot_s: float, now_s: float
) -> OrderChange | None:
    """Return the order again where the platform has not confirmed or not met it.

    The platform is taken to keep the ordered number, so a crashed upstream is never a
    reason to order less. A number that stays unmet is ordered anew, with growing pauses
    between the attempts.

    :param state: The orders.
    :param key: What the order is for.
    :param boot_s: The time until a new upstream serves, in seconds.
    :param now_s: The present time, in seconds.
    """
    order = state.orders[key]
    if not order.is_settled:
        reason = ChangeReason.UNANSWERED
    elif _is_overdue(order, boot_s, now_s) and not is_blocked(state, key, now_s):
        reason = ChangeReason.NOT_MET
    else:
        return None
    return OrderChange(key=key, count=order.count, before=order.count, reason=reason)


def _is_overdue(order, boot_s, now_s):
    if order.differs_s is None:
        return False
    repeat_pause_s = max(MIN_REPEAT_S, 2 * boot_s + LISTING_DELAY_S) * 2**order.repeats
    return now_s - order.differs_s >= min(repeat_pause_s, MAX_REPEAT_S)


def count_missing(
    state: ScalingState,
    service: str,
    data_centre: str,
    total: int,
    present: Mapping[OrderKey, Presence],
    boot_s: float,
    now_s: float,
) -> int:
    """Count the upstreams that a data centre fails to provide.

    :param state: The orders.
    :param service: The service's name.
    :param data_centre: The data centre's name.
    :param total: The upstreams that it should have.
    :param present: The listed upstreams.
    :param boot_s: The time until a new upstream serves, in seconds.
    :param now_s: The present time, in seconds.
    :returns: The number; 0 while the missing ones may still boot.
    """
    keys = [
        key
        for key in state.orders
        if (key.service, key.data_centre) == (service, data_centre)
    ]
    ready = sum(present.get(key, Presence()).ready for key in keys)
    is_failing = any(
        _is_overdue(state.orders[key], boot_s, now_s)
        or (key.kind is CapacityKind.STANDARD and is_blocked(state, key, now_s))
        for key in keys
    )
    return max(0, total - ready) if is_failing else 0


def confirm_order(state: ScalingState, key: OrderKey) -> None:
    """Record that the platform has executed an order.

    :param state: The state; changed in place.
    :param key: What the order is for.
    """
    order = state.orders[key]
    if order.count > order.previous:
        state.blocks.pop(key, None)
    order.is_settled = True
    order.previous = order.count


def cancel_order(order: Order) -> None:
    """Record that the platform has not executed an order, so the one before holds.

    :param order: The order; changed in place.
    """
    if order.previous < order.count:
        order.raised_s = NEVER_S
    else:
        order.lowered_by -= order.previous - order.count
    order.count = order.previous
    order.is_settled = True


def block_unavailable(state: ScalingState, key: OrderKey, now_s: float) -> float:
    """Order no more of a kind where none are available, longer each time.

    :param state: The state; changed in place.
    :param key: What was ordered.
    :param now_s: The present time, in seconds.
    :returns: The pause, in seconds.
    """
    block = state.blocks.get(key)
    pause_s = UNAVAILABLE_PAUSE_S
    if block is not None:
        pause_s = min(MAX_UNAVAILABLE_PAUSE_S, max(pause_s, 2 * block.pause_s))
    state.blocks[key] = Block(until_s=now_s + pause_s, pause_s=pause_s)
    return pause_s


def block_reclaimed(state: ScalingState, key: OrderKey, now_s: float) -> None:
    """Order no preemptible upstreams for some time where they were reclaimed.

    :param state: The state; changed in place.
    :param key: What was reclaimed.
    :param now_s: The present time, in seconds.
    """
    state.blocks[key] = Block(until_s=now_s + RECLAIM_PAUSE_S, pause_s=RECLAIM_PAUSE_S)


def is_blocked(state: ScalingState, key: OrderKey, now_s: float) -> bool:
    """Return whether a kind is not ordered in a data centre now.

    :param state: The state.
    :param key: What the order is for.
    :param now_s: The present time, in seconds.
    """
    block = state.blocks.get(key)
    return block is not None and now_s < block.until_s
