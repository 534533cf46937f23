"""Stores orders of upstreams and sends them to the platform's API."""

import logging
import random
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from jujubenotch.daemon.forward_leases import (
    LeaseWatch,
    find_call_timeout_s,
    find_token,
    refresh_token,
    write_records,
)
from jujubenotch.daemon.forward_state import ForwardState
from jujubenotch.forwarding import read_boot_clock_s
from jujubenotch.leases import ApiResult, UpstreamOrder
from jujubenotch.logs import log_event
from jujubenotch.metrics import Metrics
from jujubenotch.scaling import (
    CallPacing,
    CapacityKind,
    ChangeReason,
    OrderChange,
    ScalingState,
    begin_order,
    block_reclaimed,
    block_unavailable,
    cancel_order,
    confirm_order,
    encode_orders,
    pause_calls,
    record_call,
    record_success,
)
from jujubenotch.usage import ServiceDemand

logger = logging.getLogger(__name__)

# A call must end before the lease does.
CALL_TIMEOUT_S = 1.0
MIN_CALL_TIMEOUT_S = 0.1
NOT_EXECUTED = frozenset({ApiResult.LIMITED, ApiResult.NOT_DONE})
RECORD_KEY = "orders"

ReadDemand = Callable[[float], Mapping[tuple[str, str], ServiceDemand]]


@dataclass(kw_only=True)
class ScalingWatch:
    """The state of ordering upstreams.

    :param read_demand: Returns the demand by service and data centre at a time of the
        boot clock.
    :param max_store_age_s: The largest age of what is known from the store.
    :param data_centres: The data centres with instances.
    :param read_clock_s: Reads the clock that counts suspended time, in seconds.
    :param is_loaded: Whether the orders of the present tenure have been taken up.
    :param token: The token under which they were.
    :param needs_fresh_token: Whether a call without a response may still be executed.
    :param hold: Why nothing is ordered, for the log; empty while orders may be sent.
    :param coming: The slots that are coming, and when the first serve, by service.
    :param doubts: Why the demand for a service can't be relied on, for the log; absent
        while it can.
    :param era: The last known era of the store.
    :param era_changed_s: When it changed, in seconds.
    :param listed: The largest number of listed upstreams that was seen while nothing
        had been ordered.
    :param grown_s: When that number last grew, in seconds.
    """

    state: ForwardState
    leases: LeaseWatch
    metrics: Metrics
    read_demand: ReadDemand
    pacing: CallPacing
    max_store_age_s: float
    data_centres: Collection[str] = ()
    read_clock_s: Callable[[], float] = read_boot_clock_s
    draw: Callable[[], float] = random.random
    orders: ScalingState = field(default_factory=ScalingState)
    is_loaded: bool = False
    token: int | None = None
    needs_fresh_token: bool = False
    hold: str = ""
    coming: dict[str, tuple[float, float]] = field(default_factory=dict)
    doubts: dict[str, str] = field(default_factory=dict)
    era: int | None = None
    era_changed_s: float = float("-inf")
    listed: int = 0
    grown_s: float = float("-inf")


async def send_orders(watch: ScalingWatch, changes: list[OrderChange]) -> None:
    """Store the orders, and send those that change.

    :param watch: The state; changed in place.
    :param changes: The changes, the most pressing ones first.
    """
    if watch.needs_fresh_token and not await _take_fresh_token(watch):
        return
    if await _store(watch, changes):
        await _send_all(watch, changes)


async def _take_fresh_token(watch):
    """Take a token that makes earlier calls stale; return whether it was confirmed."""
    token = await refresh_token(watch.leases)
    if token is None:
        return False
    watch.token = token
    watch.needs_fresh_token = False
    return True


async def _store(watch, changes):
    """Store the orders before they are sent; return whether that was confirmed."""
    content = encode_orders(watch.orders, changes, watch.era)
    if content == watch.leases.records.get(RECORD_KEY):
        return True
    if await write_records(watch.leases, {RECORD_KEY: content}):
        return True
    pause_s = pause_calls(watch.pacing, watch.draw(), watch.read_clock_s())
    log_event(
        logger,
        logging.WARNING,
        "orders-not-stored",
        changes=len(changes),
        pause_s=round(pause_s, 3),
    )
    return False


async def _send_all(watch, changes):
    for change in changes:
        now_s = watch.read_clock_s()
        token = find_token(watch.leases, now_s)
        timeout_s = min(CALL_TIMEOUT_S, find_call_timeout_s(watch.leases, now_s))
        # A token that another tenure took shows that other orders may have been sent.
        if token is None or token != watch.token or timeout_s < MIN_CALL_TIMEOUT_S:
            return
        was_settled = watch.orders.orders[change.key].is_settled
        result = await _send(watch, change, token, timeout_s, now_s)
        if not await _record_result(watch, change, result, was_settled=was_settled):
            return


async def _send(watch, change, token, timeout_s, now_s):
    key = change.key
    begin_order(watch.orders.orders[key], change, now_s)
    if change.reason is ChangeReason.RECLAIMED:
        block_reclaimed(watch.orders, key, now_s)
    record_call(watch.pacing)
    result = await watch.leases.api.order_upstreams(
        UpstreamOrder(
            service=key.service,
            data_centre=key.data_centre,
            count=change.count,
            is_preemptible=key.kind is CapacityKind.PREEMPTIBLE,
        ),
        watch.leases.name,
        token,
        timeout_s,
    )
    log_event(
        logger,
        logging.INFO if result is ApiResult.DONE else logging.WARNING,
        "upstreams-ordered",
        service=key.service,
        data_centre=key.data_centre,
        kind=key.kind,
        count=change.count,
        before=change.before,
        reason=change.reason,
        needed=watch.orders.plans[key.service].needed,
        result=result,
        token=token,
        took_s=round(watch.read_clock_s() - now_s, 3),
    )
    return result


async def _record_result(watch, change, result, *, was_settled):
    """Record the result of a call; return whether the next call may follow it."""
    order = watch.orders.orders[change.key]
    if result is ApiResult.DONE:
        confirm_order(watch.orders, change.key)
        record_success(watch.pacing)
        return True
    if result is ApiResult.CONFLICT:
        return await _handle_conflict(watch, change, order)
    if result in NOT_EXECUTED:
        # An earlier call for the same order may have been executed.
        if was_settled:
            cancel_order(order)
    else:
        watch.needs_fresh_token = True
    pause_calls(watch.pacing, watch.draw(), watch.read_clock_s())
    return False


async def _handle_conflict(watch, change, order):
    """Find out by a fresh token whether a refusal concerns the token or the order."""
    if not await _take_fresh_token(watch):
        return False
    if change.count < order.previous:
        # Fewer are always available, so the old token was refused.
        pause_calls(watch.pacing, watch.draw(), watch.read_clock_s())
        return False
    cancel_order(order)
    pause_s = block_unavailable(watch.orders, change.key, watch.read_clock_s())
    log_event(
        logger,
        logging.WARNING,
        "upstreams-unavailable",
        service=change.key.service,
        data_centre=change.key.data_centre,
        kind=change.key.kind,
        count=change.count,
        pause_s=pause_s,
    )
    return True
