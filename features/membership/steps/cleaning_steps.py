import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace

from behave import given, then, when

from jujubenotch.daemon.forward_instances import clean_list
from jujubenotch.daemon.forward_parts import InstanceCount
from jujubenotch.forwarding import SourceError
from jujubenotch.membership import (
    Instances,
    ListedInstance,
    count_possible,
    is_asking,
    make_incarnation,
    record_heard,
    take_questions,
)

CLEANING_PAUSE_S = 20.0


@dataclass(kw_only=True)
class FakeDirectory:
    """The store's list, by key."""

    entries: dict = field(default_factory=dict)
    removed: list = field(default_factory=list)
    is_failing: bool = False

    async def add_instance(self, name, data_centre, address, incarnation):
        entry = ListedInstance(
            data_centre=data_centre,
            address=address,
            incarnation=incarnation,
            key=f"{name}~{incarnation}",
        )
        self.entries[entry.key] = entry
        return entry

    async def list_instances(self):
        return tuple(self.entries.values())

    async def remove_instance(self, entry):
        if self.is_failing:
            raise SourceError("the store doesn't answer")
        self.removed.append(entry.key)
        self.entries.pop(entry.key, None)


@dataclass(kw_only=True)
class FakeClock:
    """The time of the event loop while no real time passes."""

    now_s: float = 0.0

    def time(self):
        return self.now_s


def make_relay(number):
    name = f"edge-{number}"
    return SimpleNamespace(
        instance=SimpleNamespace(
            settings=SimpleNamespace(name=name, data_centre="a"),
            incarnation=make_incarnation(),
            instance_count=InstanceCount(),
            own_entry=None,
        ),
        neighbours=Instances(own_address=f"10.0.0.{number}:7000"),
        shares_pages=False,
        must_ask=SimpleNamespace(set=lambda: None),
    )


def add_entry(context, relay, incarnation=None):
    instance = relay.instance
    return asyncio.run(
        context.directory.add_instance(
            instance.settings.name,
            "a",
            relay.neighbours.own_address,
            incarnation or instance.incarnation,
        )
    )


@given("{live:d} live instances, and {gone:d} that are gone, which all list each other")
def make_instances(context, live, gone):
    context.directory = FakeDirectory()
    context.clock = FakeClock()
    context.relays = [make_relay(number) for number in range(1, live + 1)]
    context.live_keys = {add_entry(context, each).key for each in context.relays}
    context.cut = set()
    for number in range(gone):
        add_entry(context, make_relay(100 + number))


@given("an earlier start at the address of each")
def add_earlier(context):
    for relay in context.relays:
        add_entry(context, relay, make_incarnation())


def answer_questions(context, relay):
    """Ask until no answer is awaited; the live instances answer."""
    by_address = {each.neighbours.own_address: each for each in context.relays}
    own = relay.neighbours.own_address
    while is_asking(relay.neighbours):
        for address in take_questions(relay.neighbours, 1000):
            other = by_address.get(address)
            if other is None or own in context.cut or address in context.cut:
                continue
            record_heard(relay.neighbours, address, now_s=context.clock.now_s)
            record_heard(other.neighbours, own, now_s=context.clock.now_s)


async def clean_once(context, relay):
    asyncio.get_running_loop().time = context.clock.time
    components = SimpleNamespace(directory=context.directory)
    try:
        await clean_list(relay, components, context.clock.now_s)
    except SourceError:
        return


@when("the live ones have asked and cleaned the list for {duration_s:d} s")
def clean(context, duration_s):
    end_s = context.clock.now_s + duration_s
    while context.clock.now_s <= end_s:
        for relay in context.relays:
            asyncio.run(clean_once(context, relay))
            answer_questions(context, relay)
        context.clock.now_s += CLEANING_PAUSE_S


@when(
    "the live ones have asked and cleaned the list for {duration_s:d} s while no removal "
    "is confirmed"
)
def clean_without_removal(context, duration_s):
    context.directory.is_failing = True
    clean(context, duration_s)
    context.directory.is_failing = False


@when("one is cut off from the others while the list is cleaned for {duration_s:d} s")
def clean_during_cut(context, duration_s):
    context.cut.add(context.relays[0].neighbours.own_address)
    clean(context, duration_s)
    context.cut.clear()


@when("the entry of one is removed")
def remove_live(context):
    key = sorted(context.live_keys)[0]
    del context.directory.entries[key]


@then("the entries of the live ones alone are left")
def check_left(context):
    assert set(context.directory.entries) == context.live_keys, context.directory


@then("no entry was removed twice")
def check_once(context):
    removed = context.directory.removed
    assert len(removed) == len(set(removed)) > 0, removed


@then("no entry was removed")
def check_none_removed(context):
    assert not context.directory.removed, context.directory.removed


@then("each counts {count:d} instances that may be running")
def check_possible(context, count):
    counts = [count_possible(each.neighbours) for each in context.relays]
    assert counts == [count] * len(context.relays), counts
