"""Gives free slots to waiting requests, the most urgent tier first."""

from jujubenotch.admission.queues import remove_request
from jujubenotch.admission.shares import charge_start, estimate_tokens, peek_lane
from jujubenotch.admission.slots import take_slot
from jujubenotch.admission.state import HeldSlot, Pool, QueuedRequest, UpstreamAccount
from jujubenotch.invariants import assert_invariant
from jujubenotch.work import TIERS, Grant

POWER_TOLERANCE_WATTS = 1e-6


def grant_ready(pool: Pool, now_s: float) -> list[Grant]:
    """Grant slots to all requests that can start now.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    :returns: The new grants, most urgent first.
    """
    grants = []
    for tier in range(TIERS):
        _grant_tier(pool, tier, grants, now_s)
    return grants


def _grant_tier(pool, tier, grants, now_s):
    open_lanes = list(pool.lanes[tier].values())
    while open_lanes:
        lane, queued = _find_next(open_lanes)
        if queued is None:
            return
        account = _find_place(pool, queued.request)
        if account is None:
            open_lanes.remove(lane)
            continue
        grants.append(start_request(pool, queued, account, now_s))
        if not lane.queued:
            open_lanes.remove(lane)


def _find_next(lanes):
    first = None
    for lane in lanes:
        queued = peek_lane(lane)
        if queued is None:
            continue
        if first is None or lane.entries[0][:2] < first[0].entries[0][:2]:
            first = (lane, queued)
    return first or (None, None)


def _find_place(pool, request):
    target = pool.targets.get(request.target)
    if target is None or not target.free:
        return None
    accounts = [
        account
        for account in target.accounts
        if account.free and has_power(pool, account)
    ]
    preferred = [
        account
        for account in accounts
        if account.name not in request.excluded_upstreams
    ]
    return min(
        preferred or accounts,
        key=lambda account: (account.running / account.slots, account.name),
        default=None,
    )


def has_power(pool: Pool, account: UpstreamAccount) -> bool:
    """Tell whether the power cap allows one more request on an upstream.

    :param pool: The pool.
    :param account: The upstream.
    :returns: Whether it does.
    """
    if pool.power_watts is None:
        return True
    watts = pool.watts_in_use + account.record.watts_per_slot
    return watts <= pool.power_watts + POWER_TOLERANCE_WATTS


def start_request(
    pool: Pool, queued: QueuedRequest, account: UpstreamAccount, now_s: float
) -> Grant:
    """Grant a slot to a waiting request.

    :param pool: The pool.
    :param queued: The request's entry.
    :param account: The upstream, which has a free slot.
    :param now_s: The present monotonic time, in seconds.
    :returns: The grant.
    """
    request = queued.request
    assert_invariant(
        queued.is_live and request.request_id not in pool.held_requests,
        "one-grant-per-request",
        pool=pool.name,
        request_id=request.request_id,
    )
    remove_request(pool, queued)
    pool.sequence += 1
    pool.grants_made += 1
    grant = Grant(
        grant_id=f"{pool.id_prefix}/{pool.grants_made}",
        request_id=request.request_id,
        upstream=account.name,
        home=pool.home,
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
        started_s=now_s,
        cost=cost,
        watts=account.record.watts_per_slot,
    )
    take_slot(pool, account, held)
    pool.held_requests.add(request.request_id)
    _check_bounds(pool, account)
    return grant


def _check_bounds(pool, account):
    assert_invariant(
        account.running <= account.capacity,
        "slots-not-exceeded",
        pool=pool.name,
        upstream=account.name,
        running=account.running,
        capacity=account.capacity,
    )
    cap_watts = pool.power_watts
    assert_invariant(
        cap_watts is None
        or not account.record.watts_per_slot
        or pool.watts_in_use <= cap_watts + POWER_TOLERANCE_WATTS,
        "power-cap-held",
        pool=pool.name,
        watts_in_use=pool.watts_in_use,
        power_watts=cap_watts,
    )
