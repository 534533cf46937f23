"""Grants free slots to waiting requests, the most urgent tier first."""

from dataclasses import dataclass, field

from jujubenotch.admission.guarantee import find_guaranteed, record_oldest_start
from jujubenotch.admission.queues import remove_request
from jujubenotch.admission.refusals import refuse_too_late
from jujubenotch.admission.reserve import (
    compute_required_free,
    keeps_power_reserve,
    keeps_slot_reserve,
)
from jujubenotch.admission.shares import (
    charge_start,
    estimate_tokens,
    peek_target_queue,
)
from jujubenotch.admission.slots import (
    POWER_TOLERANCE_WATTS,
    is_in_service,
    is_power_metered,
    refresh_capacity,
    refresh_changed,
    take_slot,
)
from jujubenotch.admission.state import HeldSlot, Pool, QueuedRequest, UpstreamUsage
from jujubenotch.admission.waits import is_too_late
from jujubenotch.estimates import count_event
from jujubenotch.invariants import assert_invariant
from jujubenotch.routing import (
    choose_upstream,
    find_prefix_upstream,
    may_probe,
    record_prefix,
    start_probe,
)
from jujubenotch.work import TIERS, Grant

TIERS_LOWEST_FIRST = tuple(reversed(range(TIERS)))
LOWER_TIERS_LOWEST_FIRST = TIERS_LOWEST_FIRST[:-1]


@dataclass(kw_only=True)
class _Round:
    """The state of one pass over all queues.

    :param is_power_short: Whether the power cap kept a request from starting;
        requests considered later in the round may then not take power, so that
        they can't overtake that request.
    """

    now_s: float
    grants: list[Grant] = field(default_factory=list)
    is_power_short: bool = False


def grant_ready(pool: Pool, now_s: float) -> list[Grant]:
    """Grant slots to all requests that can start now.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    :returns: The new grants, in the order in which they were made: probes with
        requests of the lower tiers, grants under the max-wait guarantee, regular
        grants from the most urgent tier to the least, and more probes. Requests
        of the most urgent tier are used as probes only at the end, when they
        would otherwise wait.
    """
    this_round = _Round(now_s=now_s)
    refresh_changed(pool, now_s)
    _grant_probes(pool, this_round, LOWER_TIERS_LOWEST_FIRST)
    _grant_guaranteed(pool, this_round)
    for tier in range(TIERS):
        if pool.queued_by_tier[tier]:
            _grant_tier(pool, tier, this_round)
    _grant_probes(pool, this_round, TIERS_LOWEST_FIRST)
    return this_round.grants


def _grant_probes(pool, this_round, tiers):
    """Probe ejected upstreams with waiting requests.

    :param tiers: Tiers to take a request from, in order of preference.
    """
    for usage in list(pool.ejected.values()):
        if not is_in_service(usage) or not may_probe(usage.health, this_round.now_s):
            continue
        queued = _find_probe(pool, usage, tiers)
        has_room = usage.running < usage.slots
        if (
            queued
            and has_room
            and keeps_power_reserve(pool, usage, 0, this_round.now_s)
        ):
            start_probe(usage.health, this_round.now_s)
            _start_request(pool, queued, usage, this_round, is_probe=True)
            refresh_capacity(pool, usage, this_round.now_s)


def _find_probe(pool, usage, tiers):
    for tier in tiers:
        target_queues = [
            pool.target_queues[tier].get(name) for name in usage.record.models
        ]
        _, queued = _find_next(
            [target_queue for target_queue in target_queues if target_queue is not None]
        )
        if queued and _may_be_probe(pool, queued.request, usage):
            return queued
    return None


def _may_be_probe(pool, request, usage):
    """Tell whether a request may be used to probe an ejected upstream.

    The upstream may still be broken. A request that is not idempotent, or that
    already failed on this upstream, is used only when no other upstream of its
    target has capacity.
    """
    is_excluded = usage.name in request.excluded_upstreams
    if request.is_idempotent and not is_excluded:
        return True
    return not pool.targets[request.target].slots


def _grant_guaranteed(pool, this_round):
    for queued in find_guaranteed(pool, this_round.now_s):
        tier_without_reserve = 0
        usage = _choose_upstream_usage(
            pool, queued.request, tier_without_reserve, _Round(now_s=this_round.now_s)
        )
        if usage is not None:
            _start_request(pool, queued, usage, this_round, is_guaranteed=True)


