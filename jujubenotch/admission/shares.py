"""Start-time fair queueing among the teams of a tier.

After Goyal, Vin and Cheng, "Start-time Fair Queuing" (1996). When a request of
a team starts, the team's start tag grows by the cost of the request divided by
the team's weight; the team with the smallest tag goes next. The cost is an
estimate until the work has ended; then the tag is corrected for the actual cost.
"""

import heapq

from jujubenotch.admission.state import (
    HeldSlot,
    Pool,
    QueuedRequest,
    TargetQueue,
    TeamQueue,
    TeamShare,
    TeamUsage,
)
from jujubenotch.estimates import RunningMean, update_mean
from jujubenotch.work import WorkReport, WorkRequest, WorkResult

LEARNING_WEIGHT = 0.1
MAX_LEARNED_MEANS = 4096
MIN_COST_TOKENS = 1.0
MIN_WEIGHT = 1e-6
MAX_STALE_ENTRIES = 64


def estimate_tokens(pool: Pool, request: WorkRequest) -> float:
    """Estimate the length of a request's answer.

    Uses the mean length of earlier answers to the same class and team, or else
    to the same class. Without earlier answers, uses the request's own estimate.

    :param pool: The pool.
    :param request: The request.
    :returns: A number of tokens, at least 1.
    """
    learned = pool.learned_tokens.get((request.service_class, request.team))
    if learned is None:
        learned = pool.learned_tokens.get((request.service_class, ""))
    tokens = request.expected_tokens if learned is None else learned.value
    return max(MIN_COST_TOKENS, tokens)


def find_team(pool: Pool, name: str) -> TeamUsage:
    """Return a team's usage, creating the usage if there is none.

    :param pool: The pool.
    :param name: The team's name.
    :returns: The team's usage.
    """
    usage = pool.teams.get(name)
    if usage is None:
        _sweep_teams(pool)
        usage = pool.teams[name] = TeamUsage(name=name)
    return usage


def open_queue(
    pool: Pool, target_queue: TargetQueue, request: WorkRequest
) -> TeamQueue:
    """Return a team's queue in a target queue, creating the queue if there is none.

    Also updates the team's limit and weight to those of the request.

    :param pool: The pool.
    :param target_queue: The target queue.
    :param request: A request of the team that is about to be queued in the target
        queue.
    :returns: The team's queue.
    """
    usage = find_team(pool, request.team)
    share = _find_share(pool, usage, request.tier, request.team_weight)
    if usage.limit != request.team_limit:
        _record_at_limit(pool, usage)
        usage.limit = request.team_limit
        schedule_team(pool, usage)
    team_queue = target_queue.teams.get(request.team)
    if team_queue is not None:
        return team_queue
    if not share.queues:
        share.tag = max(share.tag, pool.virtual_time[request.tier])
    team_queue = TeamQueue(share=share)
    target_queue.teams[request.team] = team_queue
    target_queue.weight += share.weight
    share.queues[target_queue.target] = team_queue
    return team_queue


def close_queue(target_queue: TargetQueue, team_queue: TeamQueue) -> None:
    """Remove a team's empty queue from its target queue.

    :param target_queue: The target queue.
    :param team_queue: The empty queue.
    """
    share = team_queue.share
    team_queue.entry = None
    del target_queue.teams[share.usage.name]
    del share.queues[target_queue.target]
    target_queue.weight -= share.weight


def schedule_queue(
    pool: Pool, target_queue: TargetQueue, team_queue: TeamQueue
) -> None:
    """Put a team's queue at its place in the target queue's order of teams.

    A team at its limit gets no place until one of its slots is released or its
    limit is raised.

    :param pool: The pool.
    :param target_queue: The target queue.
    :param team_queue: The team's queue.
    """
    team_queue.entry = None
    if is_at_limit(team_queue.share.usage):
        return
    pool.entries_made += 1
    team_queue.entry = (team_queue.share.tag, pool.entries_made, team_queue)
    heapq.heappush(target_queue.entries, team_queue.entry)
    if len(target_queue.entries) > 2 * len(target_queue.teams) + MAX_STALE_ENTRIES:
        queues = target_queue.teams.values()
        target_queue.entries = [
            queue.entry for queue in queues if queue.entry is not None
        ]
        heapq.heapify(target_queue.entries)


