"""Steps about the messages by which instances share what they learn."""

import asyncio
from dataclasses import dataclass, field

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from features.pace.fleet import SERVICE, SLOTS, make_fleet, send
from features.pace.fleet import SHORT as SHORT_KIND
from features.pace.steps.placement_steps import make_first
from jujubenotch.daemon.forward_paces import (
    PaceWatch,
    connect_paces,
    note_reader,
    receive_paces,
    share_once,
)
from jujubenotch.forwarding.shared_paces import find_shared_count
from jujubenotch.membership import Instances, add_instance
from jujubenotch.metrics import make_metrics
from jujubenotch.neighbours import (
    Message,
    MessageKind,
    PaceEntry,
    Reassembly,
    decode_message,
    join_datagram,
    split_message,
)
from jujubenotch.pace import read_slowness, record_first_token
from jujubenotch.work import LoadReport

READER = "10.0.0.0:7000"
FOURTH = 3


@dataclass(kw_only=True)
class FakePages:
    """The state of an instance in the exchange of pages."""

    neighbours: Instances
    is_reading: bool
    is_active: bool = True


@dataclass(kw_only=True)
class SharingFleet:
    """The watches of several instances, and what they have sent."""

    fleet: object
    loop: asyncio.AbstractEventLoop
    watches: dict[str, PaceWatch] = field(default_factory=dict)
    sent: list[tuple[str, Message]] = field(default_factory=list)
    numbers: int = 0

    def share(self, number):
        async def share_now():
            loop = asyncio.get_running_loop()
            share_once(list(self.watches.values())[number], loop.time())

        self.loop.run_until_complete(share_now())


def deliver(sharing, sender, message, addresses):
    """Encode a message, and decode it at its receivers."""
    datagrams = split_message(message, sharing.numbers)
    sharing.numbers += 1
    if datagrams is None:
        return False
    sharing.sent.append((sender, message))
    for address in addresses:
        reassembly = Reassembly()
        parts = [join_datagram(reassembly, sender, each, 0.0) for each in datagrams]
        content = next(part for part in parts if part is not None)
        receive_paces(sharing.watches[address], sender, decode_message(content))
    return True


@given("{count:d} instances of one data centre, of which the first is the reader")
def make_sharing(context, count):
    loop = asyncio.new_event_loop()
    context.add_cleanup(loop.close)
    fleet = make_fleet(instances=count, speeds=[1.0] * 3, shares=False, has_noise=False)
    fleet.now_s = loop.time()
    sharing = SharingFleet(fleet=fleet, loop=loop)
    addresses = [f"10.0.0.{number}:7000" for number in range(count)]
    for address, capacity in zip(addresses, fleet.capacities, strict=True):
        for known in capacity._listing.upstreams.values():
            capacity.states.add(known.listed)
        neighbours = Instances(own_address=address)
        for other in addresses:
            add_instance(neighbours, other)
        watch = PaceWatch(exchange=capacity.pace_exchange, metrics=make_metrics())
        connect_paces(
            watch,
            FakePages(neighbours=neighbours, is_reading=address == READER),
            lambda message, to, address=address: deliver(
                sharing, address, message, list(to)
            ),
        )
        sharing.watches[address] = watch
    context.sharing = sharing
    hear_reader(sharing)


def hear_reader(sharing):
    async def hear():
        for watch in sharing.watches.values():
            note_reader(watch, READER)

    sharing.loop.run_until_complete(hear())


@given("the second has observed that upstream u-1 is slow")
def observe_slow(context):
    sharing = context.sharing
    capacity = sharing.fleet.capacities[1]
    now_s = sharing.loop.time()
    for name, took_s in (("u-0", 0.14), ("u-1", 0.42), ("u-2", 0.14)) * 20:
        report = LoadReport(running=7, waiting=1, slots=SLOTS, pace=1.5)
        capacity.record_load(name, report, now_s)
        service = capacity.learned.services[SERVICE]
        record_first_token(service, make_first(name, took_s), now_s)


@given("the reader has observed {count:d} upstreams")
def observe_many(context, count):
    sharing = context.sharing
    now_s = sharing.loop.time()
    for number in range(count):
        for capacity in sharing.fleet.capacities:
            listed = capacity._listing.upstreams["u-0"].listed
            name = f"an-upstream-with-a-long-name-{number:05}"
            capacity.states.add(type(listed)(**{**_as_fields(listed), "name": name}))
        exchange = sharing.watches[READER].exchange
        services = exchange.learned.services
        if not services:
            report = LoadReport(running=1, waiting=0, slots=SLOTS, pace=1.0)
            sharing.fleet.capacities[0].record_load("u-0", report, now_s)
        record_first_token(services[SERVICE], make_first(name, 0.14), now_s)


def _as_fields(listed):
    return {name: getattr(listed, name) for name in type(listed).__slots__}


