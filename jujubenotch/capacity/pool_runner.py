"""Runs the pools of one instance.

A pool decides which requests are granted or refused, but does not act by itself.
The pool runner asks each pool for its decisions after every change and at the
pool's next wake-up time, and passes the decisions to a callback.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from jujubenotch.admission import (
    Grant,
    LoadReport,
    Pool,
    WorkReport,
    WorkRequest,
    compute_next_wakeup_s,
    configure_pool,
    enqueue,
    grant_ready,
    make_pool,
    record_load,
    refuse_unservable,
    release_grant,
    withdraw,
)
from jujubenotch.capacity.groups import GroupPlan
from jujubenotch.outcomes import Refusal

MIN_WAIT_S = 0.001
MAX_WAIT_S = 0.5

logger = logging.getLogger(__name__)

DecisionCallback = Callable[[str, Grant | Refusal], None]


@dataclass(kw_only=True)
class PoolRunner:
    """The pools that one instance grants slots from.

    :param coordinator: The coordinator's name in the pools' grants; empty for an
        instance's conservative fallback share.
    :param id_prefix: The prefix of grant ids; unique across all instances.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :param deliver: Takes a request's id and the decision on it.
    :param pools: The pools by the name of their group.
    :param pool_numbers: The numbers for the next pools, used in grant ids.
    :param changed: Set when a pool has changed, to recompute the wake-up time.

    >>> pool_runner = PoolRunner(
    ...     coordinator="a", id_prefix="a/1", read_clock_s=time.monotonic, deliver=print
    ... )
    """

    coordinator: str
    id_prefix: str
    read_clock_s: Callable[[], float]
    deliver: DecisionCallback
    pools: dict[str, Pool] = field(default_factory=dict)
    pool_numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    changed: asyncio.Event = field(default_factory=asyncio.Event)


def configure_group(
    pool_runner: PoolRunner, plan: GroupPlan, *, share: float, now_s: float
) -> None:
    """Create the pool of a group, or update its upstreams, limits and share.

    :param pool_runner: The pool runner.
    :param plan: The group's upstreams and limits.
    :param share: The fraction of each upstream's slots that may be granted, at
        most 1.
    :param now_s: The current monotonic time, in seconds.
    """
    pool = pool_runner.pools.get(plan.name)
    if pool is None:
        pool = make_pool(
            name=plan.name,
            coordinator=pool_runner.coordinator,
            now_s=now_s,
            id_prefix=f"{pool_runner.id_prefix}/{next(pool_runner.pool_numbers)}",
        )
        pool_runner.pools[plan.name] = pool
    configure_pool(
        pool,
        upstreams=list(plan.upstreams),
        limits=plan.limits,
        power_watts=plan.power_watts,
        share=share,
        now_s=now_s,
        tiers=plan.tiers,
    )
    deliver_decisions(pool_runner, plan.name, now_s)


def submit(
    pool_runner: PoolRunner, group: str, request: WorkRequest, now_s: float
) -> None:
    """Queue a request; the decision is passed to the pool runner's callback.

    :param pool_runner: The pool runner.
    :param group: The group's name; its pool must exist.
    :param request: The request.
    :param now_s: The current monotonic time, in seconds.
    """
    refusal = enqueue(pool_runner.pools[group], request, now_s)
    if refusal is not None:
        pool_runner.deliver(request.request_id, refusal)
    deliver_decisions(pool_runner, group, now_s)


def cancel(pool_runner: PoolRunner, group: str, request_id: str, now_s: float) -> None:
    """Remove a waiting request from its queue.

    :param pool_runner: The pool runner.
    :param group: The group's name; an unknown group is ignored.
    :param request_id: The request's id; an unknown id is ignored.
    :param now_s: The current monotonic time, in seconds.
    """
    if group not in pool_runner.pools:
        return
    withdraw(pool_runner.pools[group], request_id, now_s)
    deliver_decisions(pool_runner, group, now_s)


def release_pool_grant(
    pool_runner: PoolRunner, group: str, grant_id: str, report: WorkReport, now_s: float
) -> None:
    """Release a slot.

    :param pool_runner: The pool runner.
    :param group: The group's name; an unknown group is ignored.
    :param grant_id: The grant's id; an unknown id is ignored.
    :param report: The outcome of the work.
    :param now_s: The current monotonic time, in seconds.
    """
    if group not in pool_runner.pools:
        return
    release_grant(pool_runner.pools[group], grant_id, report, now_s)
    deliver_decisions(pool_runner, group, now_s)


def apply_load_report(
    pool_runner: PoolRunner, group: str, upstream: str, load: LoadReport, now_s: float
) -> None:
    """Apply an upstream's load report to the pool of its group.

    :param pool_runner: The pool runner.
    :param group: The group's name; an unknown group is ignored.
    :param upstream: The upstream's name.
    :param load: The load report.
    :param now_s: The current monotonic time, in seconds.
    """
    if group not in pool_runner.pools:
        return
    record_load(pool_runner.pools[group], upstream, load, now_s)
    deliver_decisions(pool_runner, group, now_s)


def deliver_decisions(pool_runner: PoolRunner, group: str, now_s: float) -> None:
    """Pass all current decisions of a pool to the pool runner's callback.

    :param pool_runner: The pool runner.
    :param group: The group's name; its pool must exist.
    :param now_s: The current monotonic time, in seconds.
    """
    pool = pool_runner.pools[group]
    for refused in refuse_unservable(pool, now_s):
        pool_runner.deliver(refused.request_id, refused.refusal)
    for grant in grant_ready(pool, now_s):
        pool_runner.deliver(grant.request_id, grant)
    pool_runner.changed.set()


async def run_pools(pool_runner: PoolRunner) -> None:
    """Collect the pools' decisions at each wake-up time, until cancelled.

    :param pool_runner: The pool runner.
    """
    while True:
        pool_runner.changed.clear()
        wait_s = _compute_wait_s(pool_runner, pool_runner.read_clock_s())
        # In Python 3.11, asyncio.wait_for loses a cancellation that arrives in the
        # same iteration of the event loop as the event; asyncio.timeout does not.
        try:
            async with asyncio.timeout(wait_s):
                await pool_runner.changed.wait()
            continue
        except TimeoutError:
            pass
        for group in tuple(pool_runner.pools):
            _deliver_guarded(pool_runner, group)


def _compute_wait_s(pool_runner, now_s):
    try:
        wakeups_s = [
            compute_next_wakeup_s(pool, now_s) for pool in pool_runner.pools.values()
        ]
    except Exception:
        logger.exception("wakeup-time-failed")
        return MAX_WAIT_S
    next_s = min(
        (wakeup_s for wakeup_s in wakeups_s if wakeup_s is not None), default=None
    )
    if next_s is None:
        return MAX_WAIT_S
    return min(MAX_WAIT_S, max(MIN_WAIT_S, next_s - now_s))


def _deliver_guarded(pool_runner, group):
    try:
        deliver_decisions(pool_runner, group, pool_runner.read_clock_s())
    except Exception:
        logger.exception("pool-failed", extra={"fields": {"group": group}})