def schedule_team(pool: Pool, usage: TeamUsage) -> None:
    """Update the places of all queues of a team.

    :param pool: The pool.
    :param usage: The usage of a team whose tag, limit or number of requests
        in progress has changed.
    """
    for tier, share in usage.shares.items():
        for target, team_queue in share.queues.items():
            schedule_queue(pool, pool.target_queues[tier][target], team_queue)


def is_at_limit(usage: TeamUsage) -> bool:
    """Tell whether a team has as many requests in progress as its limit allows.

    :param usage: The team's usage.
    :returns: Whether the team is at its limit; always false without a limit.
    """
    return 0 < usage.limit <= usage.in_progress


def peek_target_queue(target_queue: TargetQueue) -> QueuedRequest | None:
    """Find the next request of a target queue.

    :param target_queue: The target queue.
    :returns: The request with the earliest deadline of the team with the
        smallest tag; ``None`` when every waiting team is at its limit.
    """
    while target_queue.entries:
        entry = target_queue.entries[0]
        team_queue = entry[2]
        if team_queue.entry is entry and not is_at_limit(team_queue.share.usage):
            return team_queue.requests.peek()
        heapq.heappop(target_queue.entries)
        if team_queue.entry is entry:
            team_queue.entry = None
    return None


def charge_start(
    pool: Pool, *, team: str, tier: int, weight: float, cost: float
) -> TeamUsage:
    """Charge a team for a request that starts.

    The request must have been removed from the queues.

    :param pool: The pool.
    :param team: The team's name.
    :param tier: The request's tier.
    :param weight: The team's weight.
    :param cost: The request's estimated cost, in tokens.
    :returns: The team's usage.
    """
    usage = find_team(pool, team)
    share = _find_share(pool, usage, tier, weight)
    pool.virtual_time[tier] = max(pool.virtual_time[tier], share.tag)
    share.tag += cost / share.weight
    share.in_progress += 1
    usage.in_progress += 1
    schedule_team(pool, usage)
    return usage


def correct_charge(pool: Pool, held: HeldSlot, report: WorkReport) -> None:
    """Replace the estimated cost of a finished request by its actual cost.

    :param pool: The pool.
    :param held: The slot that was released.
    :param report: The report on the work.
    """
    usage = held.team
    share = usage.shares[held.tier]
    cost = max(MIN_COST_TOKENS, report.tokens)
    share.tag = max(0.0, share.tag + (cost - held.cost) / share.weight)
    _record_at_limit(pool, usage)
    share.in_progress -= 1
    usage.in_progress -= 1
    schedule_team(pool, usage)
    if report.result is WorkResult.COMPLETED:
        _learn_tokens(pool, (held.service_class, usage.name), cost)
        _learn_tokens(pool, (held.service_class, ""), cost)


def _find_share(pool, usage, tier, weight):
    share = usage.shares.get(tier)
    weight = max(MIN_WEIGHT, weight)
    if share is None:
        share = usage.shares[tier] = TeamShare(
            usage=usage,
            tier=tier,
            weight=weight,
            tag=pool.virtual_time[tier],
        )
    elif share.weight != weight:
        for target in share.queues:
            pool.target_queues[tier][target].weight += weight - share.weight
        share.weight = weight
    return share


def _record_at_limit(pool, usage):
    if is_at_limit(usage):
        usage.last_at_limit = pool.sequence


def _learn_tokens(pool, key, tokens):
    learned = pool.learned_tokens.get(key)
    if learned is None:
        if len(pool.learned_tokens) >= MAX_LEARNED_MEANS:
            del pool.learned_tokens[next(iter(pool.learned_tokens))]
        learned = pool.learned_tokens[key] = RunningMean(weight=LEARNING_WEIGHT)
    update_mean(learned, tokens)


def _sweep_teams(pool):
    """Drop idle teams once the number of teams has doubled since the last sweep.

    A team is dropped only if its tags are not ahead of the virtual time. Such a
    team would restart at the virtual time anyway, so no state is lost.
    """
    if len(pool.teams) < max(MAX_STALE_ENTRIES, 2 * pool.teams_after_sweep):
        return
    idle = [name for name, team in pool.teams.items() if _can_be_dropped(pool, team)]
    for name in idle:
        del pool.teams[name]
    pool.teams_after_sweep = len(pool.teams)


def _can_be_dropped(pool, usage):
    if usage.in_progress:
        return False
    return all(
        not share.queues and share.tag <= pool.virtual_time[tier]
        for tier, share in usage.shares.items()
    )
