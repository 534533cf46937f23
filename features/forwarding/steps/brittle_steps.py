"""A simulation of instances before upstreams that turn requests away when full."""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from behave import given, then, when

from features.forwarding.steps.limit_steps import make_items
from jujubenotch.forwarding import DirectCapacity, UpstreamListing, apply_items
from jujubenotch.outcomes import Refusal
from jujubenotch.work import (
    LoadReport,
    UpstreamNotice,
    WorkReport,
    WorkRequest,
    WorkResult,
)

WORK_S = 0.4
TRANSIT_S = 0.002
MAX_SENDS = 4
DOWN_S = 4.0
CONTACT_S = 3.0
WAITING = 24


@dataclass(kw_only=True)
class Upstream:
    name: str
    slots: int
    running: int = 0
    rejected_s: deque = field(default_factory=deque)
    down_until_s: float = 0.0
    ended: int = 0
    ran: int = 0


@dataclass(kw_only=True)
class BrittleSimulation:
    bound: float
    is_brittle: bool
    upstreams: dict
    capacities: list = field(default_factory=list)
    now_s: float = 0.0
    brittle_since_s: float = 0.0
    events: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)
    draws: random.Random = field(default_factory=lambda: random.Random(7))
    refused_s: list = field(default_factory=list)

    def at(self, when_s, action):
        heapq.heappush(self.events, (when_s, next(self.numbers), action))

    def run_until(self, end_s):
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        self.now_s = end_s


def make_simulation(instances, upstreams, slots, bound, is_brittle):
    names = tuple(f"i-{number}" for number in range(upstreams))
    simulation = BrittleSimulation(
        bound=bound,
        is_brittle=is_brittle,
        upstreams={name: Upstream(name=name, slots=slots) for name in names},
    )
    for _ in range(instances):
        listing = UpstreamListing()
        apply_items(
            listing,
            make_items(names, 1, slots=slots),
            is_snapshot=True,
            follows_outage=False,
            now_s=0.0,
        )
        simulation.capacities.append(
            DirectCapacity(
                listing=listing,
                read_clock_s=lambda: simulation.now_s,
                read_listing_clock_s=lambda: simulation.now_s,
                draw=simulation.draws.random,
                read_instance_count=lambda: instances,
            )
        )
    return simulation


@given(
    "{instances:d} instances before {upstreams:d} brittle upstreams of {slots:d} slots "
    "that bear {bound:g} rejections a second"
)
def make_brittle(context, instances, upstreams, slots, bound):
    context.simulation = make_simulation(instances, upstreams, slots, bound, True)


@given(
    "{instances:d} instances before {upstreams:d} upstreams of {slots:d} slots that are "
    "not brittle"
)
def make_sound(context, instances, upstreams, slots):
    context.simulation = make_simulation(instances, upstreams, slots, 0, False)


@when("the upstreams are no longer brittle")
def end_brittleness(context):
    context.simulation.is_brittle = False


@when("{rate:d} requests a second come for {seconds:d} s")
def send_requests(context, rate, seconds):
    simulation = context.simulation
    context.rate = rate
    context.seconds = seconds
    start_s = simulation.now_s
    for number in range(rate * seconds):
        at_s = start_s + number / rate
        instance = simulation.draws.randrange(len(simulation.capacities))
        simulation.at(
            at_s, lambda instance=instance: send(simulation, instance, frozenset(), 1)
        )
    simulation.run_until(start_s + seconds)


def send(simulation, instance, excluded, number):
    now_s = simulation.now_s
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
        excluded_upstreams=excluded,
    )
    grant = run_at_once(capacity.acquire(request))
    if isinstance(grant, Refusal):
        simulation.refused_s.append(now_s)
        return
    again = (instance, excluded | {grant.upstream}, number + 1)
    simulation.at(now_s + TRANSIT_S, lambda: arrive(simulation, capacity, grant, again))


def run_at_once(coroutine):
    """Run a coroutine that never waits, without an event loop."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine waits")


def arrive(simulation, capacity, grant, again):
    upstream = simulation.upstreams[grant.upstream]
    now_s = simulation.now_s
    if now_s < upstream.down_until_s:
        finish(simulation, capacity, grant, WorkResult.CONNECT_FAILED, again)
        return
    lets_wait = not simulation.is_brittle or now_s < CONTACT_S
    room = upstream.slots + (WAITING if lets_wait else 0)
    if upstream.running >= room:
        reject(simulation, upstream)
        respond(simulation, capacity, grant, WorkResult.REFUSED, again)
        return
    upstream.running += 1
    upstream.ran += 1
    born = upstream.ended
    busy = max(1.0, upstream.running / upstream.slots)
    took_s = WORK_S * busy * simulation.draws.uniform(0.5, 1.5)
    simulation.at(
        now_s + took_s, lambda: end_work(simulation, upstream, born, capacity, grant)
    )


def reject(simulation, upstream):
    """Turn a request away; until all instances can know, that ends no upstream."""
    now_s = simulation.now_s
    rejected = upstream.rejected_s
    rejected.append(now_s)
    while rejected[0] <= now_s - 1.0:
        rejected.popleft()
    may_end = simulation.is_brittle and now_s >= CONTACT_S
    if may_end and len(rejected) > simulation.bound:
        upstream.ended += 1
        upstream.running = 0
        upstream.down_until_s = now_s + DOWN_S
        rejected.clear()


def end_work(simulation, upstream, born, capacity, grant):
    if born != upstream.ended:
        finish(simulation, capacity, grant, WorkResult.LOST, None)
        return
    upstream.running -= 1
    respond(simulation, capacity, grant, WorkResult.COMPLETED, None)


def respond(simulation, capacity, grant, result, again):
    upstream = simulation.upstreams[grant.upstream]
    waiting = max(0, upstream.running - upstream.slots)
    load = LoadReport(
        running=upstream.running - waiting, waiting=waiting, slots=upstream.slots
    )
    brittle = simulation.bound if simulation.is_brittle else None

    def receive():
        now_s = simulation.now_s
        capacity.record_load(grant.upstream, load, now_s)
        notice = UpstreamNotice(brittle_per_s=brittle)
        capacity.record_notice(grant.upstream, notice)
        finish(simulation, capacity, grant, result, again)

    simulation.at(simulation.now_s + TRANSIT_S, receive)


def finish(simulation, capacity, grant, result, again):
    capacity.release(grant, WorkReport(result=result), simulation.now_s)
    if again is None:
        return
    if again[2] > MAX_SENDS:
        simulation.refused_s.append(simulation.now_s)
        return
    send(simulation, *again)


@then("at most 2 and a tenth of the upstreams' number ended")
def check_ended(context):
    upstreams = context.simulation.upstreams.values()
    ended = sum(each.ended for each in upstreams)
    assert ended <= 2 + len(upstreams) / 10, (ended, len(upstreams))


@then("at least {share:d} in 100 of what the upstreams could run were run")
def check_run(context, share):
    upstreams = context.simulation.upstreams.values()
    could = sum(each.slots for each in upstreams) / WORK_S * context.seconds
    could = min(could, context.rate * context.seconds)
    ran = sum(each.ran for each in upstreams)
    assert 100 * ran >= share * could, (ran, could)


@then("nothing is refused")
def check_nothing_refused(context):
    refused = context.simulation.refused_s
    assert not refused, len(refused)


@then("nothing is refused in the last {seconds:d} s")
def check_nothing_refused_lately(context, seconds):
    simulation = context.simulation
    late = [each for each in simulation.refused_s if each > simulation.now_s - seconds]
    assert not late, len(late)