@when("all have shared once, and the reader once more")
def share_all(context):
    for number in reversed(range(len(context.sharing.watches))):
        context.sharing.share(number)
    context.sharing.share(0)


@when("the second sends to the third instead of the reader")
def send_to_third(context):
    second, third = list(context.sharing.watches)[1:3]
    context.sharing.watches[second].reader = third
    context.sharing.share(1)
    context.before = len(context.sharing.sent)
    context.sharing.share(2)


@when("6 s pass in which no page arrives")
def pass_silence(context):
    for watch in context.sharing.watches.values():
        watch.reader_heard_s -= 6.0


@when("the reader shares {times:d} times")
def share_reader(context, times):
    context.counts = []
    for _ in range(times):
        before = len(context.sharing.sent)
        context.sharing.share(0)
        context.counts.append(len(context.sharing.sent) - before)


@when("requests come to the reader")
def send_to_reader(context):
    fleet = context.sharing.fleet
    capacities, fleet.capacities = fleet.capacities, fleet.capacities[:1]
    send(fleet, SHORT_KIND, "a-key")
    fleet.capacities = capacities


@then("the fourth gives as many upstreams to short prompts as the reader")
def check_division(context):
    reader, *_, fourth = context.sharing.fleet.exchanges
    found = find_shared_count(fourth, SERVICE, context.sharing.loop.time())
    assert found == reader.read_own_counts()[SERVICE], found


@then("6 s later it finds their number itself")
def check_own_division(context):
    fourth = context.sharing.fleet.exchanges[FOURTH]
    later_s = context.sharing.loop.time() + 6.0
    assert find_shared_count(fourth, SERVICE, later_s) is None


def read_fourth(sharing, name):
    service = sharing.fleet.capacities[FOURTH].learned.services[SERVICE]
    return read_slowness(service, name, sharing.loop.time() + 1.0)


@then("the fourth knows that u-1 is slow")
def check_slow(context):
    found = read_fourth(context.sharing, "u-1")
    assert found > 1.5, found
    assert read_fourth(context.sharing, "u-0") < 1.2


@then("the fourth knows the load that u-1 reported to the second")
def check_load(context):
    state = context.sharing.fleet.capacities[FOURTH].states.find("u-1")
    assert (state.reported, state.reported_pace) == (8, 1.5), state


@then("the metrics of the fourth show the slowness of u-1")
def check_metrics(context):
    context.sharing.share(FOURTH)
    metrics = list(context.sharing.watches.values())[FOURTH].metrics
    assert metrics.upstream_slowness.get({"upstream": "u-1"}) > 1.5
    assert metrics.upstream_limit.get({"upstream": "u-1"}) > 0


@then("no message was sent")
def check_silent(context):
    assert not context.sharing.sent, context.sharing.sent


@then("the third sends no totals")
def check_no_totals(context):
    assert len(context.sharing.sent) == context.before, context.sharing.sent


@then("the second has sent nothing")
def check_second(context):
    second = list(context.sharing.watches)[1]
    assert all(sender != second for sender, _ in context.sharing.sent)


@then("each time it sent at most {count:d} messages")
def check_counts(context, count):
    assert all(0 < sent <= count for sent in context.counts), context.counts


@then("the totals of all {count:d} upstreams have arrived at the fourth")
def check_arrived(context, count):
    service = context.sharing.fleet.capacities[FOURTH].learned.services[SERVICE]
    known = [each for each in service.upstreams.values() if each.total.slowness.weight]
    assert len(known) == count, len(known)


NUMBERS = st.floats(allow_nan=False, allow_infinity=False) | st.integers(-3, 40)
ENTRIES = st.builds(
    PaceEntry,
    service=st.sampled_from([SERVICE, "", "other"]),
    upstream=st.sampled_from(["u-0", "u-1", "unknown"]),
    sums=st.lists(NUMBERS, max_size=8).map(tuple),
    load=st.none() | st.integers(-(2**60), 2**60),
    pace=st.none() | NUMBERS,
    age_s=NUMBERS,
)


@then("random entries are taken up without an error, and a choice is still made")
def check_random(context):
    sharing = context.sharing
    share_all(context)

    @settings(derandomize=True, database=None, max_examples=150, deadline=None)
    @given_examples(st.lists(ENTRIES, max_size=5).map(tuple), st.booleans())
    def check_one(entries, has_totals):
        message = Message(kind=MessageKind.PACES, paces=entries, has_totals=has_totals)

        async def take():
            deliver(sharing, "10.0.0.9:7000", message, list(sharing.watches))

        sharing.loop.run_until_complete(take())
        sharing.share(0)
        sharing.fleet.now_s = sharing.loop.time() + 1.0
        send(sharing.fleet, SHORT_KIND, "a-key")

    check_one()
    assert not any(result.is_refused for result in sharing.fleet.results)
