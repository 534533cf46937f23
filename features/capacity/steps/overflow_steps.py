import asyncio
import time

from behave import given, then, when

from features.capacity.cluster import (
    Cluster,
    close_all,
    make_request,
    read_in_use,
    run,
    start_instance,
    wait,
)
from jujubenotch.capacity.remote_requests import acquire_remote
from jujubenotch.listeners import bind_socket
from jujubenotch.records import Configuration, Upstream, UpstreamKind
from jujubenotch.settings import Seed
from jujubenotch.work import Grant, WorkReport, WorkResult

TARGET = "m"
COMPLETED_REPORT = WorkReport(result=WorkResult.COMPLETED, tokens=3)


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
        for capacity in context.cluster.capacities.values()
    ]
    return sum(count or 0 for count in counts)


def request_slot(context, name):
    task = context.loop.create_task(
        context.cluster.capacities[name].acquire(make_request(target=TARGET))
    )
    context.cluster.requests.append((name, task))
    return task


def start_remote(context, name, wait_bound_s=30.0):
    state = context.cluster.capacities[name].state
    source = next(iter(state.remote_requests.sources.values()))
    request = make_request(target=TARGET)
    context.last = context.loop.create_task(
        acquire_remote(
            state.remote_requests, source, f"south/{TARGET}", request, wait_bound_s
        )
    )
    context.cluster.requests.append((name, context.last))
    remote_requesters = context.cluster.capacities[
        source.coordinator
    ].state.remote_requesters.by_name
    wait(context, lambda: name in remote_requesters and remote_requesters[name].entries)


@given(
    'instances "{near}" in "north" with {near_slots:d} slots and "{far}" in "south" '
    "with {far_slots:d} slots"
)
def start_both(context, near, near_slots, far, far_slots):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    upstreams = [make_upstream("north", near_slots), make_upstream("south", far_slots)]
    context.slots = {"north": near_slots, "south": far_slots}
    cluster = Cluster(
        loop=context.loop,
        target=TARGET,
        slots=far_slots,
        configuration=Configuration(
            revision=1, upstreams={each.name: each for each in upstreams}
        ),
    )
    context.cluster = cluster
    bounds = {}
    for names, data_centre in ((near, "north"), (far, "south")):
        for name in names.split():
            bounds[name] = bind_socket("127.0.0.1", 0)
            cluster.seeds[name] = Seed(
                name=name,
                data_centre=data_centre,
                host="127.0.0.1",
                port=bounds[name].getsockname()[1],
            )
    for name, bound in bounds.items():
        run(context, start_instance(cluster, name, bound))
    context.add_cleanup(lambda: context.loop.run_until_complete(close_all(cluster)))

    def is_ready():
        return all(
            len(capacity.state.remote_requests.sources) == 2
            and len(capacity.state.live) == 2
            and capacity.state.client.groups[group].source.coordinator
            for capacity in cluster.capacities.values()
            for group in [
                f"{capacity.state.dependencies.data_centre}/{TARGET}",
            ]
        )

    wait(context, is_ready)


@when('"{name}" uses all slots of its data centre and {waiting:d} more requests wait')
def fill(context, name, waiting):
    cluster = context.cluster
    state = cluster.capacities[name].state
    data_centre = state.dependencies.data_centre
    sources = state.remote_requests.sources.copy()
    state.remote_requests.sources.clear()
    for _ in range(context.slots[data_centre] + waiting):
        request_slot(context, name)
    wait(
        context,
        lambda: count_in_use(context, data_centre) == context.slots[data_centre],
    )
    state.remote_requests.sources.update(sources)


@when('"{name}" requests 1 more slot')
def request_one_more(context, name):
    """Make a request, which the check repeats until the local wait is known."""
    context.name = name
    context.last = request_slot(context, name)


@then('the last request gets a slot in "{data_centre}" within {bound_s:g} s')
def check_data_centre(context, data_centre, bound_s):
    until_s = time.monotonic() + bound_s
    while time.monotonic() < until_s:
        run(context, asyncio.sleep(0.1))
        if context.last.done():
            break
        context.last.cancel()
        run(context, asyncio.sleep(0))
        context.last = request_slot(context, context.name)
    grant = run(context, context.last)
    assert isinstance(grant, Grant) and grant.upstream == f"u-{data_centre}", grant


@when('"{name}" has requested 1 slot in "south" and waits for it')
@when('"{name}" has requested 1 slot in "south" and holds it')
def request_remote_slot(context, name):
    start_remote(context, name)
    run(context, asyncio.sleep(0.05))


@when('"south" becomes unreachable while "a" waits for 1 slot there')
def disconnect_south(context):
    fill(context, "x", 0)
    start_remote(context, "a")
    for name in ("x", "y"):
        run(context, context.cluster.capacities.pop(name).close())


@when('"{name}" waits for a slot in "south" for at most {bound_s:g} s')
def wait_remote_for(context, name, bound_s):
    start_remote(context, name, bound_s)


@when("the request to the other data centre is cancelled")
def cancel_remote(context):
    context.last.cancel()


@when("the last slot is released")
def release_slot(context):
    capacity = context.cluster.capacities[context.name]
    capacity.release(context.last.result(), COMPLETED_REPORT, time.monotonic())


@when('the instance "{name}" restarts')
def restart(context, name):
    cluster = context.cluster
    run(context, cluster.capacities.pop(name).close())
    seed = cluster.seeds[name]
    run(context, start_instance(cluster, name, bind_socket(seed.host, seed.port)))


@then('the number of slots in use in "{data_centre}" is {count:d}')
def check_count(context, count, data_centre):
    wait(context, lambda: count_in_use(context, data_centre) == count)


@then('no request of "{name}" is left in "south"')
def check_no_request_left(context, name):
    def is_empty():
        return not any(
            capacity.state.remote_requesters.by_name[name].entries
            for capacity in context.cluster.capacities.values()
            if name in capacity.state.remote_requesters.by_name
        )

    wait(context, is_empty)
    assert count_in_use(context, "south") == context.slots["south"]


@then("the request ends without a slot in the other data centre within {bound_s:g} s")
def check_no_slot(context, bound_s):
    assert run(context, asyncio.wait_for(context.last, bound_s)) is None
