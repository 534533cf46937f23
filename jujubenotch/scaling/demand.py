"""Estimates the slots that a service needs, and when its demand can't be trusted."""

import statistics
from collections.abc import Collection, Mapping
from enum import StrEnum

from jujubenotch.scaling.model import DemandHistory, DemandSample
from jujubenotch.usage import ServiceDemand

# Covers two periods of a swing of 11 s, so that a trough is not taken for less demand.
PEAK_WINDOW_S = 30.0
# A demand that stays low for half of this time has fallen; before, callers may be cut
# off.
HISTORY_S = 120.0
# After this time without a lost instance the remaining ones have taken over.
INSTANCE_WINDOW_S = 60.0
# Until one period of such a swing has been seen, its peak is unknown.
YOUNG_S = 12.0
# The free tenth of the slots absorbs random variation: two standard deviations of 500
# requests in progress are 9%.
TARGET_UTILISATION = 0.9
# Refused callers come back several times, so their arrivals overstate the demand.
MAX_REFUSED_RATIO = 2.0
# Demand this far above the earlier peak is new growth; less is noise.
GROWTH_RATIO = 1.1
TREND_S = 2.0
# A jump isn't a ramp: its slope is not extrapolated further than this.
MAX_EXTRAPOLATION = 1.2
# Bursts end within 9 s. What is ordered when one begins serves its last 3 s at best,
# and cuts streams when it leaves, so only this multiple of the usual demand is followed
# at once. More is followed once it has lasted for half of the window.
MAX_BURST_RATIO = 1.6
USUAL_WINDOW_S = 20.0
# Reports and decisions take this long in addition to the boot of an upstream.
REACTION_S = 2.0
# A drop below this share of the median may mean that callers are cut off.
DROP_SHARE = 0.5
DROP_WINDOW_S = 5.0
# Share of the recently reporting instances that must still report before upstreams are
# scaled in. In a large fleet some instances are always restarting.
INSTANCE_SHARE = 0.97


class DemandDoubt(StrEnum):
    """Why the demand is no reason to order fewer upstreams."""

    ABSENT = "no-demand"
    YOUNG = "young-demand"
    INSTANCES_LOST = "instances-lost"
    DROPPED = "demand-dropped"
    PARTIAL = "data-centre-silent"


def record_demand(
    history: DemandHistory, figures: Mapping[str, ServiceDemand], now_s: float
) -> None:
    """Record the demand that the instances of all data centres have reported.

    :param history: The service's history; changed in place.
    :param figures: The figures by data centre.
    :param now_s: The present time, in seconds.
    """
    offered = {name: _estimate_offered(each) for name, each in figures.items()}
    history.samples.append(
        DemandSample(
            at_s=now_s,
            offered_slots=sum(offered.values()),
            offered_by_place=offered,
            instances=sum(each.instances for each in figures.values()),
        )
    )
    history.has_arrivals |= any(each.arrived_per_s > 0 for each in figures.values())
    while history.samples[0].at_s < now_s - HISTORY_S:
        history.samples.popleft()


def _estimate_offered(figures):
    accepted_per_s = figures.arrived_per_s - figures.refused_per_s
    ratio = MAX_REFUSED_RATIO
    if accepted_per_s > 0:
        ratio = min(ratio, figures.refused_per_s / accepted_per_s)
    return figures.busy_slots * (1 + max(0.0, ratio))


def find_needed_slots(
    history: DemandHistory, boot_s: float, now_s: float
) -> float | None:
    """Find the slots that a service needs by the time new upstreams serve.

    A swing returns to its peak, so the peak of the last tens of seconds counts. Only
    demand above that peak is extrapolated by its trend. Bursts are followed in part.

    :param history: The service's history.
    :param boot_s: The time until a new upstream serves, in seconds.
    :param now_s: The present time, in seconds.
    :returns: The slots; ``None`` while no demand is known.
    """
    recent = [
        sample for sample in history.samples if now_s - sample.at_s <= PEAK_WINDOW_S
    ]
    if not history.has_arrivals or not recent:
        return None
    peak = max(sample.offered_slots for sample in recent)
    usual = statistics.median(
        sample.offered_slots
        for sample in history.samples
        if now_s - sample.at_s <= USUAL_WINDOW_S
    )
    wanted = max(peak, _extrapolate(recent, boot_s, now_s))
    return min(wanted, MAX_BURST_RATIO * usual) / TARGET_UTILISATION


def _extrapolate(recent, boot_s, now_s):
    last = recent[-1]
    earlier = [sample for sample in recent if now_s - sample.at_s >= TREND_S]
    if not earlier or now_s - recent[0].at_s < YOUNG_S:
        return 0.0
    earlier_peak = max(sample.offered_slots for sample in earlier)
    if last.offered_slots < GROWTH_RATIO * earlier_peak:
        return 0.0
    base = earlier[-1]
    slope = (last.offered_slots - base.offered_slots) / (last.at_s - base.at_s)
    predicted = last.offered_slots + max(0.0, slope) * (boot_s + REACTION_S)
    return min(predicted, MAX_EXTRAPOLATION * last.offered_slots)


def find_doubt(
    history: DemandHistory, now_s: float, places: Collection[str] = ()
) -> DemandDoubt | None:
    """Return why the demand is no reason to order less; ``None`` when it is one.

    :param history: The service's history.
    :param now_s: The present time, in seconds.
    :param places: The data centres with instances. One that has never reported may be
        cut off from the holder of the lease, while its callers use the same upstreams.
    """
    samples = history.samples
    if not samples or not history.has_arrivals:
        return DemandDoubt.ABSENT
    counts = [each for each in samples if now_s - each.at_s <= INSTANCE_WINDOW_S]
    most = max((each.instances for each in counts), default=0)
    if samples[-1].instances < INSTANCE_SHARE * most:
        return DemandDoubt.INSTANCES_LOST
    if _has_dropped(samples, now_s):
        return DemandDoubt.DROPPED
    if now_s - samples[0].at_s < PEAK_WINDOW_S:
        return DemandDoubt.YOUNG
    if not samples[-1].offered_by_place.keys() >= set(places):
        return DemandDoubt.PARTIAL
    return None


def _has_dropped(samples, now_s):
    """Return whether the demand in any data centre is suddenly far below its median."""
    recent = [each for each in samples if now_s - each.at_s <= DROP_WINDOW_S]
    if not recent:
        return True
    for place in samples[0].offered_by_place.keys() | samples[-1].offered_by_place:
        levels = [each.offered_by_place.get(place, 0.0) for each in samples]
        threshold = statistics.fmean(levels[-len(recent) :]) / DROP_SHARE
        # The median is the costly part, and it is no higher than the highest level.
        if threshold < max(levels) and threshold < statistics.median(levels):
            return True
    return False
