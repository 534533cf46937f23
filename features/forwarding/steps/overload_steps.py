"""A simulation of engines that read prompts one after the other."""

import asyncio
import heapq
import itertools
import random
from dataclasses import dataclass, field

from behave import given, then, when

from jujubenotch.forwarding import (
    DirectCapacity,
    Item,
    ListedUpstream,
    UpstreamListing,
    apply_items,
)
from jujubenotch.forwarding import shedding as shedding_module
from jujubenotch.outcomes import Refusal
from jujubenotch.work import WorkReport, WorkRequest, WorkResult

PROMPT_TOKENS = 6_000
TARGET_S = 0.5
DEADLINE_S = 4.0
ANSWER_S = 0.3
SLOTS = 64


@dataclass(kw_only=True)
class Simulation:
    """The instances' capacities and until when each engine reads."""

    tokens_per_s: float
    engines: int
    capacities: list = field(default_factory=list)
    busy_until_s: dict = field(default_factory=dict)
    now_s: float = 0.0
    events: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)
    draws: random.Random = field(default_factory=lambda: random.Random(3))
    in_time: int = 0
    late: int = 0
    refused: int = 0
    arrived: int = 0
    urgent_arrived: int = 0
    urgent_refused: int = 0

    def at(self, when_s, action):
        heapq.heappush(self.events, (when_s, next(self.numbers), action))

    def run_until(self, end_s):
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        self.now_s = end_s


def make_simulation(instances, engines, tokens_per_ms):
    simulation = Simulation(tokens_per_s=tokens_per_ms * 1000, engines=engines)
    items = tuple(
        Item(
            key=f"i-{number}",
            value=ListedUpstream(
                name=f"i-{number}",
                service="drafting",
                address="127.0.0.1:1",
                data_centre="north",
                slots=SLOTS,
            ),
        )
        for number in range(engines)
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


def send_prompt(simulation, is_urgent=False):
    now_s = simulation.now_s
    capacity = simulation.draws.choice(simulation.capacities)
    request = WorkRequest(
        request_id="r",
        target="drafting",
        team="agents",
        team_weight=1.0,
        team_limit=0,
        service_class="c",
        tier=0 if is_urgent else 1,
        arrived_s=now_s,
        first_token_by_s=now_s + TARGET_S,
        deadline_s=now_s + DEADLINE_S,
        max_wait_s=1.0,
        expected_tokens=10,
        prompt_tokens=PROMPT_TOKENS,
        prefix_key="",
    )
    simulation.arrived += 1
    simulation.urgent_arrived += is_urgent
    grant = asyncio.run(capacity.acquire(request))
    if isinstance(grant, Refusal):
        simulation.refused += 1
        simulation.urgent_refused += is_urgent
        return
    begin_s = max(now_s, simulation.busy_until_s.get(grant.upstream, 0.0))
    read_s = begin_s + PROMPT_TOKENS / simulation.tokens_per_s
    simulation.busy_until_s[grant.upstream] = read_s
    if read_s > now_s + DEADLINE_S:
        give_up_s = now_s + DEADLINE_S
        simulation.at(give_up_s, lambda: end(simulation, capacity, grant, False))
        return
    simulation.at(read_s, lambda: start(simulation, capacity, grant, now_s))
    simulation.at(read_s + ANSWER_S, lambda: end(simulation, capacity, grant, True))


def start(simulation, capacity, grant, sent_s):
    capacity.record_response_start(grant, simulation.now_s)
    if simulation.now_s - sent_s <= TARGET_S:
        simulation.in_time += 1
    else:
        simulation.late += 1


def end(simulation, capacity, grant, is_answered):
    result = WorkResult.COMPLETED if is_answered else WorkResult.CANCELLED
    capacity.release(grant, WorkReport(result=result), simulation.now_s)


@given(
    "{instances:d} instances before {engines:d} engines that read "
    "{tokens_per_ms:g} tokens a ms"
)
def make_instances(context, instances, engines, tokens_per_ms):
    context.simulation = make_simulation(instances, engines, tokens_per_ms)


@given("the limit on waiting long prompts is disabled")
def disable_limit(context):
    original = shedding_module.is_prefill_full
    shedding_module.is_prefill_full = lambda *prompt, **options: False
    context.add_cleanup(setattr, shedding_module, "is_prefill_full", original)


@when(
    "long prompts arrive at {ratio:g} times what the engines can read for {seconds:g} s"
)
def send_prompts(context, ratio, seconds, urgent_share=0.0):
    simulation = context.simulation
    simulation.in_time = simulation.late = 0
    simulation.refused = simulation.arrived = 0
    # Short prompts have a quarter of the engines at least; long ones the others.
    engines = simulation.engines - round(0.4 * simulation.engines)
    context.readable = engines * simulation.tokens_per_s * seconds / PROMPT_TOKENS
    rate_per_s = ratio * context.readable / seconds
    start_s = simulation.now_s
    at_s = start_s
    while (at_s := at_s + simulation.draws.expovariate(rate_per_s)) < start_s + seconds:
        # The draw is left out without urgent prompts, which keeps the other loads.
        is_urgent = urgent_share > 0 and simulation.draws.random() < urgent_share
        simulation.at(
            at_s, lambda is_urgent=is_urgent: send_prompt(simulation, is_urgent)
        )
    simulation.run_until(start_s + seconds)


@when(
    "long prompts arrive at {ratio:g} times what the engines can read for {seconds:g} s, "
    "a fifth of them urgent"
)
def send_mixed_prompts(context, ratio, seconds):
    send_prompts(context, ratio, seconds, urgent_share=0.2)


@then("at most 1 in 12 of the urgent prompts is refused")
def check_urgent(context):
    simulation = context.simulation
    assert simulation.urgent_refused <= simulation.urgent_arrived / 12, (
        f"{simulation.urgent_refused} of {simulation.urgent_arrived} refused"
    )


@then("at least {count:d} of 100 served prompts are in time")
def check_in_time(context, count):
    simulation = context.simulation
    served = simulation.in_time + simulation.late
    assert simulation.in_time >= count / 100 * served, vars_of(simulation)


@then("at most {count:d} of 100 served prompts are in time")
def check_late(context, count):
    simulation = context.simulation
    served = simulation.in_time + simulation.late
    assert simulation.in_time <= count / 100 * served, vars_of(simulation)


@then("at least {count:d} of 100 of what the engines can read is served")
def check_served(context, count):
    simulation = context.simulation
    served = simulation.in_time + simulation.late
    assert served >= count / 100 * context.readable, vars_of(simulation)


@then("no prompt is refused")
def check_none_refused(context):
    assert context.simulation.refused == 0, vars_of(context.simulation)


@then("at most {count:d} of 100 prompts are refused")
def check_few_refused(context, count):
    simulation = context.simulation
    assert simulation.refused <= count / 100 * simulation.arrived, vars_of(simulation)


def vars_of(simulation):
    return (
        f"arrived {simulation.arrived}, in time {simulation.in_time}, late "
        f"{simulation.late}, refused {simulation.refused}"
    )
