"""Keeps the counts of slots for each upstream and each target."""

import math

from jujubenotch.admission.concurrency import read_limit
from jujubenotch.admission.state import HeldSlot, Pool, TargetUsage, UpstreamUsage
from jujubenotch.invariants import assert_invariant
from jujubenotch.routing import (
    accept_running_probe,
    find_next_change_s,
    is_ejected,
    read_external_running,
    record_own_running,
)
from jujubenotch.work import TIERS

POWER_TOLERANCE_WATTS = 1e-6


def is_in_service(usage: UpstreamUsage) -> bool:
    """Tell whether an upstream is in service.

    :param usage: The upstream's usage.
    :returns: Whether the upstream is configured and not leaving.
    """
    return usage.is_configured and not usage.is_leaving


def is_served(pool: Pool, target: str) -> bool:
    """Tell whether any upstream in service serves a target.

    :param pool: The pool.
    :param target: The name of a model or plain service.
    :returns: Whether at least one upstream in service serves the target.
    """
    usage = pool.targets.get(target)
    return usage is not None and any(map(is_in_service, usage.usages))


def is_power_metered(pool: Pool, usage: UpstreamUsage) -> bool:
    """Tell whether requests on an upstream count against a power cap.

    :param pool: The pool.
    :param usage: The upstream's usage.
    :returns: Whether the pool has a power cap and a request on this upstream
        takes power.
    """
    return pool.power_watts is not None and usage.record.watts_per_slot > 0


def refresh_capacity(pool: Pool, usage: UpstreamUsage, now_s: float) -> None:
    """Update the number of requests that an upstream may run at present.

    :param pool: The pool.
    :param usage: The usage of an upstream whose state has changed.
    :param now_s: The present monotonic time, in seconds.
    """
    capacity = _compute_capacity(usage, now_s)
    _change_counts(pool, usage, capacity=capacity, running=usage.running)
    if usage.health.ejected_until_s is None:
        pool.ejected.pop(usage.name, None)
    else:
        pool.ejected[usage.name] = usage
    pool.next_change_s = min(pool.next_change_s, _find_next_change_s(usage, now_s))


def refresh_changed(pool: Pool, now_s: float) -> None:
    """Update the capacities that have changed through the passing of time.

    Examples are the end of an ejection and an outdated load report.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    """
    if now_s < pool.next_change_s:
        return
    pool.next_change_s = math.inf
    for usage in pool.upstreams.values():
        accept_running_probe(usage.health, now_s)
        refresh_capacity(pool, usage, now_s)


def _compute_capacity(usage, now_s):
    if not is_in_service(usage) or is_ejected(usage.health, now_s):
        return 0
    slots = usage.record.slots
    if usage.reported_slots:
        slots = min(slots, usage.reported_slots)
    left = slots - read_external_running(usage.external_load, now_s)
    return max(1, min(read_limit(usage.limit, usage.slots), left))


def _find_next_change_s(usage, now_s):
    times_s = [
        usage.external_load.valid_until_s if usage.external_load.running else math.inf
    ]
    times_s.append(find_next_change_s(usage.health) or math.inf)
    return min((time_s for time_s in times_s if time_s > now_s), default=math.inf)


def rebuild_targets(pool: Pool) -> None:
    """Rebuild the usages of the targets from the upstreams.

    :param pool: A pool whose upstreams have changed.
    """
    former = pool.targets
    pool.targets = {}
    for usage in pool.upstreams.values():
        for name in usage.record.models:
            target = pool.targets.get(name)
            if target is None:
                target = former.get(name) or TargetUsage(name=name)
                target.usages = []
                target.slots = target.free = 0
                target.running_by_tier = [0] * TIERS
                target.upper_needs_at_s = None
                pool.targets[name] = target
            target.usages.append(usage)
            target.slots += usage.capacity
            target.free += usage.free
    for target in pool.targets.values():
        watts = [usage.record.watts_per_slot for usage in target.usages]
        target.mean_watts = sum(watts) / len(watts)
    _recount_running(pool)


def take_slot(pool: Pool, usage: UpstreamUsage, held: HeldSlot, now_s: float) -> None:
    """Count a slot as taken.

    :param pool: The pool.
    :param usage: The upstream's usage.
    :param held: The slot.
    :param now_s: The present monotonic time, in seconds.
    """
    usage.running_by_tier[held.tier] += 1
    target = pool.targets.get(held.target)
    if target is not None:
        target.running_by_tier[held.tier] += 1
    running = usage.running + 1
    _change_counts(pool, usage, capacity=usage.capacity, running=running)
    record_own_running(usage.external_load, running, now_s)
    pool.watts_in_use += held.watts
    pool.guaranteed_running += held.is_guaranteed
    pool.held[held.grant.grant_id] = held


def free_slot(pool: Pool, usage: UpstreamUsage, held: HeldSlot, now_s: float) -> None:
    """Count a slot as free again.

    :param pool: The pool.
    :param usage: The upstream's usage.
    :param held: The slot.
    :param now_s: The present monotonic time, in seconds.
    """
    del pool.held[held.grant.grant_id]
    pool.held_requests.discard(held.grant.request_id)
    usage.running_by_tier[held.tier] -= 1
    target = pool.targets.get(held.target)
    if target is not None:
        target.running_by_tier[held.tier] -= 1
    running = usage.running - 1
    _change_counts(pool, usage, capacity=usage.capacity, running=running)
    record_own_running(usage.external_load, running, now_s)
    pool.guaranteed_running -= held.is_guaranteed
    pool.watts_in_use = pool.watts_in_use - held.watts if pool.held else 0.0
    assert_invariant(
        usage.running >= 0,
        "slots-not-negative",
        pool=pool.name,
        upstream=usage.name,
    )


def _recount_running(pool):
    for held in pool.held.values():
        target = pool.targets.get(held.target)
        if target is not None:
            target.running_by_tier[held.tier] += 1


def _change_counts(pool, usage, *, capacity, running):
    free = usage.free
    slots = usage.capacity
    usage.capacity = capacity
    usage.running = running
    usage.free = max(0, capacity - running)
    for name in usage.record.models:
        target = pool.targets.get(name)
        if target is not None:
            if capacity != slots:
                target.slots += capacity - slots
                target.upper_needs_at_s = None
            target.free += usage.free - free
