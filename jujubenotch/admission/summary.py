"""Queries on a pool: its next wakeup time and a summary of its state."""

from jujubenotch.admission.guarantee import compute_guarantee_due_s
from jujubenotch.admission.slots import is_in_service
from jujubenotch.admission.state import Pool
from jujubenotch.admission.waits import estimate_drain_s
from jujubenotch.work import TIERS, PoolSummary

RESERVE_RECHECK_S = 0.25


def compute_next_wakeup_s(pool: Pool, now_s: float) -> float | None:
    """Return when :func:`refuse_unservable` and :func:`grant_ready` must run again.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    :returns: A monotonic time in seconds; ``None`` when no request waits and no
        refusal is left to return.
    """
    if pool.refused:
        return now_s
    first = pool.deadlines.peek()
    if first is None:
        return None
    due_s = [
        compute_guarantee_due_s(class_queue) for class_queue in pool.classes.values()
    ]
    times_s = [time_s for time_s in due_s if time_s is not None and time_s > now_s]
    times_s.append(first.request.deadline_s)
    times_s.append(pool.next_change_s)
    if any(target.free for target in pool.targets.values()):
        times_s.append(now_s + RESERVE_RECHECK_S)
    return min(times_s)


def summarise(pool: Pool, now_s: float) -> PoolSummary:
    """Summarise the waiting requests, running requests and free slots of a pool.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    :returns: The summary.
    """
    in_progress = [0] * TIERS
    free = 0
    for usage in pool.upstreams.values():
        for tier, running in enumerate(usage.running_by_tier):
            in_progress[tier] += running
        if is_in_service(usage):
            free += usage.free
    return PoolSummary(
        queued=tuple(pool.queued_by_tier),
        in_progress=tuple(in_progress),
        free_slots=free,
        wait_s=tuple(_find_longest_drain_s(pool, tier, now_s) for tier in range(TIERS)),
    )


def _find_longest_drain_s(pool, tier, now_s):
    waits_s = [
        estimate_drain_s(pool, target, tier, now_s) for target in pool.targets.values()
    ]
    return max(waits_s, default=0.0)
