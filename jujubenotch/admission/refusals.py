"""Refuses requests that can't be queued or served in time, lowest tier first."""

from jujubenotch.admission.queues import find_newest_of_lowest_tier, remove_request
from jujubenotch.admission.shares import is_at_limit
from jujubenotch.admission.state import Pool, QueuedRequest, RefusedRequest
from jujubenotch.admission.waits import (
    compute_retry_after_s,
    estimate_drain_s,
    misses_deadline,
    read_hold_s,
)
from jujubenotch.invariants import assert_invariant
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.work import WorkRequest

UNSERVED_RETRY_AFTER_S = 1.0


def make_unserved_refusal(request: WorkRequest) -> Refusal:
    """Make the refusal of a request whose target no upstream serves.

    :param request: The request.
    :returns: The refusal.
    """
    return Refusal(
        reason=RefusalReason.NO_UPSTREAM,
        retry_after_s=compute_retry_after_s(UNSERVED_RETRY_AFTER_S, request.request_id),
        detail=f"no upstream in service for {request.target!r}; come back",
    )


def refuse_on_arrival(pool: Pool, request: WorkRequest, now_s: float) -> Refusal | None:
    """Refuse an arriving request if it is predicted to miss its deadline.

    No request is refused for its predicted wait while a request of a lower tier
    waits.

    :param pool: The pool.
    :param request: The arriving request.
    :param now_s: The present monotonic time, in seconds.
    :returns: ``None`` when the request may be queued, otherwise a refusal.
    """
    if any(pool.queued_by_tier[request.tier + 1 :]):
        return None
    if misses_deadline(pool, request, now_s, is_queued=False):
        return _make_unreachable_refusal(pool, request, now_s)
    return None


def make_room(pool: Pool, request: WorkRequest, now_s: float) -> Refusal | None:
    """Make room in the queue for an arriving request.

    If the queue is full, the newest request of the lowest waiting tier is
    refused, unless that tier is not lower than the tier of the arriving
    request. In that case the arriving request is refused.

    :param pool: The pool.
    :param request: The arriving request.
    :param now_s: The present monotonic time, in seconds.
    :returns: ``None`` when the queue has room, otherwise the refusal of the
        arriving request.
    """
    if len(pool.queued) < pool.limits.queue_requests:
        return None
    newest = find_newest_of_lowest_tier(pool)
    if newest is None or newest.request.tier <= request.tier:
        return _make_queue_full_refusal(pool, request, now_s)
    refuse_queued(pool, newest, _make_queue_full_refusal(pool, newest.request, now_s))
    return None


def refuse_queued(pool: Pool, queued: QueuedRequest, refusal: Refusal) -> None:
    """Remove a request from the queues and record its refusal.

    :param pool: The pool.
    :param queued: The request's queue entry.
    :param refusal: The refusal to record.
    """
    remove_request(pool, queued)
    pool.refused.append(
        RefusedRequest(request_id=queued.request.request_id, refusal=refusal)
    )


def refuse_expired(pool: Pool, now_s: float) -> None:
    """Refuse the requests whose deadline has passed.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    """
    while queued := pool.deadlines.peek():
        if queued.request.deadline_s > now_s:
            return
        refuse_queued(pool, queued, _make_deadline_passed_refusal(pool, queued, now_s))


def refuse_unreachable(pool: Pool, now_s: float) -> None:
    """Refuse queued requests that are predicted to miss their deadline.

    Examines the requests of the lowest waiting tier from the newest on, until
    one is predicted to meet its deadline.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    """
    while newest := find_newest_of_lowest_tier(pool):
        if not misses_deadline(pool, newest.request, now_s, is_queued=True):
            return
        refusal = _make_unreachable_refusal(pool, newest.request, now_s)
        refuse_queued(pool, newest, refusal)


def refuse_too_late(pool: Pool, queued: QueuedRequest, now_s: float) -> None:
    """Refuse a queued request that is unlikely to end before its deadline.

    :param pool: The pool.
    :param queued: The request's queue entry.
    :param now_s: The present monotonic time, in seconds.
    """
    refuse_queued(pool, queued, _make_unreachable_refusal(pool, queued.request, now_s))


def _make_deadline_passed_refusal(pool, queued, now_s):
    request = queued.request
    team = pool.teams[request.team]
    target = pool.targets[request.target]
    if is_at_limit(team):
        hold_s = read_hold_s(target, request.tier)
        return Refusal(
            reason=RefusalReason.TEAM_LIMIT,
            retry_after_s=compute_retry_after_s(hold_s, request.request_id),
            detail=f"team {team.name!r} had {team.limit} requests in progress "
            "until the deadline; come back",
        )
    lower_grant = max(target.last_grants[request.tier + 1 :], default=0)
    assert_invariant(
        lower_grant <= max(queued.sequence, team.last_at_limit),
        "no-lower-grant-before-deadline-refusal",
        pool=pool.name,
        request_id=request.request_id,
        tier=request.tier,
    )
    return Refusal(
        reason=RefusalReason.DEADLINE_PASSED,
        retry_after_s=_estimate_retry_after_s(pool, request, now_s),
        detail="no slot became free before the deadline; come back",
    )


def _make_unreachable_refusal(pool, request, now_s):
    _check_nothing_lower_waits(pool, request)
    return Refusal(
        reason=RefusalReason.DEADLINE_UNREACHABLE,
        retry_after_s=_estimate_retry_after_s(pool, request, now_s),
        detail="the queue drains too slowly for the deadline; come back",
    )


def _make_queue_full_refusal(pool, request, now_s):
    _check_nothing_lower_waits(pool, request)
    return Refusal(
        reason=RefusalReason.QUEUE_FULL,
        retry_after_s=_estimate_retry_after_s(pool, request, now_s),
        detail=f"{pool.limits.queue_requests} requests wait already; come back",
    )


def _check_nothing_lower_waits(pool, request):
    assert_invariant(
        not any(pool.queued_by_tier[request.tier + 1 :]),
        "no-refusal-while-lower-waits",
        pool=pool.name,
        request_id=request.request_id,
        tier=request.tier,
    )


def _estimate_retry_after_s(pool, request, now_s):
    target = pool.targets[request.target]
    drain_s = estimate_drain_s(pool, target, request.tier, now_s)
    return compute_retry_after_s(drain_s, request.request_id)
