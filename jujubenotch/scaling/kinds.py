"""Divides the upstreams of each data centre between the two kinds."""

import math
from collections.abc import Collection, Iterable, Iterator, Mapping
from copy import copy
from dataclasses import dataclass, replace

from jujubenotch.forwarding import ServiceScaling
from jujubenotch.scaling.model import (
    CapacityKind,
    ChangeReason,
    Order,
    OrderChange,
    OrderKey,
    Presence,
)

# Standard upstreams kept in each data centre, for preemptible ones may be reclaimed in
# several data centres within one boot. At a relative price of 0.22 the fleet then costs
# 0.42 of one without preemptible ones.
STANDARD_SHARE = 0.25
# What the loss of all preemptible upstreams of one data centre must leave. Urgent work
# is assumed to be at most 0.6 of the demand, which fills 0.9 of the upstreams.
SURVIVING_SHARE = 0.54
# Time from the order of an upstream until the list shows it, beyond its boot.
LISTING_DELAY_S = 2.0
# A leaving upstream stays listed until its last stream has ended.
LEAVING_S = 15.0
# The platform replaces a single crashed upstream within its boot; more missing ones
# are replaced by orders of the other kind at once.
CRASHED_SHARE = 0.1
# Standard upstreams are replaced by steps of this share of a data centre, so that the
# streams that a leaving upstream cuts don't end all at the same time.
REPLACEMENT_STEP_SHARE = 0.15
REPLACEMENT_PAUSE_S = 3.0


@dataclass(frozen=True, kw_only=True)
class ServiceView:
    """What the kinds of one service are decided from.

    :param totals: Upstreams of both kinds to have in each data centre.
    :param orders: The orders in force.
    :param present: The listed upstreams.
    :param blocked: The kinds that can't be ordered now.
    :param may_replace: Whether standard upstreams may leave as preemptible ones serve.
    :param may_lower: Whether preemptible upstreams may leave as demand has fallen.
    :param is_idle: Whether no caller has come yet, so that no stream can be cut.
    :param surplus: How many upstreams serve beyond what the demand needs.
    """

    service: str
    scaling: ServiceScaling
    totals: Mapping[str, int]
    orders: Mapping[OrderKey, Order]
    present: Mapping[OrderKey, Presence]
    blocked: Collection[OrderKey] = ()
    may_replace: bool = False
    may_lower: bool = False
    is_idle: bool = False
    surplus: int = 0


def plan_kinds(view: ServiceView, now_s: float) -> list[OrderChange]:
    """Decide which orders of a service change.

    Both kinds together never exceed the limit of a data centre, also while an order is
    not settled: an increase that needs room waits until the decrease is confirmed.

    :param view: The service's totals, orders and upstreams.
    :param now_s: The present time, in seconds.
    """
    changes = []
    for data_centre in sorted(view.totals):
        preemptible = list(_plan_preemptible(view, data_centre, now_s))
        orders = apply_to_copy(view.orders, preemptible, now_s)
        view = replace(view, orders=orders)
        standard = list(_plan_standard(view, data_centre, now_s))
        lowered = sum(max(0, change.before - change.count) for change in standard)
        view = replace(view, surplus=view.surplus - lowered)
        changes += [*preemptible, *standard]
    return changes


def apply_to_copy(
    orders: Mapping[OrderKey, Order], changes: Iterable[OrderChange], now_s: float
) -> dict[OrderKey, Order]:
    """Return the orders as they are once changes have been sent.

    :param orders: The orders in force; not changed.
    :param changes: The changes.
    :param now_s: The present time, in seconds.
    """
    orders = dict(orders)
    for change in changes:
        orders[change.key] = copy(orders[change.key])
        begin_order(orders[change.key], change, now_s)
    return orders


def begin_order(order: Order, change: OrderChange, now_s: float) -> None:
    """Record that an order is being sent; it is unsettled until it is confirmed.

    :param order: The order; changed in place.
    :param change: What is sent.
    :param now_s: The present time, in seconds.
    """
    if change.reason is ChangeReason.NOT_MET:
        order.repeats += 1
    if order.is_settled:
        order.previous = order.count
    if change.count > order.count:
        order.raised_s = now_s
    elif change.count < order.count:
        if now_s - order.lowered_s >= LEAVING_S:
            order.lowered_by = 0
        order.lowered_by += order.count - change.count
        order.lowered_s = now_s
    if change.count != order.count:
        order.differs_s = None
        order.repeats = 0
    order.count = change.count
    order.is_settled = False


