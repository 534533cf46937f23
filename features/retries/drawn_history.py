"""Drawn histories of instances that repeat requests within one bound."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from jujubenotch.dispatch import (
    RetryBounds,
    RetryCredit,
    RetryEnd,
    RetryHistory,
    make_credit,
    may_retry,
    record_request,
    record_retry_end,
    record_success,
    spend_retry,
)
from jujubenotch.records import Limits

# When the disturbance begins, and for how long instances have served by then.
START_S = 96.0
LEAD_S = 15.0
REACTION_S = 0.1
# What each instance of the build before this one repeats in 10 s, whatever the bound.
EARLIER_MIN_RETRIES = 2


@dataclass(kw_only=True)
class BoundedSite:
    """A site, and when its requests came and its repeats arrived, in seconds.

    ``earlier`` has the instances that run the build before this one.
    """

    instances: int
    rate_per_s: float
    ratio: float
    extra: float
    window_s: float
    random: random.Random
    earlier: set[int] = field(default_factory=set)
    requests_s: list[float] = field(default_factory=list)
    repeats_s: list[float] = field(default_factory=list)
    failures: int = 0

    @property
    def bounds(self):
        return RetryBounds(
            ratio=self.ratio,
            extra=self.extra,
            window_s=self.window_s,
            instances=self.instances,
        )


def play(
    site,
    seconds,
    *,
    fails,
    rate=None,
    arrives_s=lambda now_s: now_s,
    lives_s=None,
):
    """Play a history.

    :param fails: Returns the share of sends that fail at a time after the lead.
    :param rate: Returns the requests a second of an instance at a time.
    :param arrives_s: Returns when a repeat that is sent at a time is read.
    :param lives_s: How long each process of an instance lives.
    """
    bounds = site.bounds
    numbers = itertools.count()
    events = []
    budgets = _make_budgets(site)
    for instance in budgets:
        _plan(site, events, numbers, START_S - LEAD_S, instance, rate)
    restarts_s = {
        each: START_S + site.random.uniform(0, lives_s or 0) for each in budgets
    }
    while events:
        now_s, _, instance, ended = heapq.heappop(events)
        if now_s > START_S + seconds:
            continue
        if lives_s is not None and now_s >= restarts_s[instance]:
            budgets[instance] = make_credit(bounds, restarts_s[instance])
            restarts_s[instance] += lives_s
        budget = budgets[instance]
        if ended is not None:
            # An earlier process knows of the end of its repeats, a new one does not.
            if ended is budget:
                _record_end(budget, bounds, now_s)
            continue
        _plan(site, events, numbers, now_s, instance, rate)
        if _serve(site, budget, now_s, fails):
            read_s = arrives_s(now_s + REACTION_S)
            site.repeats_s.append(read_s)
            heapq.heappush(events, (read_s, next(numbers), instance, budget))


def _make_budgets(site):
    return {
        instance: RetryHistory()
        if instance in site.earlier
        else make_credit(site.bounds, START_S - LEAD_S)
        for instance in range(site.instances)
    }


def _serve(site, budget, now_s, fails):
    """Serve a request; return whether it is repeated."""
    site.requests_s.append(now_s)
    if isinstance(budget, RetryCredit):
        record_request(budget, site.bounds, now_s)
    if now_s < START_S or site.random.random() >= fails(now_s):
        if isinstance(budget, RetryHistory):
            record_success(budget, now_s)
        return False
    site.failures += 1
    return _spend(budget, site.bounds, now_s + REACTION_S)


def _record_end(budget, bounds, now_s):
    if isinstance(budget, RetryCredit):
        record_retry_end(budget, bounds, RetryEnd.ARRIVED, now_s)


def _spend(budget, bounds, now_s):
    if isinstance(budget, RetryCredit):
        return spend_retry(budget, bounds, now_s)
    limits = Limits(
        retry_budget_ratio=bounds.ratio, retry_budget_min=EARLIER_MIN_RETRIES
    )
    return may_retry(budget, limits, now_s)


def _plan(site, events, numbers, now_s, instance, rate):
    per_s = rate(now_s) if rate else site.rate_per_s
    next_s = now_s + site.random.expovariate(per_s)
    heapq.heappush(events, (next_s, next(numbers), instance, None))
