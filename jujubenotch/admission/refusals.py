"""Refuses what can't be queued or served, the lowest tier first."""

from jujubenotch.admission.queues import find_newest_lowest, remove_request
from jujubenotch.admission.shares import find_team, is_at_limit
from jujubenotch.admission.state import Pool, QueuedRequest, RefusedRequest
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.work import WorkRequest

RETRY_AFTER_S = 1.0


def refuse_unserved(target: str) -> Refusal:
    """Say that no upstream serves a target.

    :param target: The model or plain service.
    :returns: The refusal.
    """
    return Refusal(
        reason=RefusalReason.NO_UPSTREAM,
        retry_after_s=RETRY_AFTER_S,
        detail=f"no upstream in service for {target!r}; come back",
    )


def make_room(pool: Pool, request: WorkRequest, now_s: float) -> Refusal | None:
    """Keep the queue within its bound at the cost of the lowest tier.

    :param pool: The pool.
    :param request: A request that arrives.
    :param now_s: The present monotonic time, in seconds.
    :returns: ``None`` when there is room now, else a refusal.
    """
    if len(pool.queued) < pool.limits.queue_requests:
        return None
    newest = find_newest_lowest(pool)
    if newest is None or newest.request.tier <= request.tier:
        return _refuse_full(pool, request, now_s)
    refuse_queued(pool, newest, _refuse_full(pool, newest.request, now_s))
    return None


def refuse_queued(pool: Pool, queued: QueuedRequest, refusal: Refusal) -> None:
    """Take a request out of the queue and note its refusal.

    :param pool: The pool.
    :param queued: Its entry.
    :param refusal: Why it is refused.
    """
    remove_request(pool, queued)
    pool.refused.append(
        RefusedRequest(request_id=queued.request.request_id, refusal=refusal)
    )


def refuse_overdue(pool: Pool, now_s: float) -> None:
    """Refuse the requests whose deadline has passed.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    """
    while queued := pool.deadlines.peek():
        if queued.request.deadline_s > now_s:
            return
        refuse_queued(pool, queued, _refuse_passed(pool, queued, now_s))


def _refuse_passed(pool, queued, now_s):
    team = find_team(pool, queued.request.team)
    if is_at_limit(team):
        return Refusal(
            reason=RefusalReason.TEAM_LIMIT,
            retry_after_s=RETRY_AFTER_S,
            detail=f"team {team.name!r} had {team.limit} requests in progress "
            "until the deadline; come back",
        )
    return Refusal(
        reason=RefusalReason.DEADLINE_PASSED,
        retry_after_s=RETRY_AFTER_S,
        detail="no slot became free before the deadline; come back",
    )


def _refuse_full(pool, request, now_s):
    return Refusal(
        reason=RefusalReason.QUEUE_FULL,
        retry_after_s=RETRY_AFTER_S,
        detail=f"{pool.limits.queue_requests} requests wait already; come back",
    )
