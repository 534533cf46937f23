import asyncio
import time

from behave import given, then, when

from features.capacity.bench import (
    Bench,
    close_all,
    make_request,
    read_in_use,
    run,
    start_instance,
    wait,
)
from jujubenotch.capacity.away import acquire_away
from jujubenotch.listeners import bind_socket
from jujubenotch.records import Configuration, Upstream, UpstreamKind
from jujubenotch.settings import Seed
from jujubenotch.work import Grant, WorkReport, WorkResult

TARGET = "m"
DONE = WorkReport(result=WorkResult.COMPLETED, tokens=3)


def make_upstream(data_centre, slots):
    return Upstream(
        name=f"u-{data_centre}",
        kind=UpstreamKind.MODEL,
        data_centre=data_centre,
        url="http://127.0.0.1:1",
        models=(TARGET,),
        slots=slots,
    )


def count_in_use(context, data_centre):
    counts = [
        read_in_use(capacity, f"{data_centre}/{TARGET}")
        for capacity in context.bench.capacities.values()
    ]
    return sum(count or 0 for count in counts)


def start(context, name):
    task = context.loop.create_task(
        context.bench.capacities[name].acquire(make_request(target=TARGET))
    )
    context.bench.requests.append((name, task))
    return task


def start_away(context, name, wait_bound_s=30.0):
    state = context.bench.capacities[name].state
    account = next(iter(state.away.accounts.values()))
    request = make_request(target=TARGET)
    context.last = context.loop.create_task(
        acquire_away(state.away, account, f"south/{TARGET}", request, wait_bound_s)
    )
    context.bench.requests.append((name, context.last))
    agents = context.bench.capacities[account.home].state.agents.by_name
    wait(context, lambda: name in agents and agents[name].entries)


@given(
    'instances "{near}" in "north" with {near_slots:d} slots and "{far}" in "south" '
    "with {far_slots:d} slots"
)
def start_both(context, near, near_slots, far, far_slots):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    upstreams = [make_upstream("north", near_slots), make_upstream("south", far_slots)]
    context.slots = {"north": near_slots, "south": far_slots}
    bench = Bench(
        loop=context.loop,
        target=TARGET,
        slots=far_slots,
        configuration=Configuration(
            revision=1, upstreams={each.name: each for each in upstreams}
        ),
    )
    context.bench = bench
    bounds = {}
    for names, data_centre in ((near, "north"), (far, "south")):
        for name in names.split():
            bounds[name] = bind_socket("127.0.0.1", 0)
            bench.seeds[name] = Seed(
                name=name,
                data_centre=data_centre,
                host="127.0.0.1",
                port=bounds[name].getsockname()[1],
            )
    for name, bound in bounds.items():
        run(context, start_instance(bench, name, bound))
    context.add_cleanup(lambda: context.loop.run_until_complete(close_all(bench)))

    def is_ready():
        return all(
            len(capacity.state.away.accounts) == 2
            and len(capacity.state.live) == 2
            and capacity.state.client.groups[group].account.home
            for capacity in bench.capacities.values()
            for group in [
                f"{capacity.state.dependencies.data_centre}/{TARGET}",
            ]
        )

    wait(context, is_ready)


@when('"{name}" uses all slots of its data centre and {waiting:d} more requests wait')
def fill(context, name, waiting):
    bench = context.bench
    state = bench.capacities[name].state
    data_centre = state.dependencies.data_centre
    accounts = state.away.accounts.copy()
    state.away.accounts.clear()
    for _ in range(context.slots[data_centre] + waiting):
        start(context, name)
    wait(
        context,
        lambda: count_in_use(context, data_centre) == context.slots[data_centre],
    )
    state.away.accounts.update(accounts)


@when('"{name}" requests 1 more slot')
def ask_more(context, name):
    """Make a request, which the check repeats until the local wait is known."""
    context.name = name
    context.last = start(context, name)


@then('the last request gets a slot in "{data_centre}" within {bound_s:g} s')
def check_where(context, data_centre, bound_s):
    until_s = time.monotonic() + bound_s
    while time.monotonic() < until_s:
        run(context, asyncio.sleep(0.1))
        if context.last.done():
            break
        context.last.cancel()
        run(context, asyncio.sleep(0))
        context.last = start(context, context.name)
    grant = run(context, context.last)
    assert isinstance(grant, Grant) and grant.upstream == f"u-{data_centre}", grant


@when('"{name}" has requested 1 slot in "south" and waits for it')
@when('"{name}" has requested 1 slot in "south" and holds it')
def go_away(context, name):
    start_away(context, name)
    run(context, asyncio.sleep(0.05))


@when('"south" becomes unreachable while "a" waits for 1 slot there')
def cut_off(context):
    fill(context, "x", 0)
    start_away(context, "a")
    for name in ("x", "y"):
        run(context, context.bench.capacities.pop(name).close())


@when('"{name}" waits for a slot in "south" for at most {bound_s:g} s')
def go_away_for(context, name, bound_s):
    start_away(context, name, bound_s)


@when("the request to the other data centre is cancelled")
def leave(context):
    context.last.cancel()


@when("the last slot is released")
def give_back(context):
    capacity = context.bench.capacities[context.name]
    capacity.release(context.last.result(), DONE, time.monotonic())


@when('the instance "{name}" restarts')
def restart(context, name):
    bench = context.bench
    run(context, bench.capacities.pop(name).close())
    seed = bench.seeds[name]
    run(context, start_instance(bench, name, bind_socket(seed.host, seed.port)))


@then('the number of slots in use in "{data_centre}" is {count:d}')
def check_count(context, count, data_centre):
    wait(context, lambda: count_in_use(context, data_centre) == count)


@then('no request of "{name}" is left in "south"')
def check_nothing(context, name):
    def is_empty():
        return not any(
            capacity.state.agents.by_name[name].entries
            for capacity in context.bench.capacities.values()
            if name in capacity.state.agents.by_name
        )

    wait(context, is_empty)
    assert count_in_use(context, "south") == context.slots["south"]


@then("the request ends without a slot in the other data centre within {bound_s:g} s")
def check_none(context, bound_s):
    assert run(context, asyncio.wait_for(context.last, bound_s)) is None
