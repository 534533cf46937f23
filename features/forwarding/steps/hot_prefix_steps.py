"""A simulation of engines with slots, whose answers report their loads."""

import asyncio
import heapq
import itertools
import random
from dataclasses import dataclass, field

from behave import given, then, when

from features.forwarding.steps.yield_steps import acquire_slot
from jujubenotch.forwarding import (
    DirectCapacity,
    Item,
    ListedUpstream,
    UpstreamListing,
    apply_items,
)
from jujubenotch.work import LoadReport, WorkReport, WorkRequest, WorkResult

PREFIX = "prefix"
PROMPT_TOKENS = 2_400
HOLD_S = 0.9
HEAD_AFTER_S = 0.1
WARM_UP_S = 3.0
LENGTH_S = 9.0


@dataclass(kw_only=True)
class Engine:
    """The true state of an engine: its slots, and the requests behind them."""

    slots: int
    running: int = 0
    queue: list = field(default_factory=list)


@dataclass(kw_only=True)
class SlotSimulation:
    """The instances' capacities, the engines and the pending events."""

    engines: dict[str, Engine]
    capacities: list = field(default_factory=list)
    now_s: float = 0.0
    events: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)
    draws: random.Random = field(default_factory=lambda: random.Random(11))
    used: set = field(default_factory=set)
    sent: int = 0
    waited: int = 0

    def at(self, when_s, action):
        heapq.heappush(self.events, (when_s, next(self.numbers), action))

    def run(self):
        while self.events:
            self.now_s, _, action = heapq.heappop(self.events)
            action()


def make_simulation(instances, engines, slots):
    simulation = SlotSimulation(
        engines={f"i-{number}": Engine(slots=slots) for number in range(engines)}
    )
    items = tuple(
        Item(
            key=name,
            value=ListedUpstream(
                name=name,
                service="drafting",
                address="127.0.0.1:1",
                data_centre="north",
                slots=slots,
            ),
        )
        for name in simulation.engines
    )
    for _ in range(instances):
        listing = UpstreamListing()
        apply_items(listing, items, is_snapshot=True, follows_outage=False, now_s=0.0)
        simulation.capacities.append(
            DirectCapacity(
                listing=listing,
                read_clock_s=lambda: simulation.now_s,
                read_listing_clock_s=lambda: 0.0,
                draw=simulation.draws.random,
            )
        )
    return simulation


def send_prompt(simulation, prefix_key):
    now_s = simulation.now_s
    capacity = simulation.draws.choice(simulation.capacities)
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
        prompt_tokens=PROMPT_TOKENS,
        prefix_key=prefix_key,
    )
    grant = asyncio.run(capacity.acquire(request))
    engine = simulation.engines[grant.upstream]
    simulation.used.add(grant.upstream)
    if now_s >= WARM_UP_S:
        count_wait(simulation, engine)
    if engine.running < engine.slots:
        start(simulation, capacity, grant, engine)
    else:
        engine.queue.append((capacity, grant))


def count_wait(simulation, engine):
    simulation.sent += 1
    others = (simulation.engines[name] for name in simulation.used)
    is_free_elsewhere = any(other.running < other.slots for other in others)
    if engine.running >= engine.slots and is_free_elsewhere:
        simulation.waited += 1


def start(simulation, capacity, grant, engine):
    engine.running += 1
    hold_s = simulation.draws.expovariate(1 / HOLD_S)
    head_s = simulation.now_s + min(HEAD_AFTER_S, hold_s)
    simulation.at(head_s, lambda: report(simulation, capacity, grant, engine))
    end_s = simulation.now_s + hold_s
    simulation.at(end_s, lambda: end(simulation, capacity, grant, engine))


def report(simulation, capacity, grant, engine):
    load = LoadReport(
        running=engine.running, waiting=len(engine.queue), slots=engine.slots
    )
    capacity.record_load(grant.upstream, load, simulation.now_s)


def end(simulation, capacity, grant, engine):
    capacity.release(grant, WorkReport(result=WorkResult.COMPLETED), simulation.now_s)
    engine.running -= 1
    if engine.queue:
        start(simulation, *engine.queue.pop(0), engine)


@given(
    "the first upstream of a prefix reports {running:d} running and {waiting:d} "
    "waiting requests"
)
def report_first(context, running, waiting):
    context.first = acquire_slot(context, "short", PREFIX).upstream
    report = LoadReport(running=running, waiting=waiting, slots=48)
    context.capacity.record_load(context.first, report, 1.0)


@when("a short request with that prefix is made")
def make_prefixed_request(context):
    context.result = acquire_slot(context, "short", PREFIX)


@then("the request is granted on another upstream")
def check_other(context):
    assert context.result.upstream != context.first, context.result


@then("the request is granted on the first upstream of the prefix")
def check_first(context):
    assert context.result.upstream == context.first, context.result


@given(
    "{instances:d} instances that send short prompts to {engines:d} engines of "
    "{slots:d} slots"
)
def make_instances(context, instances, engines, slots):
    context.simulation = make_simulation(instances, engines, slots)


@when(
    "{share:d} of 100 prompts have the same prefix and the engines for them are "
    "{fill:d} of 100 full"
)
def send_prompts(context, share, fill):
    simulation = context.simulation
    # Without long prompts, short ones get 0.7 of the engines at most.
    slots = 0.7 * sum(engine.slots for engine in simulation.engines.values())
    rate_per_s = fill / 100 * slots / HOLD_S
    at_s = 0.0
    while (at_s := at_s + simulation.draws.expovariate(rate_per_s)) < LENGTH_S:
        is_hot = simulation.draws.random() < share / 100
        key = PREFIX if is_hot else f"own-{simulation.draws.randrange(600)}"
        simulation.at(at_s, lambda key=key: send_prompt(simulation, key))
    simulation.run()


@then("at most 1 in 12 of them wait while another engine for them has a free slot")
def check_waits(context):
    simulation = context.simulation
    assert simulation.waited <= simulation.sent / 12, (
        f"{simulation.waited} of {simulation.sent} waited"
    )
