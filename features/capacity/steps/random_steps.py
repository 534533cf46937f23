import asyncio
import random
import time

from behave import then, when

from features.capacity.bench import (
    Bench,
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
DONE = WorkReport(result=WorkResult.COMPLETED, tokens=3)


def draw_configuration(revision, chance):
    upstreams = {}
    for model in range(MODELS):
        models = [f"m{model}"]
        if chance.random() < 0.3:
            models.append(f"m{(model + 1) % MODELS}")
        for copy in range(2):
            name = f"u{model}{copy}"
            upstreams[name] = Upstream(
                name=name,
                kind=UpstreamKind.MODEL,
                data_centre="north",
                url="http://127.0.0.1:1",
                models=tuple(models),
                slots=chance.randint(2, 6),
            )
    return Configuration(revision=revision, upstreams=upstreams)


async def start_bench(names, chance):
    bench = Bench(
        loop=asyncio.get_running_loop(),
        target="m0",
        slots=4,
        configuration=draw_configuration(1, chance),
    )
    bounds = {name: bind_socket("127.0.0.1", 0) for name in names}
    for name, bound in bounds.items():
        port = bound.getsockname()[1]
        bench.seeds[name] = Seed(
            name=name, data_centre="north", host="127.0.0.1", port=port
        )
    for name, bound in bounds.items():
        await start_instance(bench, name, bound)
    return bench


async def call_until(bench, name, chance, stopping):
    while not stopping.is_set():
        capacity = bench.capacities.get(name)
        if capacity is None:
            await asyncio.sleep(0.02)
            continue
        request = make_request(
            target=f"m{chance.randrange(MODELS)}",
            tier=chance.randrange(4),
            deadline_in_s=chance.choice([0.2, 1, 5]),
        )
        task = asyncio.create_task(capacity.acquire(request))
        if chance.random() < 0.2:
            await asyncio.wait([task], timeout=chance.uniform(0, 0.05))
            task.cancel()
        (answer,) = await asyncio.gather(task, return_exceptions=True)
        if isinstance(answer, Grant):
            await asyncio.sleep(chance.uniform(0, 0.06))
            capacity.release(answer, DONE, time.monotonic())
        else:
            await asyncio.sleep(0.01)


async def restart(bench, name, chance):
    capacity = bench.capacities.pop(name)
    await capacity.close()
    await asyncio.sleep(chance.uniform(0, 0.5))
    await start_instance(bench, name, bind_socket("127.0.0.1", bench.seeds[name].port))


async def stop_as_planned(bench, name, chance):
    bench.capacities[name].begin_leaving()
    await asyncio.sleep(0.3)
    await restart(bench, name, chance)


async def reconfigure(bench, name, chance):
    revision = bench.configuration.revision + 1
    bench.configuration = draw_configuration(revision, chance)
    for capacity in tuple(bench.capacities.values()):
        capacity.reconfigure(bench.configuration, time.monotonic())
        await asyncio.sleep(chance.uniform(0, 0.05))


async def turn_deaf(bench, name, chance):
    fields = vars(bench.capacities[name].listener.service.context)
    on_frame = fields["on_frame"]
    fields["on_frame"] = lambda session, frame: None
    await asyncio.sleep(chance.uniform(0.2, 1.0))
    fields["on_frame"] = on_frame


async def stall(bench, name, chance):
    time.sleep(chance.uniform(0.1, 0.8))


EVENTS = (restart, stop_as_planned, reconfigure, turn_deaf, stall)


async def run_randomly(names, duration_s, seed):
    chance = random.Random(seed)
    bench = await start_bench(names, chance)
    stopping = asyncio.Event()
    callers = [
        asyncio.create_task(
            call_until(bench, name, random.Random(f"{seed} {name} {number}"), stopping)
        )
        for name in names
        for number in range(CALLERS_EACH)
    ]
    ends_s = time.monotonic() + duration_s
    while time.monotonic() < ends_s:
        await asyncio.sleep(chance.uniform(0.05, 0.3))
        await chance.choice(EVENTS)(bench, chance.choice(names), chance)
    stopping.set()
    return bench, callers


def list_left(bench):
    left = []
    for name, capacity in bench.capacities.items():
        state = capacity.state
        left += [(name, entry) for entry in state.client.entries]
        left += [(name, grant) for grant in state.client.held]
        for home in (state.home, state.fallback):
            left += [(name, entry) for entry in home.entries]
            for group, pool in home.keeper.pools.items():
                summary = summarise(pool, time.monotonic())
                if sum(summary.in_progress) or sum(summary.queued):
                    left.append((name, group, summary))
    return left


@when(
    "{count:d} instances run for {duration_s:g} s with random events from seed {seed:d}"
)
def run_random_events(context, count, duration_s, seed):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.bench, context.callers = context.loop.run_until_complete(
        run_randomly("abcdefgh"[:count], duration_s, seed)
    )
    context.add_cleanup(
        lambda: context.loop.run_until_complete(close_all(context.bench))
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
            wait_until(lambda: not list_left(context.bench))
        )
    except TimeoutError:
        raise AssertionError(list_left(context.bench)) from None
