import asyncio
import time

from behave import given, then, when

from features.capacity.cluster import make_request, run
from jujubenotch.admission import Grant, WorkReport, WorkResult, summarise
from jujubenotch.capacity import LocalCapacity
from jujubenotch.records import Configuration, Upstream, UpstreamKind


def make_configuration(slots, names=("u",), revision=1):
    upstreams = {
        name: Upstream(
            name=name,
            kind=UpstreamKind.MODEL,
            data_centre="north",
            url="http://127.0.0.1:1",
            models=("m",),
            slots=slots,
        )
        for name in names
    }
    return Configuration(revision=revision, upstreams=upstreams)


def run_pending_tasks(context):
    run(context, asyncio.sleep(0.01))


def read_granted(context):
    return [
        task.result()
        for task in context.tasks
        if task.done() and not task.cancelled() and isinstance(task.result(), Grant)
    ]


def request_slot(context, request):
    task = context.loop.create_task(context.capacity.acquire(request))
    context.tasks.append(task)
    run_pending_tasks(context)
    return task


def release_slot(context, grant):
    report = WorkReport(result=WorkResult.COMPLETED, tokens=10)
    context.capacity.release(grant, report, time.monotonic())
    run_pending_tasks(context)


@given("one instance and an upstream with {slots:d} slots")
def make_capacity(context, slots):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.tasks = []
    context.capacity = LocalCapacity(
        name="a", incarnation=1, data_centre="north", read_clock_s=time.monotonic
    )
    context.capacity.reconfigure(make_configuration(slots), time.monotonic())
    context.add_cleanup(lambda: run(context, context.capacity.close()))


@when("{count:d} requests for a slot are made")
def request_slots(context, count):
    for _ in range(count):
        request_slot(context, make_request())


@when("a request with a deadline in {deadline_in_s:g} s is made")
def request_with_deadline(context, deadline_in_s):
    context.last = request_slot(context, make_request(deadline_in_s=deadline_in_s))


@when('a request for model "{target}" is made')
def request_model(context, target):
    context.last = request_slot(context, make_request(target=target))


@when("a slot is released")
def release_one(context):
    release_slot(context, read_granted(context)[0])


@when("the first slot is released twice")
def release_twice(context):
    grant = read_granted(context)[0]
    release_slot(context, grant)
    release_slot(context, grant)


@when("the waiting request is cancelled")
def cancel_waiting(context):
    context.tasks[-1].cancel()
    run_pending_tasks(context)


@when("the instance is closed")
def close(context):
    run(context, context.capacity.close())
    context.last = context.tasks[-1]


@then("{count:d} of the requests hold a slot")
def check_granted(context, count):
    assert len(read_granted(context)) == count, read_granted(context)


@then("the number of slots in use is {count:d}")
def check_in_use(context, count):
    pool = next(iter(context.capacity.pool_runner.pools.values()))
    in_use = sum(summarise(pool, time.monotonic()).in_progress)
    assert in_use == count, in_use


@then('the request is refused with "{reason}"')
@then('the waiting request is refused with "{reason}"')
def check_refusal(context, reason):
    refusal = run(context, context.last)
    assert refusal.reason == reason, refusal


@when("a slot is released and the instance closed in one event loop iteration")
def release_and_close_at_once(context):
    async def release_and_close():
        report = WorkReport(result=WorkResult.COMPLETED, tokens=10)
        context.capacity.release(read_granted(context)[0], report, time.monotonic())
        await context.capacity.close()

    run(context, release_and_close())


@then("all tasks of the instance have ended")
def check_ended(context):
    unfinished = [task for task in asyncio.all_tasks(context.loop) if not task.done()]
    assert not unfinished, unfinished
