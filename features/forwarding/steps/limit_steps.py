"""A simulation of instances that share upstreams with a request limit."""

import asyncio
import heapq
import itertools
import random
from dataclasses import dataclass, field

from behave import given, then, when

from benchmarks.site.request_limit import ReceivedRequests, find_largest_excess
from jujubenotch.forwarding import (
    DirectCapacity,
    Item,
    ListedUpstream,
    UpstreamListing,
    apply_items,
)
from jujubenotch.outcomes import Refusal
from jujubenotch.work import (
    LoadReport,
    UpstreamNotice,
    WorkReport,
    WorkRequest,
    WorkResult,
)

SLOTS = 48
ANSWER_AFTER_S = 0.3


@dataclass(kw_only=True)
class LimitSimulation:
    """The instances' capacities, the upstreams' limits and the pending events.

    :param limits: The range of the limits that each upstream names, per second.
    """

    names: tuple
    limits: dict = field(default_factory=dict)
    capacities: list = field(default_factory=list)
    listings: list = field(default_factory=list)
    received: dict = field(default_factory=dict)
    named_s: dict = field(default_factory=dict)
    running: dict = field(default_factory=dict)
    now_s: float = 0.0
    events: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)
    draws: random.Random = field(default_factory=lambda: random.Random(5))
    served: int = 0
    refusals: list = field(default_factory=list)

    def at(self, when_s, action):
        heapq.heappush(self.events, (when_s, next(self.numbers), action))

    def run_until(self, end_s):
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        self.now_s = end_s


def make_items(names, started_ms, slots=SLOTS):
    return tuple(
        Item(
            key=name,
            value=ListedUpstream(
                name=name,
                service="drafting",
                address="127.0.0.1:1",
                data_centre="north",
                slots=slots,
                started_ms=started_ms,
            ),
        )
        for name in names
    )


def make_simulation(instances, upstreams):
    names = tuple(f"i-{number}" for number in range(upstreams))
    simulation = LimitSimulation(names=names)
    for name in names:
        simulation.received[name] = ReceivedRequests()
        simulation.running[name] = 0
    for _ in range(instances):
        listing = UpstreamListing()
        simulation.listings.append(listing)
        simulation.capacities.append(make_capacity(simulation, listing, instances))
    list_upstreams(simulation, started_ms=1)
    return simulation


def make_capacity(simulation, listing, instances):
    return DirectCapacity(
        listing=listing,
        read_clock_s=lambda: simulation.now_s,
        read_listing_clock_s=lambda: simulation.now_s,
        draw=simulation.draws.random,
        read_instance_count=lambda: instances,
    )


def list_upstreams(simulation, *, started_ms):
    for listing in simulation.listings:
        apply_items(
            listing,
            make_items(simulation.names, started_ms),
            is_snapshot=True,
            follows_outage=False,
            now_s=simulation.now_s,
        )


def send_request(simulation):
    now_s = simulation.now_s
    instance = simulation.draws.randrange(len(simulation.capacities))
    capacity = simulation.capacities[instance]
    request = WorkRequest(
        request_id="r",
        target="drafting",
        team="agents",
        team_weight=1.0,
        team_limit=0,
        service_class="c",
        tier=0,
        arrived_s=now_s,
        first_token_by_s=now_s + 0.4,
        deadline_s=now_s + 2.5,
        max_wait_s=1.0,
        expected_tokens=10,
    )
    grant = asyncio.run(capacity.acquire(request))
    if isinstance(grant, Refusal):
        simulation.refusals.append(grant)
        return
    simulation.served += 1
    name = grant.upstream
    simulation.received[name].arrivals.append((now_s, instance))
    simulation.running[name] += 1
    notice = make_notice(simulation, name)
    end_s = now_s + ANSWER_AFTER_S
    simulation.at(end_s, lambda: answer(simulation, instance, grant, notice))


