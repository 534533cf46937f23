import asyncio
from dataclasses import replace

from behave import given, then, when
from decide_steps import make_call

from features.claims.virtual_loop import VirtualLoop
from jujubenotch.dispatch import AttemptResult, ExchangeRegistry, watch_exchange
from jujubenotch.dispatch.attempt_state import Attempt

STREAM = replace(make_call(is_idempotent=True), is_stream=True)


@given("streams have an idle timeout of {idle_s:g} s")
def give_exchanges(context, idle_s):
    context.loop = VirtualLoop()
    context.add_cleanup(context.loop.close)
    context.exchange_registry = ExchangeRegistry(idle_timeout_s=idle_s)
    context.exchange_runs = []


def add_exchange(context, call, exchange, *, begin_s=0.0, upstream="engine-1"):
    async def run():
        await asyncio.sleep(begin_s)
        attempt = Attempt(sent_at_s=context.loop.time())
        await watch_exchange(
            context.exchange_registry, upstream, call, attempt, exchange(attempt)
        )
        return attempt.end, context.loop.time()

    context.exchange_runs.append(run)


async def wait_forever(attempt):
    await asyncio.sleep(1e6)


@given("a call has waited for its response since {begin_s:g} s")
def give_wait(context, begin_s):
    add_exchange(context, make_call(is_idempotent=True), wait_forever, begin_s=begin_s)


@given("a call has waited for another upstream since {begin_s:g} s")
def give_other_wait(context, begin_s):
    call = make_call(is_idempotent=True)
    add_exchange(context, call, wait_forever, begin_s=begin_s, upstream="engine-2")


@given("a non-idempotent call has waited for its response since {begin_s:g} s")
def give_non_idempotent_wait(context, begin_s):
    add_exchange(context, make_call(is_idempotent=False), wait_forever, begin_s=begin_s)


@given("a stream ends as silent at {end_s:g} s")
def give_silent_stream(context, end_s):
    async def fall_silent(attempt):
        await asyncio.sleep(end_s)
        attempt.end = AttemptResult.SILENT

    add_exchange(context, STREAM, fall_silent)


@given("another stream receives tokens continuously")
def give_live_stream(context):
    async def receive_tokens(attempt):
        while True:
            attempt.last_token_at_s = context.loop.time()
            await asyncio.sleep(0.1)

    add_exchange(context, STREAM, receive_tokens)


@when("{end_s:g} s have passed")
def pass_time(context, end_s):
    async def run_all():
        tasks = [asyncio.create_task(run()) for run in context.exchange_runs]
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
    assert end is AttemptResult.SILENT
    assert abs(ended_s - context.begin_s - end_s) < 0.01, ended_s


@then("the call still waits")
def check_waiting(context):
    assert context.ended[0] is None, context.ended
