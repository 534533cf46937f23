import asyncio
from dataclasses import replace

from behave import given, then, when
from decide_steps import make_call

from features.claims.virtual_loop import VirtualLoop
from jujubenotch.dispatch import AttemptEnd, Exchanges, watch_exchange
from jujubenotch.dispatch.attempt import Attempt

STREAM = replace(make_call(is_idempotent=True), is_stream=True)


@given("streams have an idle timeout of {idle_s:g} s")
def give_exchanges(context, idle_s):
    context.loop = VirtualLoop()
    context.add_cleanup(context.loop.close)
    context.exchanges = Exchanges(idle_timeout_s=idle_s)
    context.works = []


def add_work(context, call, work, *, begin_s=0.0, upstream="engine-1"):
    async def run():
        await asyncio.sleep(begin_s)
        attempt = Attempt(sent_at_s=context.loop.time())
        await watch_exchange(context.exchanges, upstream, call, attempt, work(attempt))
        return attempt.end, context.loop.time()

    context.works.append(run)


async def wait_for_ever(attempt):
    await asyncio.sleep(1e6)


@given("a call has waited for its response since {begin_s:g} s")
def give_wait(context, begin_s):
    add_work(context, make_call(is_idempotent=True), wait_for_ever, begin_s=begin_s)


@given("a call has waited for another upstream since {begin_s:g} s")
def give_other_wait(context, begin_s):
    call = make_call(is_idempotent=True)
    add_work(context, call, wait_for_ever, begin_s=begin_s, upstream="engine-2")


@given("a non-idempotent call has waited for its response since {begin_s:g} s")
def give_bound_wait(context, begin_s):
    add_work(context, make_call(is_idempotent=False), wait_for_ever, begin_s=begin_s)


@given("a stream ends as silent at {end_s:g} s")
def give_silent_stream(context, end_s):
    async def fall_silent(attempt):
        await asyncio.sleep(end_s)
        attempt.end = AttemptEnd.SILENT

    add_work(context, STREAM, fall_silent)


@given("another stream receives tokens continuously")
def give_live_stream(context):
    async def bring_tokens(attempt):
        while True:
            attempt.last_token_at_s = context.loop.time()
            await asyncio.sleep(0.1)

    add_work(context, STREAM, bring_tokens)


@when("{end_s:g} s have passed")
def pass_time(context, end_s):
    async def run_all():
        tasks = [asyncio.create_task(work()) for work in context.works]
        await asyncio.sleep(end_s)
        context.ended = [task.result() if task.done() else None for task in tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.begin_s = context.loop.time()
    context.loop.run_until_complete(run_all())


@then("the call ended as silent at {end_s:g} s")
def check_ended(context, end_s):
    end, ended_s = context.ended[0]
    assert end is AttemptEnd.SILENT
    assert abs(ended_s - context.begin_s - end_s) < 0.01, ended_s


@then("the call still waits")
def check_waiting(context):
    assert context.ended[0] is None, context.ended