def make_keys(service: str, data_centre: str) -> tuple[OrderKey, OrderKey]:
    """Return the keys of the standard and the preemptible upstreams.

    :param service: The service's name.
    :param data_centre: The data centre's name.
    """
    standard, preemptible = (
        OrderKey(service=service, data_centre=data_centre, kind=kind)
        for kind in (CapacityKind.STANDARD, CapacityKind.PREEMPTIBLE)
    )
    return standard, preemptible


def find_standard_floor(total: int) -> int:
    """Return how many of a data centre's upstreams stay standard ones.

    :param total: The data centre's upstreams of both kinds.
    """
    return min(total, max(1, math.ceil(STANDARD_SHARE * total)))


def find_preemptible_target(view: ServiceView, data_centre: str) -> int:
    """Return how many preemptible upstreams a data centre should have.

    :param view: The service's totals and prices.
    :param data_centre: The data centre's name.
    """
    price = view.scaling.preemptible_price
    if price is None or price >= 1:
        return 0
    total, everywhere = view.totals[data_centre], sum(view.totals.values())
    bearable = everywhere - math.ceil(SURVIVING_SHARE * everywhere)
    return max(0, min(total - find_standard_floor(total), bearable))


def count_expected(
    order: Order, presence: Presence, boot_s: float, now_s: float
) -> int:
    """Count the upstreams of an order that serve or can be expected to serve soon.

    :param order: The order.
    :param presence: The listed upstreams.
    :param boot_s: The time until a new upstream serves, in seconds.
    :param now_s: The present time, in seconds.
    """
    missing = order.count - presence.ready
    if missing <= 0:
        return order.count
    boot_timeout_s = boot_s + LISTING_DELAY_S
    if now_s - order.raised_s <= boot_timeout_s:
        return order.count
    is_recent = (
        order.differs_s is not None and now_s - order.differs_s <= boot_timeout_s
    )
    if is_recent and missing <= max(1, CRASHED_SHARE * order.count):
        return order.count
    return presence.ready


def _plan_preemptible(view, data_centre, now_s) -> Iterator[OrderChange]:
    standard_key, key = make_keys(view.service, data_centre)
    order = view.orders[key]
    target = find_preemptible_target(view, data_centre)
    if target > order.count:
        count = min(target, _find_room(view, standard_key))
        if count > order.count and key not in view.blocked:
            yield _make_change(key, order, count, ChangeReason.DEMAND)
    elif target < order.count and view.may_lower:
        ready = view.present.get(standard_key, Presence()).ready
        ready = min(ready, view.orders[standard_key].count)
        if ready + target >= view.totals[data_centre]:
            yield _make_change(key, order, target, ChangeReason.DEMAND)


def _plan_standard(view, data_centre, now_s) -> Iterator[OrderChange]:
    key, preemptible_key = make_keys(view.service, data_centre)
    order, preemptible = view.orders[key], view.orders[preemptible_key]
    presence = view.present.get(preemptible_key, Presence())
    total = view.totals[data_centre]
    floor = find_standard_floor(total)
    expected = count_expected(preemptible, presence, view.scaling.boot_s, now_s)
    required = max(floor, total - expected)
    if required > order.count:
        count = min(required, _find_room(view, preemptible_key))
        if count > order.count and key not in view.blocked:
            yield _make_change(key, order, count, ChangeReason.DEMAND)
        return
    # Only what is listed as ready replaces a standard upstream.
    serving = min(presence.ready, preemptible.count)
    sufficient = max(floor, total - serving)
    if sufficient < order.count and view.may_replace:
        count = _step_down(view, order, sufficient, total, now_s)
        if count < order.count:
            yield _make_change(key, order, count, ChangeReason.REPLACEMENT)
        return
    target = find_preemptible_target(view, data_centre)
    is_full = _find_room(view, key) <= preemptible.count < target
    if is_full and view.surplus > 0 and preemptible_key not in view.blocked:
        # The limit leaves no room for preemptible ones, but not all are needed.
        step = min(view.surplus, _choose_step(total))
        count = max(floor, order.count - step)
        yield _make_change(key, order, count, ChangeReason.REPLACEMENT)


def _step_down(view, order, sufficient, total, now_s):
    if view.is_idle:
        return sufficient
    if now_s - order.lowered_s < REPLACEMENT_PAUSE_S:
        return order.count
    return max(sufficient, order.count - _choose_step(total))


def _choose_step(total):
    return max(1, math.floor(REPLACEMENT_STEP_SHARE * total))


def _find_room(view, other_key):
    """Return how many of one kind the limit allows beside the other kind."""
    other = view.orders[other_key]
    held = other.count if other.is_settled else max(other.count, other.previous)
    return max(0, view.scaling.max_upstreams - held)


def _make_change(key, order, count, reason):
    return OrderChange(key=key, count=count, before=order.count, reason=reason)
