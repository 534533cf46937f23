"""Keeps the counts of slots by upstream and by target."""

from jujubenotch.admission.state import HeldSlot, Pool, TargetAccount, UpstreamAccount
from jujubenotch.invariants import assert_invariant
from jujubenotch.work import TIERS

POWER_TOLERANCE_WATTS = 1e-6


def is_in_service(account: UpstreamAccount) -> bool:
    """Tell whether an upstream may get new work at all.

    :param account: The upstream.
    :returns: Whether it is configured and not leaving.
    """
    return account.is_configured and not account.is_leaving


def is_served(pool: Pool, target: str) -> bool:
    """Tell whether any upstream in service serves a target.

    :param pool: The pool.
    :param target: The model or plain service.
    :returns: Whether one does.
    """
    account = pool.targets.get(target)
    return account is not None and any(map(is_in_service, account.accounts))


def is_power_metered(pool: Pool, account: UpstreamAccount) -> bool:
    """Tell whether requests on an upstream count against a power cap.

    :param pool: The pool.
    :param account: The upstream.
    :returns: Whether there is a cap and a request there takes power.
    """
    return pool.power_watts is not None and account.record.watts_per_slot > 0


def refresh_capacity(pool: Pool, account: UpstreamAccount) -> None:
    """Set how many requests an upstream may run at present.

    :param pool: The pool.
    :param account: The upstream, whose state has changed.
    """
    capacity = account.slots if is_in_service(account) else 0
    _change_counts(pool, account, capacity=capacity, running=account.running)


def rebuild_targets(pool: Pool) -> None:
    """Build the accounts of targets from the upstreams.

    :param pool: The pool, whose upstreams have changed.
    """
    former = pool.targets
    pool.targets = {}
    for account in pool.upstreams.values():
        for name in account.record.models:
            target = pool.targets.get(name)
            if target is None:
                target = former.get(name) or TargetAccount(name=name)
                target.accounts = []
                target.slots = target.free = 0
                target.running_by_tier = [0] * TIERS
                target.needs_at_s = None
                pool.targets[name] = target
            target.accounts.append(account)
            target.slots += account.capacity
            target.free += account.free
    for target in pool.targets.values():
        watts = [account.record.watts_per_slot for account in target.accounts]
        target.mean_watts = sum(watts) / len(watts)
    _recount_running(pool)


def take_slot(pool: Pool, account: UpstreamAccount, held: HeldSlot) -> None:
    """Count a slot as taken.

    :param pool: The pool.
    :param account: The upstream.
    :param held: The slot.
    """
    account.running_by_tier[held.tier] += 1
    target = pool.targets.get(held.target)
    if target is not None:
        target.running_by_tier[held.tier] += 1
    running = account.running + 1
    _change_counts(pool, account, capacity=account.capacity, running=running)
    pool.watts_in_use += held.watts
    pool.floor_running += held.is_floor
    pool.held[held.grant.grant_id] = held


def give_slot(pool: Pool, account: UpstreamAccount, held: HeldSlot) -> None:
    """Count a slot as free again.

    :param pool: The pool.
    :param account: The upstream.
    :param held: The slot.
    """
    del pool.held[held.grant.grant_id]
    pool.held_requests.discard(held.grant.request_id)
    account.running_by_tier[held.tier] -= 1
    target = pool.targets.get(held.target)
    if target is not None:
        target.running_by_tier[held.tier] -= 1
    running = account.running - 1
    _change_counts(pool, account, capacity=account.capacity, running=running)
    pool.floor_running -= held.is_floor
    pool.watts_in_use = pool.watts_in_use - held.watts if pool.held else 0.0
    assert_invariant(
        account.running >= 0,
        "slots-not-negative",
        pool=pool.name,
        upstream=account.name,
    )


def _recount_running(pool):
    for held in pool.held.values():
        target = pool.targets.get(held.target)
        if target is not None:
            target.running_by_tier[held.tier] += 1


def _change_counts(pool, account, *, capacity, running):
    free = account.free
    slots = account.capacity
    account.capacity = capacity
    account.running = running
    for name in account.record.models:
        target = pool.targets.get(name)
        if target is not None:
            if capacity != slots:
                target.slots += capacity - slots
                target.needs_at_s = None
            target.free += account.free - free
