"""Keeps the pools of one instance and says when each must be looked at again.

A pool decides; the keeper asks it after each change and when the pool's own
time has come, and hands what was decided to one callback.
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
    configure_pool,
    enqueue,
    expire,
    grant_ready,
    make_pool,
    next_wakeup_s,
    record_load,
    release,
    withdraw,
)
from jujubenotch.capacity.groups import GroupPlan
from jujubenotch.outcomes import Refusal

MIN_WAIT_S = 0.001
MAX_WAIT_S = 0.5

logger = logging.getLogger(__name__)

Deliver = Callable[[str, Grant | Refusal], None]


@dataclass(kw_only=True)
class PoolKeeper:
    """The pools that one instance grants from, by the name of their group.

    :param home: What the pools' grants name as their home; empty for an
        instance's own conservative share.
    :param id_prefix: Starts the ids of grants; unique over all instances.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :param deliver: Takes a request's id and what was decided on it.

    >>> keeper = PoolKeeper(
    ...     home="a", id_prefix="a/1", read_clock_s=time.monotonic, deliver=print
    ... )
    """

    home: str
    id_prefix: str
    read_clock_s: Callable[[], float]
    deliver: Deliver
    pools: dict[str, Pool] = field(default_factory=dict)
    pool_numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    changed: asyncio.Event = field(default_factory=asyncio.Event)


def configure_group(
    keeper: PoolKeeper, plan: GroupPlan, *, share: float, now_s: float
) -> None:
    """Make the pool of a group, or give it new upstreams, limits and share.

    :param keeper: The keeper.
    :param plan: What the group is made of.
    :param share: The part of each upstream that may be granted, up to 1.
    :param now_s: The present monotonic time, in seconds.
    """
    pool = keeper.pools.get(plan.name)
    if pool is None:
        pool = make_pool(
            name=plan.name,
            home=keeper.home,
            now_s=now_s,
            id_prefix=f"{keeper.id_prefix}/{next(keeper.pool_numbers)}",
        )
        keeper.pools[plan.name] = pool
    configure_pool(
        pool,
        upstreams=list(plan.upstreams),
        limits=plan.limits,
        power_watts=plan.power_watts,
        share=share,
        now_s=now_s,
        tiers=plan.tiers,
    )
    pump(keeper, plan.name, now_s)


def submit(keeper: PoolKeeper, group: str, request: WorkRequest, now_s: float) -> None:
    """Queue a request; the answer comes by the keeper's callback.

    :param keeper: The keeper.
    :param group: The group's name; its pool exists.
    :param request: The request.
    :param now_s: The present monotonic time, in seconds.
    """
    refusal = enqueue(keeper.pools[group], request, now_s)
    if refusal is not None:
        keeper.deliver(request.request_id, refusal)
    pump(keeper, group, now_s)


def cancel(keeper: PoolKeeper, group: str, request_id: str, now_s: float) -> None:
    """Take a waiting request out of its queue.

    :param keeper: The keeper.
    :param group: The group's name.
    :param request_id: The request's id; an unknown one is ignored.
    :param now_s: The present monotonic time, in seconds.
    """
    if group not in keeper.pools:
        return
    withdraw(keeper.pools[group], request_id, now_s)
    pump(keeper, group, now_s)


def give_back(
    keeper: PoolKeeper, group: str, grant_id: str, report: WorkReport, now_s: float
) -> None:
    """Take back a slot.

    :param keeper: The keeper.
    :param group: The group's name.
    :param grant_id: The grant's id; an unknown one is ignored.
    :param report: What was seen of the work.
    :param now_s: The present monotonic time, in seconds.
    """
    if group not in keeper.pools:
        return
    release(keeper.pools[group], grant_id, report, now_s)
    pump(keeper, group, now_s)


def take_load(
    keeper: PoolKeeper, group: str, upstream: str, load: LoadReport, now_s: float
) -> None:
    """Take in an upstream's own report.

    :param keeper: The keeper.
    :param group: The group's name.
    :param upstream: The upstream's name.
    :param load: What it says of its load.
    :param now_s: The present monotonic time, in seconds.
    """
    if group not in keeper.pools:
        return
    record_load(keeper.pools[group], upstream, load, now_s)
    pump(keeper, group, now_s)


def pump(keeper: PoolKeeper, group: str, now_s: float) -> None:
    """Hand out what a pool has decided by now.

    :param keeper: The keeper.
    :param group: The group's name; its pool exists.
    :param now_s: The present monotonic time, in seconds.
    """
    pool = keeper.pools[group]
    for refused in expire(pool, now_s):
        keeper.deliver(refused.request_id, refused.refusal)
    for grant in grant_ready(pool, now_s):
        keeper.deliver(grant.request_id, grant)
    keeper.changed.set()


async def run_keeper(keeper: PoolKeeper) -> None:
    """Look at each pool whenever its time has come; runs until cancelled.

    :param keeper: The keeper.
    """
    while True:
        keeper.changed.clear()
        wait_s = _read_wait_s(keeper, keeper.read_clock_s())
        # In Python 3.11 wait_for drops a cancellation that comes in the same
        # turn of the loop as the event; timeout doesn't.
        try:
            async with asyncio.timeout(wait_s):
                await keeper.changed.wait()
            continue
        except TimeoutError:
            pass
        for group in tuple(keeper.pools):
            _pump_guarded(keeper, group)


def _read_wait_s(keeper, now_s):
    try:
        wakeups_s = [next_wakeup_s(pool, now_s) for pool in keeper.pools.values()]
    except Exception:
        logger.exception("wakeup-unknown")
        return MAX_WAIT_S
    next_s = min(
        (wakeup_s for wakeup_s in wakeups_s if wakeup_s is not None), default=None
    )
    if next_s is None:
        return MAX_WAIT_S
    return min(MAX_WAIT_S, max(MIN_WAIT_S, next_s - now_s))


def _pump_guarded(keeper, group):
    try:
        pump(keeper, group, keeper.read_clock_s())
    except Exception:
        logger.exception("pool-failed", extra={"fields": {"group": group}})
