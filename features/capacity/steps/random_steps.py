import asyncio
import random
import time

from behave import then, when

from features.capacity.cluster import (
    Cluster,
    close_all,
    make_request,
    start_instance,
    wait_until,
)
from jujubenotch.admission import Grant, WorkReport, WorkResult, summarise
from jujubenotch.listeners import bind_socket
from jujubenotch.records import Configuration, Upstream, UpstreamKind
from jujubenotch.settings import Seed

CALLERS_EACH = 8
MODELS = 3
COMPLETED_REPORT = WorkReport(result=WorkResult.COMPLETED, tokens=3)


def make_random_configuration(revision, rng):
    upstreams = {}
    for model in range(MODELS):
        models = [f"m{model}"]
        if rng.random() < 0.3:
            models.append(f"m{(model + 1) % MODELS}")
        for copy in range(2):
            name = f"u{model}{copy}"
            upstreams[name] = Upstream(
                name=name,
                kind=UpstreamKind.MODEL,
                data_centre="north",
                url="http://127.0.0.1:1",
                models=tuple(models),
                slots=rng.randint(2, 6),
            )
    return Configuration(revision=revision, upstreams=upstreams)


async def start_cluster(names, rng):
    cluster = Cluster(
        loop=asyncio.get_running_loop(),
        target="m0",
        slots=4,
        configuration=make_random_configuration(1, rng),
    )
    bounds = {name: bind_socket("127.0.0.1", 0) for name in names}
    for name, bound in bounds.items():
        port = bound.getsockname()[1]
        cluster.seeds[name] = Seed(
            name=name, data_centre="north", host="127.0.0.1", port=port
        )
    for name, bound in bounds.items():
        await start_instance(cluster, name, bound)
    return cluster


async def call_until(cluster, name, rng, stopping):
    while not stopping.is_set():
        capacity = cluster.capacities.get(name)
        if capacity is None:
            await asyncio.sleep(0.02)
            continue
        request = make_request(
            target=f"m{rng.randrange(MODELS)}",
            tier=rng.randrange(4),
            deadline_in_s=rng.choice([0.2, 1, 5]),
        )
        task = asyncio.create_task(capacity.acquire(request))
        if rng.random() < 0.2:
            await asyncio.wait([task], timeout=rng.uniform(0, 0.05))
            task.cancel()
        (answer,) = await asyncio.gather(task, return_exceptions=True)
        if isinstance(answer, Grant):
            await asyncio.sleep(rng.uniform(0, 0.06))
            capacity.release(answer, COMPLETED_REPORT, time.monotonic())
        else:
            await asyncio.sleep(0.01)


async def restart(cluster, name, rng):
    capacity = cluster.capacities.pop(name)
    await capacity.close()
    await asyncio.sleep(rng.uniform(0, 0.5))
    await start_instance(
        cluster, name, bind_socket("127.0.0.1", cluster.seeds[name].port)
    )


async def shut_down_and_restart(cluster, name, rng):
    cluster.capacities[name].announce_shutdown()
    await asyncio.sleep(0.3)
    await restart(cluster, name, rng)


async def reconfigure(cluster, name, rng):
    revision = cluster.configuration.revision + 1
    cluster.configuration = make_random_configuration(revision, rng)
    for capacity in tuple(cluster.capacities.values()):
        capacity.reconfigure(cluster.configuration, time.monotonic())
        await asyncio.sleep(rng.uniform(0, 0.05))


async def ignore_requests(cluster, name, rng):
    fields = vars(cluster.capacities[name].listener.service.callbacks)
    on_frame = fields["on_frame"]
    fields["on_frame"] = lambda session, frame: None
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    fields["on_frame"] = on_frame


async def block_event_loop(cluster, name, rng):
    time.sleep(rng.uniform(0.1, 0.8))


EVENTS = (
    restart,
    shut_down_and_restart,
    reconfigure,
    ignore_requests,
    block_event_loop,
)


async def run_randomly(names, duration_s, seed):
    rng = random.Random(seed)
    cluster = await start_cluster(names, rng)
    stopping = asyncio.Event()
    callers = [
        asyncio.create_task(
            call_until(
                cluster, name, random.Random(f"{seed} {name} {number}"), stopping
            )
        )
        for name in names
        for number in range(CALLERS_EACH)
    ]
    ends_s = time.monotonic() + duration_s
    while time.monotonic() < ends_s:
        await asyncio.sleep(rng.uniform(0.05, 0.3))
        await rng.choice(EVENTS)(cluster, rng.choice(names), rng)
    stopping.set()
    return cluster, callers


def list_leaks(cluster):
    leaks = []
    for name, capacity in cluster.capacities.items():
        state = capacity.state
        leaks += [(name, entry) for entry in state.client.entries]
        leaks += [(name, grant) for grant in state.client.held]
        for coordinator in (state.coordinator, state.fallback):
            leaks += [(name, entry) for entry in coordinator.entries]
            for group, pool in coordinator.pool_runner.pools.items():
                summary = summarise(pool, time.monotonic())
                if sum(summary.in_progress) or sum(summary.queued):
                    leaks.append((name, group, summary))
    return leaks


@when(
    "{count:d} instances run for {duration_s:g} s with random events from seed {seed:d}"
)
def run_random_events(context, count, duration_s, seed):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.cluster, context.callers = context.loop.run_until_complete(
        run_randomly("abcdefgh"[:count], duration_s, seed)
    )
    context.add_cleanup(
        lambda: context.loop.run_until_complete(close_all(context.cluster))
    )


@then("every request has been answered")
def check_answered(context):
    async def wait_for_callers():
        async with asyncio.timeout(8):
            await asyncio.gather(*context.callers)

    context.loop.run_until_complete(wait_for_callers())


@then("within {bound_s:g} s no slot or request is left on any instance")
def check_nothing_left(context, bound_s):
    try:
        context.loop.run_until_complete(
            wait_until(lambda: not list_leaks(context.cluster))
        )
    except TimeoutError:
        raise AssertionError(list_leaks(context.cluster)) from None
