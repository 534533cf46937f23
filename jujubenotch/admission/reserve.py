"""The slots and the power that lower tiers leave free for the upper ones.

By Little's law the slots that a load takes on average are its arrivals a second
times the seconds that each holds a slot. Arrivals vary about that mean by its
square root, so that the need of the upper tiers is the mean and some square
roots more. What they run already counts towards it.
"""

import math

from jujubenotch.admission.slots import POWER_TOLERANCE_WATTS, is_power_metered
from jujubenotch.admission.state import Pool, TargetAccount, TierDemand, UpstreamAccount
from jujubenotch.estimates import count_event, read_rate
from jujubenotch.work import TIERS

RESERVE_DEVIATIONS = 2.0
COLD_RESERVE_SHARE = 0.1
MIN_RESERVE_SLOTS = 1
DEFAULT_HOLD_S = 1.0


def count_arrival(pool: Pool, target: str, tier: int, now_s: float) -> None:
    """Count a request that arrived, whether it is served or not.

    :param pool: The pool.
    :param target: The model or plain service that it needs.
    :param tier: Its tier.
    :param now_s: The present monotonic time, in seconds.
    """
    demand = pool.targets[target].demands[tier]
    count_event(demand.fast, now_s)
    count_event(demand.slow, now_s)
    pool.targets[target].needs_at_s = None


def offered_slots(demand: TierDemand, now_s: float) -> float:
    """Estimate the slots that the recent arrivals of a tier take.

    :param demand: The tier's demand for one target.
    :param now_s: The present monotonic time, in seconds.
    :returns: Slots, on average.
    """
    rate = max(read_rate(demand.fast, now_s), read_rate(demand.slow, now_s))
    hold_s = DEFAULT_HOLD_S if demand.hold_s.value is None else demand.hold_s.value
    return rate * hold_s


def required_free(pool: Pool, target: TargetAccount, tier: int, now_s: float) -> int:
    """Tell how many slots a start of a tier has to leave free for those above.

    Each tier is protected from all below it, so that a lower tier never needs
    to leave less than a higher one.

    :param pool: The pool.
    :param target: The account of a model or plain service.
    :param tier: The tier that would start a request.
    :param now_s: The present monotonic time, in seconds.
    :returns: Slots, at most all but one.
    """
    needs = _read_needs(pool, target, now_s)
    required = upper_running = 0
    for lower in range(1, tier + 1):
        upper_running += target.running_by_tier[lower - 1]
        if needs[lower]:
            missing = needs[lower] - upper_running
            required = max(required, missing, MIN_RESERVE_SLOTS)
    return min(required, max(0, target.slots - 1))


def leaves_reserve(
    pool: Pool, account: UpstreamAccount, tier: int, now_s: float
) -> bool:
    """Tell whether a start on an upstream leaves the upper tiers their slots.

    :param pool: The pool.
    :param account: The upstream, which has a free slot.
    :param tier: The tier that would start a request.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether it does, over the group and on this upstream.
    """
    if tier == 0:
        return True
    for name in account.record.models:
        target = pool.targets[name]
        if target.free - 1 < required_free(pool, target, tier, now_s):
            return False
        if not _leaves_part(pool, target, account, tier, now_s):
            return False
    return True


def leaves_power(pool: Pool, account: UpstreamAccount, tier: int, now_s: float) -> bool:
    """Tell whether a start holds the power cap and the upper tiers' part of it.

    :param pool: The pool.
    :param account: The upstream.
    :param tier: The tier that would start a request.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether it does.
    """
    if not is_power_metered(pool, account):
        return True
    free_watts = pool.power_watts - pool.watts_in_use - account.record.watts_per_slot
    if tier == 0:
        return free_watts >= -POWER_TOLERANCE_WATTS
    reserved_watts = sum(
        required_free(pool, target, tier, now_s) * target.mean_watts
        for target in pool.targets.values()
    )
    most_watts = pool.power_watts - account.record.watts_per_slot
    needed_watts = max(0.0, min(reserved_watts, most_watts))
    return free_watts >= needed_watts - POWER_TOLERANCE_WATTS


def _leaves_part(pool, target, account, tier, now_s):
    """Spread the reserve, so that no upstream is filled by lower tiers alone."""
    needs = _read_needs(pool, target, now_s)
    lower_running = account.running - sum(account.running_by_tier[:1])
    for lower in range(1, tier + 1):
        part = min(needs[lower], target.slots - 1) * account.capacity // target.slots
        if lower_running + 1 > max(1, account.capacity - part):
            return False
        lower_running -= account.running_by_tier[lower]
    return True


def _read_needs(pool, target, now_s):
    """Return the slots that the tiers above each tier need."""
    if target.needs_at_s != now_s:
        target.needs = _work_out_needs(pool, target, now_s)
        target.needs_at_s = now_s
    return target.needs


def _work_out_needs(pool, target, now_s):
    needs = [0] * TIERS
    offered = 0.0
    is_used = is_seen = is_measured = False
    for tier in range(TIERS - 1):
        demand = target.demands[tier]
        has_arrived = demand.slow.count > 0
        is_used = is_used or has_arrived or tier in pool.tiers
        is_seen = is_seen or has_arrived
        is_measured = is_measured or demand.hold_s.samples > 0
        offered += offered_slots(demand, now_s)
        if not is_used:
            continue
        need = math.ceil(offered + RESERVE_DEVIATIONS * math.sqrt(offered))
        if not (is_seen and is_measured):
            need = max(need, int(COLD_RESERVE_SHARE * target.slots))
        needs[tier + 1] = max(MIN_RESERVE_SLOTS, need)
    return needs