def make_notice(simulation, name):
    limits = simulation.limits.get(name)
    if limits is None:
        return UpstreamNotice()
    simulation.named_s.setdefault(name, simulation.now_s)
    return UpstreamNotice(limit_per_s=simulation.draws.uniform(*limits))


def answer(simulation, instance, grant, notice):
    capacity = simulation.capacities[instance]
    name = grant.upstream
    simulation.running[name] -= 1
    capacity.record_load(
        name,
        LoadReport(running=simulation.running[name], waiting=0, slots=SLOTS),
        simulation.now_s,
    )
    capacity.record_notice(name, notice)
    if notice.limit_per_s is not None:
        told_s = simulation.received[name].told_s
        told_s.setdefault(instance, simulation.now_s)
    capacity.release(grant, WorkReport(result=WorkResult.COMPLETED), simulation.now_s)


@given(
    "{instances:d} instances before {upstreams:d} upstreams, one of which names a limit "
    "of {lowest:g} to {highest:g} a second"
)
def limit_one_varying(context, instances, upstreams, lowest, highest):
    context.simulation = make_simulation(instances, upstreams)
    context.simulation.limits = {"i-0": (lowest, highest)}


@given(
    "{instances:d} instances before {upstreams:d} upstreams, one of which names a limit "
    "of {limit:g} a second"
)
def limit_one(context, instances, upstreams, limit):
    limit_one_varying(context, instances, upstreams, limit, limit)


@given(
    "{instances:d} instances before {upstreams:d} upstreams, all of which name a limit "
    "of {limit:g} a second"
)
def limit_all(context, instances, upstreams, limit):
    context.simulation = make_simulation(instances, upstreams)
    names = context.simulation.names
    context.simulation.limits = dict.fromkeys(names, (limit, limit))


@when("{rate:g} requests a second arrive for {seconds:g} s")
def send_steadily(context, rate, seconds):
    send_requests(context.simulation, rate, seconds, is_sending=lambda at_s: True)


@when("{rate:g} requests a second arrive in every other second for {seconds:g} s")
def send_in_bursts(context, rate, seconds):
    send_requests(
        context.simulation, rate, seconds, is_sending=lambda at_s: int(at_s) % 2 == 0
    )


def send_requests(simulation, rate, seconds, *, is_sending):
    end_s = simulation.now_s + seconds
    at_s = simulation.now_s
    while (at_s := at_s + simulation.draws.expovariate(rate)) < end_s:
        if is_sending(at_s):
            simulation.at(at_s, lambda: send_request(simulation))
    simulation.run_until(end_s)


@when("the limit is withdrawn")
def withdraw_limit(context):
    context.simulation.limits = {}


@when("the upstream starts again under its name and names no limit")
def restart_upstream(context):
    context.simulation.limits = {}
    list_upstreams(context.simulation, started_ms=2)


@then("the limit is kept")
@then("the limits are kept")
def check_limits(context):
    simulation = context.simulation
    for name, (_, highest) in simulation.limits.items():
        excess = find_largest_excess(
            simulation.received[name], highest, named_s=simulation.named_s[name]
        )
        assert excess <= 0, f"{name} got {excess:.1f} requests too many in 4 s"


@then("at least {count:g} requests a second are served")
def check_served(context, count):
    simulation = context.simulation
    assert simulation.served >= count * simulation.now_s, simulation.served


@then("every other request is refused with a time to come back")
def check_refusals(context):
    refusals = context.simulation.refusals
    assert refusals
    assert all(refusal.retry_after_s > 0 for refusal in refusals)


@then(
    "the upstream gets at least {count:g} requests a second in the last {seconds:g} s"
)
def check_restored(context, count, seconds):
    simulation = context.simulation
    start_s = simulation.now_s - seconds
    arrivals = simulation.received["i-0"].arrivals
    recent = sum(at_s >= start_s for at_s, _ in arrivals)
    assert recent >= count * seconds, recent
