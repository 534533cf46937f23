import asyncio
import logging
import random

from behave import given, then, when

from features.leases.members import (
    MemoryStore,
    play,
    run_in_virtual_time,
    start_watch,
)
from jujubenotch.daemon.forward_cloud import GuardedApi
from jujubenotch.daemon.forward_leases import (
    find_token,
    hand_over,
    refresh_token,
    write_records,
)
from jujubenotch.leases import ApiResult, UpstreamOrder

FIRST_SEED = 900
ORDER = UpstreamOrder(service="s", data_centre="a", count=3)


class ScriptedApi:
    """An API with one result for all calls."""

    def __init__(self, result, delay_s=0.01):
        self.result = result
        self.delay_s = delay_s
        self.tokens = []

    async def send_usage(self, window, counts, holder, token, timeout_s):
        self.tokens.append(token)
        await asyncio.sleep(self.delay_s)
        return self.result

    async def order_upstreams(self, order, holder, token, timeout_s):
        self.tokens.append(token)
        await asyncio.sleep(self.delay_s)
        return self.result


def now_s():
    return asyncio.get_running_loop().time()


async def start_holder(context, *, is_fenced=True, result=ApiResult.DONE, delay_s=0.01):
    context.store = MemoryStore(draw=random.Random(1))
    watch, task = start_watch(context.store, "first", is_fenced=is_fenced)
    context.tasks = [task]
    context.script = ScriptedApi(result, delay_s)
    watch.api = GuardedApi(watch=watch, api=context.script)
    await watch.tenure_began.wait()
    return watch


def add_second(context):
    watch, task = start_watch(context.store, "second")
    context.tasks.append(task)
    return watch


async def call(watch, kind):
    token = find_token(watch, now_s())
    if kind == "report":
        return await watch.api.send_usage(1, {}, watch.name, token, 1.0)
    return await watch.api.order_upstreams(ORDER, watch.name, token, 1.0)


@when(
    "{count:d} runs of three instances with a store that fails in every way are played"
)
def play_runs(context, count):
    logging.disable(logging.CRITICAL)
    try:
        context.runs = [play(FIRST_SEED + number) for number in range(count)]
    finally:
        logging.disable(logging.NOTSET)


@then("each confirmed record was written once, under the token of its holder")
def check_confirmed(context):
    for run in context.runs:
        executed = {}
        for nonce, token, _, writes in run.store.log:
            for content in writes.values():
                executed.setdefault(content, []).append((nonce, token))
        for nonce, token, content in run.confirmed:
            found = executed.get(content)
            assert found is not None and len(found) == 1, (content, found)
            assert found[0][0] == nonce and token in (None, found[0][1]), found


@then(
    "at least {confirmed:d} writes were confirmed, {refused:d} not confirmed and "
    "{refreshed:d} tokens refreshed"
)
def check_counts(context, confirmed, refused, refreshed):
    counts = (
        sum(len(run.confirmed) for run in context.runs),
        sum(run.refused for run in context.runs),
        sum(run.refreshed for run in context.runs),
    )
    wanted = (confirmed, refused, refreshed)
    assert all(map(int.__ge__, counts, wanted)), counts


@then("exactly one instance holds the lease at the end of each run")
def check_holders(context):
    for run in context.runs:
        holders = [watch for watch in run.watches if watch.tenure_began.is_set()]
        assert len(holders) == 1, [watch.name for watch in holders]


@given('a holder that has written the records "orders" and "usage-1"')
def give_records(context):
    async def write():
        watch = await start_holder(context)
        assert await write_records(watch, {"orders": b"o", "usage-1": b"u"})
        return watch

    context.begin = write


@when('it removes the record "usage-1" and hands the lease over')
def remove_and_hand_over(context):
    async def work():
        first = await context.begin()
        assert await write_records(first, {}, ["usage-1"])
        second = add_second(context)
        # A new process rests, as its predecessor may have held the lease.
        await asyncio.sleep(5)
        token = find_token(first, now_s())
        await hand_over(first)
        begin_s = now_s()
        context.first_token = find_token(first, now_s())
        await second.tenure_began.wait()
        context.found = {
            "wait_s": now_s() - begin_s,
            "tokens": (token, find_token(second, now_s())),
            "records": dict(second.records),
        }

    run_in_virtual_time(work)


@then("another instance holds the lease within {limit:d} s, with a higher token")
def check_successor(context, limit):
    found = context.found
    assert found["wait_s"] <= limit, found
    assert found["tokens"][0] < found["tokens"][1], found


@then('it has read the records "orders"')
def check_records(context):
    assert context.found["records"] == {"orders": b"o"}, context.found


