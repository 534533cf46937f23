"""Decides how many upstreams a service has in each data centre, both kinds together."""

import math

from jujubenotch.forwarding import ServiceScaling
from jujubenotch.scaling.model import ServicePlan

# A leaving upstream cuts streams, so a small excess is kept.
MIN_EXCESS = 2
MIN_EXCESS_SHARE = 0.04
# The utilisation aimed at leaves room for smaller increases, which aren't worth a call.
MIN_INCREASE_SHARE = 0.02
# A scale-in step removes EXCESS_STEP_SHARE of the excess, but at most MAX_STEP_SHARE of
# all upstreams. The pause lets demand and list show its effect before the next step.
EXCESS_STEP_SHARE = 0.34
MAX_STEP_SHARE = 0.1
STEP_PAUSE_S = 5.0


def clamp_totals(plan: ServicePlan, scaling: ServiceScaling) -> None:
    """Bring the total of each data centre within the limits.

    :param plan: The service's plan; changed in place.
    :param scaling: The limits.
    """
    for name, total in plan.totals.items():
        plan.totals[name] = max(
            scaling.min_upstreams, min(scaling.max_upstreams, total)
        )


def update_totals(
    plan: ServicePlan,
    scaling: ServiceScaling,
    needed: int | None,
    *,
    missing: dict[str, int],
    may_lower: bool,
    now_s: float,
) -> None:
    """Raise the totals to what is needed at once, or lower them by one step.

    What a data centre can't provide is ordered in the others.

    :param plan: The service's plan; changed in place.
    :param scaling: The limits and prices.
    :param needed: The upstreams that the demand needs; ``None`` when unknown.
    :param missing: Upstreams that each data centre fails to provide.
    :param may_lower: Whether nothing speaks against ordering less.
    :param now_s: The present time, in seconds.
    """
    clamp_totals(plan, scaling)
    if needed is not None:
        is_higher = needed > plan.needed * (1 + MIN_INCREASE_SHARE)
        if is_higher or (needed < plan.needed and may_lower):
            plan.needed = needed
    wanted = plan.needed + sum(missing.values())
    present = sum(plan.totals.values())
    if present < wanted:
        _raise(plan.totals, scaling, wanted - present, missing)
        return
    excess = present - wanted
    threshold = max(MIN_EXCESS, math.ceil(MIN_EXCESS_SHARE * present))
    if may_lower and excess >= threshold and now_s - plan.lowered_s >= STEP_PAUSE_S:
        step = min(
            math.ceil(EXCESS_STEP_SHARE * excess), math.ceil(MAX_STEP_SHARE * present)
        )
        if _lower(plan.totals, scaling, step):
            plan.lowered_s = now_s


def find_price(scaling: ServiceScaling, data_centre: str) -> float:
    """Return the relative price of an upstream in a data centre.

    :param scaling: The prices.
    :param data_centre: The data centre's name.
    """
    return scaling.data_centre_prices.get(data_centre, 1.0)


# Totals in inverse proportion to the prices put more upstreams where they are cheap
# without concentrating them: the loss of any data centre leaves most of them.
def _weigh(scaling, name, total):
    return (total * (find_price(scaling, name) or 1.0), name)


def _raise(totals, scaling, count, missing):
    for _ in range(count):
        names = [
            name
            for name, total in totals.items()
            if total < scaling.max_upstreams and not missing.get(name)
        ]
        if not names:
            return
        name = min(names, key=lambda each: _weigh(scaling, each, totals[each] + 1))
        totals[name] += 1


def _lower(totals, scaling, count):
    """Lower the total of one data centre, as each data centre costs a call."""
    names = [name for name, total in totals.items() if total > scaling.min_upstreams]
    if not names:
        return False
    name = max(names, key=lambda each: _weigh(scaling, each, totals[each]))
    totals[name] = max(scaling.min_upstreams, totals[name] - count)
    return True
