"""The max-wait guarantee: keeps the classes of the lower tiers from starving.

While a class has requests waiting, its oldest request is granted a slot at
least once in every ``max_wait_s``. A request that is due under the guarantee
gets the next slot that becomes free, without regard to the slots reserved for
more urgent tiers. The guarantee may use only a small part of the slots at once.
"""

from jujubenotch.admission.shares import is_at_limit
from jujubenotch.admission.state import ClassQueue, Pool, QueuedRequest

GUARANTEE_SLOT_SHARE = 0.125
MIN_GUARANTEE_SLOTS = 1
GUARANTEE_DUE_RATIO = 0.9
MAX_EXAMINED_REQUESTS = 8


def compute_guarantee_due_s(class_queue: ClassQueue) -> float | None:
    """Return when a class's oldest request becomes due under the guarantee.

    :param class_queue: The class's waiting requests.
    :returns: A monotonic time in seconds, somewhat before the class's maximum
        wait ends so that a slot can become free in time; ``None`` when the
        class has no waiting request or belongs to the most urgent tier.
    """
    if class_queue.tier == 0:
        return None
    oldest = class_queue.requests.peek()
    if oldest is None:
        return None
    waiting_since_s = max(oldest.request.arrived_s, class_queue.oldest_granted_s)
    return waiting_since_s + GUARANTEE_DUE_RATIO * class_queue.max_wait_s


def find_guaranteed(pool: Pool, now_s: float) -> list[QueuedRequest]:
    """Find the requests that are due under the guarantee, longest due first.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    :returns: At most one request for each class, and at most as many requests
        as the guarantee may still start.
    """
    due = []
    for class_queue in pool.classes.values():
        due_s = compute_guarantee_due_s(class_queue)
        if due_s is not None and due_s <= now_s:
            due.append((due_s, class_queue.name, class_queue))
    if not due:
        return []
    slots = sum(usage.capacity for usage in pool.upstreams.values())
    bound = max(MIN_GUARANTEE_SLOTS, int(GUARANTEE_SLOT_SHARE * slots))
    oldest = [_find_oldest(pool, class_queue) for _, _, class_queue in sorted(due)]
    found = [queued for queued in oldest if queued is not None]
    return found[: max(0, bound - pool.guaranteed_running)]


def record_oldest_start(pool: Pool, queued: QueuedRequest, now_s: float) -> None:
    """Record the start of a request if the request is the oldest of its class.

    :param pool: The pool.
    :param queued: The request's queue entry, before its removal.
    :param now_s: The present monotonic time, in seconds.
    """
    class_queue = pool.classes[queued.request.service_class]
    if class_queue.requests.peek() is queued:
        class_queue.oldest_granted_s = now_s


def _find_oldest(pool, class_queue):
    def may_start(queued):
        return not is_at_limit(pool.teams[queued.request.team])

    return class_queue.requests.find_first(may_start, MAX_EXAMINED_REQUESTS)