@then("the instance that stops may no longer act")
def check_stopped(context):
    assert context.first_token is None


@given("a holder with fencing")
def give_fenced(context):
    context.begin = lambda: start_holder(context)


@given("a holder without fencing")
def give_unfenced(context):
    context.begin = lambda: start_holder(context, is_fenced=False)


@given("a holder whose store is away")
def give_store_away(context):
    async def begin():
        watch = await start_holder(context)
        context.store.is_away = True
        return watch

    context.begin = begin


@when("it refreshes its token")
def refresh(context):
    async def work():
        watch = await context.begin()
        before = watch.state.tenure.token
        context.tokens = before, await refresh_token(watch)
        context.has_ended = watch.state.tenure is None
        context.current = find_token(watch, now_s())

    run_in_virtual_time(work)


@then("the token is higher than before")
def check_higher(context):
    before, after = context.tokens
    assert after > before and context.current == after


@then("the token is the same as before")
def check_same(context):
    before, after = context.tokens
    assert after == before == context.current


@then("the token is none, and the tenure has ended")
def check_no_token(context):
    assert context.tokens[1] is None and context.has_ended


@given("a holder with a call to the API in progress that takes {length:g} s")
def give_slow_call(context, length):
    async def begin():
        watch = await start_holder(context, delay_s=length)
        context.tasks.append(asyncio.create_task(call(watch, "report")))
        await asyncio.sleep(0.001)
        return watch

    context.begin = begin


@when("it hands the lease over")
def hand_lease_over(context):
    async def work():
        watch = await context.begin()
        begin_s = now_s()
        token = find_token(watch, begin_s)
        task = asyncio.create_task(hand_over(watch))
        await asyncio.sleep(0.1)
        context.late_result = await watch.api.send_usage(2, {}, "first", token, 1.0)
        await task
        context.took_s = now_s() - begin_s

    run_in_virtual_time(work)


@then("the row is released after {length:g} s, and no call begins meanwhile")
def check_released(context, length):
    assert context.store.lease.is_released
    assert length <= context.took_s + 0.002 < length + 0.2, context.took_s
    assert context.late_result is ApiResult.NOT_DONE
    assert len(context.script.tokens) == 1


@when("the API refuses its {kind}")
def refuse(context, kind):
    async def work():
        watch = await start_holder(context, result=ApiResult.CONFLICT)
        token = find_token(watch, now_s())
        assert await call(watch, kind) is ApiResult.CONFLICT
        begin_s = now_s()
        again = await watch.api.send_usage(2, {}, "first", token, 1.0)
        context.again = again
        while find_token(watch, now_s()) is None:
            await asyncio.sleep(0.05)
        context.rest_s = now_s() - begin_s
        context.tokens = token, find_token(watch, now_s())

    run_in_virtual_time(work)


@then("no call with that token is sent")
def check_not_sent(context):
    assert context.again is ApiResult.NOT_DONE
    assert len(context.script.tokens) == 1
    assert context.tokens[1] > context.tokens[0]


@then("the instance rests for {length:g} s")
def check_rest(context, length):
    assert length <= context.rest_s < length + 1, context.rest_s


@then("a fresh token is found within {length:g} s")
def check_fresh(context, length):
    assert context.rest_s <= length, context.rest_s


@given("a holder with fencing and another instance")
def give_two(context):
    async def begin():
        first = await start_holder(context, result=ApiResult.NOT_DONE)
        second = add_second(context)

        async def know_another():
            return True

        first.has_others = know_another
        await asyncio.sleep(5)
        return first, second

    context.begin = begin


@when("its calls to the API fail for {length:d} s")
def fail_calls(context, length):
    async def work():
        first, second = await context.begin()
        end_s = now_s() + length
        while now_s() < end_s:
            await asyncio.sleep(0.4)
            if find_token(first, now_s()) is not None:
                await call(first, "order")
        await asyncio.sleep(2)
        context.holders = [
            watch.name for watch in (first, second) if watch.tenure_began.is_set()
        ]

    run_in_virtual_time(work)


@then("the other instance holds the lease")
def check_other(context):
    assert context.holders == ["second"], context.holders


@when("a call to the store raises an error that nothing expects")
def raise_unexpected(context):
    async def work():
        watch = await context.begin()
        call, context.store.write = context.store.write, None
        await asyncio.sleep(1.5)
        context.is_held_after_error = watch.tenure_began.is_set()
        context.store.write = call
        await asyncio.sleep(2)
        context.is_held_again = find_token(watch, now_s()) is not None

    run_in_virtual_time(work)


@then("the tenure has ended, and 2 s later the instance holds the lease again")
def check_held_again(context):
    assert not context.is_held_after_error
    assert context.is_held_again
