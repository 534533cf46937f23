"""Adds requests to a pool's queues and removes them."""

from jujubenotch.admission.shares import (
    close_queue,
    open_queue,
    schedule_queue,
)
from jujubenotch.admission.state import ClassQueue, Pool, QueuedRequest, TargetQueue
from jujubenotch.work import TIERS, WorkRequest


def add_request(pool: Pool, request: WorkRequest) -> QueuedRequest:
    """Add a request to all queues that it belongs to.

    :param pool: The pool.
    :param request: The request, whose id must not be queued already.
    :returns: The request's queue entry.
    """
    pool.sequence += 1
    queued = QueuedRequest(request=request, sequence=pool.sequence)
    pool.queued[request.request_id] = queued
    pool.queued_by_tier[request.tier] += 1
    pool.newest[request.tier].push(queued)
    pool.deadlines.push(request.deadline_s, queued)
    _find_class(pool, request).requests.push(request.arrived_s, queued)
    target_queue = pool.target_queues[request.tier].get(request.target)
    if target_queue is None:
        target_queue = TargetQueue(tier=request.tier, target=request.target)
        pool.target_queues[request.tier][request.target] = target_queue
    target_queue.queued += 1
    team_queue = open_queue(pool, target_queue, request)
    team_queue.requests.push(request.deadline_s, queued)
    if team_queue.entry is None:
        schedule_queue(pool, target_queue, team_queue)
    return queued


def remove_request(pool: Pool, queued: QueuedRequest) -> None:
    """Remove a request from all queues.

    :param pool: The pool.
    :param queued: The request's queue entry, which must be live.
    """
    request = queued.request
    queued.is_live = False
    del pool.queued[request.request_id]
    pool.queued_by_tier[request.tier] -= 1
    pool.newest[request.tier].count_dead()
    pool.deadlines.count_dead()
    pool.classes[request.service_class].requests.count_dead()
    target_queue = pool.target_queues[request.tier][request.target]
    target_queue.queued -= 1
    team_queue = target_queue.teams[request.team]
    team_queue.requests.count_dead()
    if not len(team_queue.requests):
        close_queue(target_queue, team_queue)
    if not target_queue.queued:
        del pool.target_queues[request.tier][request.target]


def find_newest_of_lowest_tier(pool: Pool) -> QueuedRequest | None:
    """Find the newest request of the lowest tier that has waiting requests.

    :param pool: The pool.
    :returns: The request's queue entry; ``None`` when no request waits.
    """
    for tier in reversed(range(TIERS)):
        if pool.queued_by_tier[tier]:
            return pool.newest[tier].peek()
    return None


def _find_class(pool, request):
    class_queue = pool.classes.get(request.service_class)
    if class_queue is None:
        class_queue = ClassQueue(
            name=request.service_class,
            tier=request.tier,
            max_wait_s=request.max_wait_s,
        )
        pool.classes[request.service_class] = class_queue
    class_queue.tier = request.tier
    class_queue.max_wait_s = request.max_wait_s
    return class_queue