def _grant_tier(pool, tier, this_round):
    open_target_queues = list(pool.target_queues[tier].values())
    while open_target_queues:
        target_queue, queued = _find_next(open_target_queues)
        if queued is None:
            return
        usage = _choose_upstream_usage(pool, queued.request, tier, this_round)
        if usage is None:
            open_target_queues.remove(target_queue)
            continue
        if is_too_late(pool, queued.request, this_round.now_s):
            refuse_too_late(pool, queued, this_round.now_s)
        else:
            _start_request(pool, queued, usage, this_round)
        if not target_queue.queued:
            open_target_queues.remove(target_queue)


def _find_next(target_queues):
    first = None
    for target_queue in target_queues:
        queued = peek_target_queue(target_queue)
        if queued is None:
            continue
        if first is None or target_queue.entries[0][:2] < first[0].entries[0][:2]:
            first = (target_queue, queued)
    return first or (None, None)


def _choose_upstream_usage(pool, request, tier, this_round):
    target = pool.targets.get(request.target)
    if target is None or not target.free:
        return None
    now_s = this_round.now_s
    if target.free <= compute_required_free(pool, target, tier, now_s):
        return None
    usages = [
        usage
        for usage in target.usages
        if usage.free and keeps_slot_reserve(pool, usage, tier, now_s)
    ]
    usages_with_power = [
        usage for usage in usages if _may_take_power(pool, usage, tier, this_round)
    ]
    if usages and not usages_with_power:
        this_round.is_power_short = True
        return None
    return choose_upstream(
        usages_with_power,
        request,
        affinity=pool.affinity,
        group_latency=pool.group_latency,
        now_s=now_s,
    )


def _may_take_power(pool, usage, tier, this_round):
    if not is_power_metered(pool, usage):
        return True
    if this_round.is_power_short:
        return False
    return keeps_power_reserve(pool, usage, tier, this_round.now_s)


def _start_request(
    pool: Pool,
    queued: QueuedRequest,
    usage: UpstreamUsage,
    this_round: _Round,
    *,
    is_guaranteed: bool = False,
    is_probe: bool = False,
):
    request = queued.request
    assert_invariant(
        queued.is_live and request.request_id not in pool.held_requests,
        "one-grant-per-request",
        pool=pool.name,
        request_id=request.request_id,
    )
    record_oldest_start(pool, queued, this_round.now_s)
    demand = pool.targets[request.target].demands[request.tier]
    count_event(demand.start_rate, this_round.now_s)
    remove_request(pool, queued)
    pool.sequence += 1
    pool.grants_made += 1
    grant = Grant(
        grant_id=f"{pool.id_prefix}/{pool.grants_made}",
        request_id=request.request_id,
        upstream=usage.name,
        coordinator=pool.coordinator,
    )
    cost = estimate_tokens(pool, request)
    team = charge_start(
        pool,
        team=request.team,
        tier=request.tier,
        weight=request.team_weight,
        cost=cost,
    )
    held = HeldSlot(
        grant=grant,
        target=request.target,
        team=team,
        service_class=request.service_class,
        tier=request.tier,
        started_s=this_round.now_s,
        cost=cost,
        watts=usage.record.watts_per_slot,
        is_guaranteed=is_guaranteed,
        is_probe=is_probe,
        is_prefix_hit=_record_prefix(pool, request, usage),
        between_tokens_target_s=request.between_tokens_target_s,
    )
    take_slot(pool, usage, held, this_round.now_s)
    pool.held_requests.add(request.request_id)
    if not is_guaranteed and not is_probe:
        _record_regular_grant(pool, usage, request.tier)
    _check_bounds(pool, usage, usage.slots if is_probe else usage.capacity)
    this_round.grants.append(grant)


def _record_prefix(pool, request, usage):
    if not request.prefix_key:
        return None
    is_hit = find_prefix_upstream(pool.affinity, request.prefix_key) == usage.name
    record_prefix(pool.affinity, request.prefix_key, usage.name)
    return is_hit


def _record_regular_grant(pool, usage, tier):
    for name in usage.record.models:
        pool.targets[name].last_grants[tier] = pool.sequence


def _check_bounds(pool, usage, capacity):
    assert_invariant(
        usage.running <= capacity,
        "slots-not-exceeded",
        pool=pool.name,
        upstream=usage.name,
        running=usage.running,
        capacity=capacity,
    )
    assert_invariant(
        not is_power_metered(pool, usage)
        or pool.watts_in_use <= pool.power_watts + POWER_TOLERANCE_WATTS,
        "power-cap-held",
        pool=pool.name,
        watts_in_use=pool.watts_in_use,
        power_watts=pool.power_watts,
    )
