"""Decides the orders of one service from its list, its demand and earlier orders."""

import math
from collections.abc import Collection, Mapping

from jujubenotch.forwarding import Service
from jujubenotch.scaling.demand import DemandDoubt, find_doubt, find_needed_slots
from jujubenotch.scaling.kinds import (
    ServiceView,
    apply_to_copy,
    make_keys,
    plan_kinds,
)
from jujubenotch.scaling.model import (
    ChangeReason,
    DemandHistory,
    OrderChange,
    OrderKey,
    Presence,
    ScalingState,
    ServicePlan,
)
from jujubenotch.scaling.orders import (
    adopt_order,
    count_missing,
    find_reclaimed,
    find_repeat,
    is_blocked,
    record_presence,
)
from jujubenotch.scaling.total import clamp_totals, update_totals

REPLACEABLE = frozenset({None, DemandDoubt.YOUNG, DemandDoubt.PARTIAL})


def plan_service(
    state: ScalingState,
    service: Service,
    present: Mapping[OrderKey, Presence],
    slots: float,
    now_s: float,
    *,
    places: Collection[str] = (),
) -> list[OrderChange]:
    """Decide the orders of a service, the most pressing ones first.

    :param state: The orders and the demand; what has been observed is recorded.
    :param service: The service, with its limits.
    :param present: The listed upstreams.
    :param slots: The slots of one upstream.
    :param now_s: The present time, in seconds.
    :param places: The data centres with instances.
    """
    keys = _adopt(state, service, present)
    plan = state.plans[service.name]
    history = state.histories.setdefault(service.name, DemandHistory())
    boot_s = service.scaling.boot_s
    for key in keys:
        record_presence(state, key, present.get(key, Presence()), now_s)
    plan.doubt = doubt = find_doubt(history, now_s, places)
    needed_slots = find_needed_slots(history, boot_s, now_s)
    update_totals(
        plan,
        service.scaling,
        None if needed_slots is None else math.ceil(needed_slots / slots),
        missing={
            name: count_missing(
                state, service.name, name, total, present, boot_s, now_s
            )
            for name, total in plan.totals.items()
        },
        may_lower=doubt is None,
        now_s=now_s,
    )
    reclaimed = [
        find_reclaimed(state, key, present.get(key, Presence()), boot_s, now_s)
        for key in keys
    ]
    reclaimed = {change.key: change for change in reclaimed if change is not None}
    is_idle = not history.has_arrivals and not state.is_restored
    view = ServiceView(
        service=service.name,
        scaling=service.scaling,
        totals=plan.totals,
        orders=apply_to_copy(state.orders, reclaimed.values(), now_s),
        present=present,
        blocked=reclaimed.keys()
        | {key for key in keys if is_blocked(state, key, now_s)},
        may_replace=is_idle or doubt in REPLACEABLE,
        may_lower=doubt is None,
        is_idle=is_idle,
        surplus=_count_surplus(plan, present, is_idle=is_idle, doubt=doubt),
    )
    repeats = [find_repeat(state, key, boot_s, now_s) for key in keys]
    changes = {change.key: change for change in repeats if change is not None}
    changes |= {change.key: change for change in plan_kinds(view, now_s)}
    changes |= reclaimed
    return sorted(changes.values(), key=_rank)


def _adopt(state, service, present):
    """Complete the orders and the plan of a service from the list of upstreams."""
    listed = {key.data_centre for key in present}
    known = {key.data_centre for key in state.orders if key.service == service.name}
    names = listed | known | service.scaling.data_centre_prices.keys()
    keys = [key for name in sorted(names) for key in make_keys(service.name, name)]
    for key in keys:
        adopt_order(state, key, present.get(key, Presence()))
    plan = state.plans.setdefault(service.name, ServicePlan(needed=0, totals={}))
    for name in sorted(names - plan.totals.keys()):
        total = sum(state.orders[key].count for key in make_keys(service.name, name))
        plan.totals[name] = total
        plan.needed += total
    clamp_totals(plan, service.scaling)
    return keys


def _count_surplus(plan, present, *, is_idle, doubt):
    if is_idle:
        return sum(plan.totals.values())
    if doubt is not None:
        return 0
    surplus = sum(each.ready for each in present.values()) - plan.needed
    # The utilisation aimed at bears that one is replaced at a time.
    return surplus + 1 if surplus >= 0 else 0


def _rank(change):
    if change.reason is ChangeReason.RECLAIMED:
        return 0
    if change.reason is ChangeReason.UNANSWERED:
        return 1
    if change.count > change.before:
        return 2
    return 3 if change.reason is ChangeReason.NOT_MET else 4
