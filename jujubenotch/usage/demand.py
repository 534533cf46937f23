"""Derives the demand for services from the totals of processes."""

from dataclasses import astuple

from jujubenotch.usage.gathering import LIVE_AGE_S, Gathered, TotalsSample
from jujubenotch.usage.model import ServiceDemand, ServiceTotals

# A new upstream takes about 4 s to start. The rates show a change of demand within
# less than that, and average over the several reports that they span.
RATE_SPAN_S = 3.0
# The first report of a process gives rates since its start. Those of a process that
# has run for longer are unknown until its second report.
MAX_FIRST_SPAN_S = 5.0


def find_demand(
    gathered: Gathered, now_s: float
) -> dict[tuple[str, str], ServiceDemand]:
    """Return the demand by service and data centre.

    Processes without a recent report are left out.

    :param gathered: The reports.
    :param now_s: The present time of the boot clock, in seconds.
    """
    rates: dict[tuple[str, str], list[float]] = {}
    ages_s: dict[str, list[float]] = {}
    for known in gathered.processes.values():
        age_s = now_s - known.made_s
        span = _find_span(known.samples)
        if age_s > LIVE_AGE_S or span is None:
            continue
        ages_s.setdefault(known.data_centre, []).append(age_s)
        for service, own in _find_rates(*span).items():
            total = rates.setdefault((service, known.data_centre), [0.0] * len(own))
            for index, rate in enumerate(own):
                total[index] += rate
    return {
        key: ServiceDemand(
            arrived_per_s=total[0],
            refused_per_s=total[1],
            prompt_tokens_per_s=total[2],
            answer_tokens_per_s=total[3],
            busy_slots=total[4],
            age_s=max(ages_s[key[1]]),
            instances=len(ages_s[key[1]]),
        )
        for key, total in rates.items()
    }


def _find_span(samples):
    """Return the samples between which rates are taken; ``None`` without two."""
    if not samples:
        return None
    newest = samples[-1]
    earlier = [
        each
        for each in samples
        if each is not newest and newest.up_s - each.up_s <= RATE_SPAN_S
    ]
    if earlier:
        return earlier[0], newest
    if len(samples) > 1:
        return samples[-2], newest
    if 0 < newest.up_s <= MAX_FIRST_SPAN_S:
        return TotalsSample(up_s=0.0, services={}), newest
    return None


def _find_rates(before, newest):
    span_s = newest.up_s - before.up_s
    rates = {}
    for service, totals in newest.services.items():
        past = astuple(before.services.get(service, ServiceTotals()))
        # Totals only grow. A smaller figure is a fault of the sender.
        rates[service] = [
            max(0.0, now - then) / span_s
            for now, then in zip(astuple(totals), past, strict=True)
        ]
    return rates
