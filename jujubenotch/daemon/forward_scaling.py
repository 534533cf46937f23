"""Orders upstreams while this instance holds the lease."""

import asyncio
import logging
from collections.abc import Collection

from jujubenotch.daemon.forward_leases import (
    LeaseWatch,
    find_token,
)
from jujubenotch.daemon.forward_orders import (
    RECORD_KEY,
    ReadDemand,
    ScalingWatch,
    send_orders,
)
from jujubenotch.daemon.forward_revisions import is_source_behind
from jujubenotch.daemon.forward_state import ForwardState
from jujubenotch.forwarding import (
    Service,
    choose_change_wait_s,
    measure_age_s,
    was_recently_unavailable,
)
from jujubenotch.logs import log_event
from jujubenotch.metrics import Metrics, observe_upstreams
from jujubenotch.scaling import (
    LISTING_DELAY_S,
    DemandHistory,
    OrderChange,
    Presence,
    ScalingState,
    count_available,
    count_present,
    decode_orders,
    make_pacing,
    plan_service,
    record_demand,
)

logger = logging.getLogger(__name__)

# Reports of demand come about once a second.
CYCLE_S = 0.5
# An error that was not expected is likely to occur again at once.
FAILURE_PAUSE_S = 10.0
# An older list may lack upstreams that serve, or contain reclaimed ones. The age is
# known each time a call for changes of the configuration returns.
STORE_DELAY_S = 4.0
# Reports pass through a reader; three that are lost in a row make the demand stale.
MAX_DEMAND_AGE_S = 5.0
# After an outage the entries of running upstreams are renewed within about 2 s.
OUTAGE_HOLD_S = 6.0
# After a restore, dead upstreams of the copy disappear within 5 s, and the instances
# report their demand to the new holder.
RESTORE_HOLD_S = 10.0
# When a deployment starts, its upstreams register over some seconds, with pauses below
# two heartbeats of 1.2 s. A list that still grows would be taken for a small fleet.
GROWTH_HOLD_S = 3.0
# The list lacks changes that the store has, mostly for some tenths of a second.
LIST_BEHIND = "list-behind"
# Label of a service whose demand isn't known; nothing is ordered for it.
STALE_DEMAND = "demand-stale"


def make_scaling_watch(
    state: ForwardState,
    leases: LeaseWatch,
    metrics: Metrics,
    read_demand: ReadDemand,
    *,
    calls_per_s: float,
    max_key_age_s: float,
    data_centres: Collection[str],
) -> ScalingWatch:
    """Make the state of ordering upstreams.

    :param state: The configuration and the upstreams known to the instance.
    :param leases: The lease.
    :param metrics: The instance's metrics.
    :param read_demand: Returns the demand by service and data centre.
    :param calls_per_s: Calls a second that the API accepts from all instances.
    :param max_key_age_s: The bound on the age of keys, in seconds; 0 without one.
    :param data_centres: The data centres with instances.
    """
    return ScalingWatch(
        state=state,
        leases=leases,
        metrics=metrics,
        read_demand=read_demand,
        pacing=make_pacing(calls_per_s),
        max_store_age_s=STORE_DELAY_S + choose_change_wait_s(max_key_age_s, 0),
        data_centres=data_centres,
    )


async def order_upstreams(watch: ScalingWatch) -> None:
    """Order upstreams whenever this instance holds the lease, until cancelled.

    :param watch: The state; changed in place.
    """
    while True:
        await watch.leases.tenure_began.wait()
        try:
            await run_cycle(watch)
        except Exception:
            # The instance serves callers without this duty as well.
            logger.exception("scaling-failed")
            watch.is_loaded = False
            await asyncio.sleep(FAILURE_PAUSE_S)
        await asyncio.sleep(CYCLE_S)
        if not watch.leases.tenure_began.is_set():
            end_scaling(watch)


def end_scaling(watch: ScalingWatch) -> None:
    """Forget the orders at the end of a tenure; the next holder changes them.

    :param watch: The state; changed in place.
    """
    watch.is_loaded = False
    watch.coming = {}
    for key in watch.orders.orders:
        observe_upstreams(
            watch.metrics, key.service, key.data_centre, key.kind, ordered=0, listed=0
        )


async def run_cycle(watch: ScalingWatch) -> None:
    """Decide once which orders change, store them and send them.

    :param watch: The state; changed in place.
    """
    now_s = watch.read_clock_s()
    token = find_token(watch.leases, now_s)
    if token is None:
        return
    hold = _find_hold(watch, now_s)
    if not hold and _is_growing(watch, now_s):
        hold = "list-growing"
    _set_hold(watch, hold)
    if hold:
        return
    if not watch.is_loaded or token != watch.token:
        _load(watch, token, now_s)
    changes = _plan(watch, now_s)
    changes = changes[: count_available(watch.pacing, now_s)]
    if changes:
        await send_orders(watch, changes)
    _record_coming(watch, watch.read_clock_s())


def read_coming_room(
    watch: ScalingWatch, service: str, now_s: float
) -> tuple[float, float]:
    """Return the room of upstreams that are ordered but don't serve yet.

    Only the holder of the lease knows the orders; elsewhere the result is (0, 0).

    :param watch: The state.
    :param service: The service's name.
    :param now_s: The present time by the boot clock, in seconds.
    :returns: The slots, and the time until the first of them serve, in seconds.
    """
    slots, ready_s = watch.coming.get(service, (0.0, 0.0))
    return (slots, max(0.0, ready_s - now_s)) if slots else (0.0, 0.0)


