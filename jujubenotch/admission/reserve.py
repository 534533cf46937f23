"""The slots and the power that lower tiers must leave free for upper tiers.

By Little's law, the mean number of slots in use is the arrival rate times the
mean time that a request holds a slot. For random arrivals the standard
deviation of that number is the square root of its mean. The reserve for the
upper tiers is therefore the mean plus a few standard deviations, less the
requests of these tiers that are already running.
"""

import math

from jujubenotch.admission.slots import POWER_TOLERANCE_WATTS, is_power_metered
from jujubenotch.admission.state import Pool, TargetUsage, TierDemand, UpstreamUsage
from jujubenotch.estimates import count_event, read_rate
from jujubenotch.work import TIERS

RESERVE_DEVIATIONS = 2.0
COLD_RESERVE_SHARE = 0.1
MIN_RESERVE_SLOTS = 1
DEFAULT_HOLD_S = 1.0


def count_arrival(pool: Pool, target: str, tier: int, now_s: float) -> None:
    """Count the arrival of a request, whether or not the request gets a slot.

    :param pool: The pool.
    :param target: The model or plain service that the request needs.
    :param tier: The request's tier.
    :param now_s: The present monotonic time, in seconds.
    """
    demand = pool.targets[target].demands[tier]
    count_event(demand.fast_rate, now_s)
    count_event(demand.slow_rate, now_s)
    pool.targets[target].upper_needs_at_s = None


def estimate_offered_slots(demand: TierDemand, now_s: float) -> float:
    """Estimate how many slots the recent arrivals of a tier keep in use.

    :param demand: The tier's demand for one target.
    :param now_s: The present monotonic time, in seconds.
    :returns: The mean number of slots.
    """
    rate = max(read_rate(demand.fast_rate, now_s), read_rate(demand.slow_rate, now_s))
    hold_s = DEFAULT_HOLD_S if demand.hold_s.value is None else demand.hold_s.value
    return rate * hold_s


def compute_required_free(
    pool: Pool, target: TargetUsage, tier: int, now_s: float
) -> int:
    """Return how many slots a tier must leave free for the tiers above it.

    Each tier is protected from all tiers below it, so a lower tier never has to
    leave fewer slots free than a higher tier.

    :param pool: The pool.
    :param target: The usage of a model or plain service.
    :param tier: The tier of the request that would start.
    :param now_s: The present monotonic time, in seconds.
    :returns: A number of slots, at most one less than the target has.
    """
    upper_needs = _read_upper_needs(pool, target, now_s)
    required = upper_running = 0
    for lower in range(1, tier + 1):
        upper_running += target.running_by_tier[lower - 1]
        if upper_needs[lower]:
            missing = upper_needs[lower] - upper_running
            required = max(required, missing, MIN_RESERVE_SLOTS)
    return min(required, max(0, target.slots - 1))


def keeps_slot_reserve(
    pool: Pool, usage: UpstreamUsage, tier: int, now_s: float
) -> bool:
    """Tell whether a start leaves enough slots free for the tiers above.

    :param pool: The pool.
    :param usage: The usage of an upstream with a free slot.
    :param tier: The tier of the request that would start.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether the reserve is kept, both over all upstreams of each
        target concerned and on this upstream.
    """
    if tier == 0:
        return True
    for name in usage.record.models:
        target = pool.targets[name]
        if target.free - 1 < compute_required_free(pool, target, tier, now_s):
            return False
        if not _keeps_upstream_part(pool, target, usage, tier, now_s):
            return False
    return True


def keeps_power_reserve(
    pool: Pool, usage: UpstreamUsage, tier: int, now_s: float
) -> bool:
    """Tell whether a start stays within the power cap and leaves the reserve free.

    The reserve is the power of the slots that are reserved for the tiers above.

    :param pool: The pool.
    :param usage: The usage of the upstream that would run the request.
    :param tier: The tier of the request that would start.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether enough power is left.
    """
    if not is_power_metered(pool, usage):
        return True
    free_watts = pool.power_watts - pool.watts_in_use - usage.record.watts_per_slot
    if tier == 0:
        return free_watts >= -POWER_TOLERANCE_WATTS
    reserved_watts = sum(
        compute_required_free(pool, target, tier, now_s) * target.mean_watts
        for target in pool.targets.values()
    )
    max_reserved_watts = pool.power_watts - usage.record.watts_per_slot
    needed_watts = max(0.0, min(reserved_watts, max_reserved_watts))
    return free_watts >= needed_watts - POWER_TOLERANCE_WATTS


def _keeps_upstream_part(pool, target, usage, tier, now_s):
    """Tell whether a start leaves this upstream's part of the reserve free.

    The reserve is spread over the upstreams in proportion to their capacity, so
    that requests of lower tiers do not fill some upstreams completely while all
    reserved slots are on others.
    """
    upper_needs = _read_upper_needs(pool, target, now_s)
    lower_running = usage.running - sum(usage.running_by_tier[:1])
    for lower in range(1, tier + 1):
        part = (
            min(upper_needs[lower], target.slots - 1) * usage.capacity // target.slots
        )
        if lower_running + 1 > max(1, usage.capacity - part):
            return False
        lower_running -= usage.running_by_tier[lower]
    return True


def _read_upper_needs(pool, target, now_s):
    """Return, for each tier, the number of slots that the tiers above it need."""
    if target.upper_needs_at_s != now_s:
        target.upper_needs = _compute_upper_needs(pool, target, now_s)
        target.upper_needs_at_s = now_s
    return target.upper_needs


def _compute_upper_needs(pool, target, now_s):
    upper_needs = [0] * TIERS
    offered = 0.0
    is_used = is_seen = is_measured = False
    for tier in range(TIERS - 1):
        demand = target.demands[tier]
        has_arrived = demand.slow_rate.count > 0
        is_used = is_used or has_arrived or tier in pool.tiers
        is_seen = is_seen or has_arrived
        is_measured = is_measured or demand.hold_s.samples > 0
        offered += estimate_offered_slots(demand, now_s)
        if not is_used:
            continue
        need = math.ceil(offered + RESERVE_DEVIATIONS * math.sqrt(offered))
        if not (is_seen and is_measured):
            need = max(need, int(COLD_RESERVE_SHARE * target.slots))
        upper_needs[tier + 1] = max(MIN_RESERVE_SLOTS, need)
    return upper_needs
