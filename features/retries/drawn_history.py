"""Drawn histories of instances that repeat requests within one bound."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from jujubenotch.dispatch import (
    RetryBounds,
    RetryEnd,
    make_credit,
    record_request,
    record_retry_end,
    spend_retry,
)

# When the disturbance begins, and for how long instances have served by then.
START_S = 96.0
LEAD_S = 15.0
REACTION_S = 0.1


@dataclass(kw_only=True)
class BoundedSite:
    """A site, and when its requests came and its repeats arrived, in seconds."""

    instances: int
    rate_per_s: float
    ratio: float
    extra: float
    window_s: float
    random: random.Random
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
    credits = {}
    for instance in range(site.instances):
        credits[instance] = make_credit(bounds, START_S - LEAD_S)
        _plan(site, events, numbers, START_S - LEAD_S, instance, rate)
    restarts_s = {
        each: START_S + site.random.uniform(0, lives_s or 0)
        for each in range(site.instances)
    }
    while events:
        now_s, _, instance, retry = heapq.heappop(events)
        if now_s > START_S + seconds:
            continue
        if lives_s is not None and now_s >= restarts_s[instance]:
            credits[instance] = make_credit(bounds, restarts_s[instance])
            restarts_s[instance] += lives_s
        credit = credits[instance]
        if retry is not None:
            if retry is credit:
                record_retry_end(credit, bounds, RetryEnd.ARRIVED, now_s)
            continue
        _plan(site, events, numbers, now_s, instance, rate)
        site.requests_s.append(now_s)
        record_request(credit, bounds, now_s)
        if now_s < START_S or site.random.random() >= fails(now_s):
            continue
        site.failures += 1
        if spend_retry(credit, bounds, now_s + REACTION_S):
            read_s = arrives_s(now_s + REACTION_S)
            site.repeats_s.append(read_s)
            heapq.heappush(events, (read_s, next(numbers), instance, credit))


def _plan(site, events, numbers, now_s, instance, rate):
    per_s = rate(now_s) if rate else site.rate_per_s
    next_s = now_s + site.random.expovariate(per_s)
    heapq.heappush(events, (next_s, next(numbers), instance, None))