def _record_coming(watch, now_s):
    """Compute the coming room once for the requests until the next cycle."""
    watch.coming = {}
    listed = count_present(watch.state.listing, now_s)
    services = _find_services(watch)
    for key, order in watch.orders.orders.items():
        service = services.get(key.service)
        present = listed.by_service.get(key.service, {})
        missing = order.count - present.get(key, Presence()).ready
        if service is None or missing <= 0:
            continue
        boot_s = service.scaling.boot_s
        if now_s - order.raised_s > boot_s + LISTING_DELAY_S:
            continue
        slots, ready_s = watch.coming.get(key.service, (0.0, float("inf")))
        watch.coming[key.service] = (
            slots + missing * _find_slots(listed, service),
            min(ready_s, order.raised_s + boot_s),
        )


def _find_hold(watch, now_s):
    """Return why nothing may be ordered now; empty when orders may be sent."""
    state = watch.state
    era = state.configuration_progress.era
    if era != watch.era:
        if watch.era is not None:
            watch.era_changed_s = now_s
        watch.era = era
    if state.index is None or not state.has_read_listing:
        return "not-loaded"
    tenure = watch.leases.state.tenure
    if tenure is None or tenure.era != era:
        return "store-restored"
    if now_s - watch.era_changed_s < RESTORE_HOLD_S:
        return "store-restored"
    for progress in (state.configuration_progress, state.listing_progress):
        if was_recently_unavailable(progress, OUTAGE_HOLD_S, now_s):
            return "store-unavailable"
    if measure_age_s(state.freshness, now_s) > watch.max_store_age_s:
        return "list-old"
    if is_source_behind(
        state.revisions, state.listing_progress, state.configuration_progress
    ):
        return LIST_BEHIND
    return ""


def _is_growing(watch, now_s):
    """Return whether upstreams still register that were there before any order."""
    if RECORD_KEY in watch.leases.records:
        return False
    listed = len(watch.state.listing.upstreams)
    if listed > watch.listed:
        watch.listed = listed
        watch.grown_s = now_s
    return now_s - watch.grown_s < GROWTH_HOLD_S


def _set_hold(watch, hold):
    if hold == watch.hold:
        return
    # Changes of the list are in transit several times a minute.
    level = logging.DEBUG if LIST_BEHIND in (hold, watch.hold) else logging.INFO
    watch.hold = hold
    event = "scaling-held" if hold else "scaling-resumed"
    log_event(logger, level, event, reason=hold or "none")


def _set_doubt(watch, service, doubt):
    """Log when the demand for a service becomes doubtful, and when it can be used."""
    if doubt == watch.doubts.get(service):
        return
    if doubt is None:
        del watch.doubts[service]
    else:
        watch.doubts[service] = doubt
    log_event(
        logger,
        logging.INFO,
        "demand-held" if doubt else "demand-resumed",
        service=service,
        reason=doubt or "none",
    )


def _load(watch, token, now_s):
    """Take up the orders of the last holder, or what the list shows."""
    content = watch.leases.records.get(RECORD_KEY)
    stored = None
    if content is not None:
        stored = decode_orders(content, watch.era, now_s)
    orders = stored or ScalingState()
    # The demand and the refusals concern the platform, not one tenure.
    orders.histories = watch.orders.histories
    orders.blocks = watch.orders.blocks
    # An order of this process without a response is repeated under the new token.
    for key, order in watch.orders.orders.items():
        if not order.is_settled and key in orders.orders:
            orders.orders[key].is_settled = False
    watch.orders = orders
    watch.is_loaded = True
    if token != watch.token:
        # Every call that may still be executed carries an earlier token.
        watch.needs_fresh_token = False
    watch.token = token
    log_event(
        logger,
        logging.INFO,
        "orders-loaded",
        source="list" if stored is None else "store",
        is_stored=content is not None,
        orders=len(orders.orders),
        era=watch.era,
        token=token,
    )


def _find_services(watch) -> dict[str, Service]:
    if watch.state.index is None:
        return {}
    services = watch.state.index.configuration.services
    return {
        name: service
        for name, service in services.items()
        if service.scaling is not None
    }


def _plan(watch, now_s) -> list[OrderChange]:
    figures = watch.read_demand(now_s)
    listed = count_present(watch.state.listing, now_s)
    changes = []
    for name, service in sorted(_find_services(watch).items()):
        if not _record_demand(watch, name, figures, now_s):
            _set_doubt(watch, name, STALE_DEMAND)
            continue
        present = listed.by_service.get(name, {})
        slots = _find_slots(listed, service)
        changes += plan_service(
            watch.orders, service, present, slots, now_s, places=watch.data_centres
        )
        _set_doubt(watch, name, watch.orders.plans[name].doubt)
        for key, order in watch.orders.orders.items():
            if key.service == name:
                ready = present.get(key, Presence()).ready
                observe_upstreams(
                    watch.metrics,
                    name,
                    key.data_centre,
                    key.kind,
                    ordered=order.count,
                    listed=ready,
                )
    return changes


def _record_demand(watch, service, figures, now_s):
    """Record the demand for a service; return whether orders may be based on it.

    Where no demand was ever reported and nobody has ordered before, no caller has come
    yet, and the kinds may be replaced by the list alone.
    """
    history = watch.orders.histories.setdefault(service, DemandHistory())
    reported = {
        place: each for (name, place), each in figures.items() if name == service
    }
    ages_s = [each.age_s for each in reported.values()]
    if ages_s and max(ages_s) <= MAX_DEMAND_AGE_S:
        record_demand(history, reported, now_s)
        return True
    return not watch.orders.is_restored and not history.samples


def _find_slots(listed, service):
    default = service.engine.slots if service.engine else 1
    return listed.slots.get(service.name) or max(1, default)
