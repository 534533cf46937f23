import asyncio

from behave import given, then, when

from jujubenotch.dispatch.silence_limit import (
    Leaving,
    limit_silence,
    pause_limit,
)
from jujubenotch.upstreams import SilentUpstreamError


@given("an exchange that is heard when its limit of {limit_s:g} s passes")
def hear_exchange(context, limit_s):
    context.limit_s = limit_s
    context.is_heard = True


@given("an exchange that is not heard")
def silence_exchange(context):
    context.is_heard = False


@when("what was heard takes {send_s:g} s to be sent to the caller")
def send_heard(context, send_s):
    play(context, send_s)


@when("its limit of {limit_s:g} s passes")
def pass_limit(context, limit_s):
    context.limit_s = limit_s
    play(context, 0.0)


def play(context, send_s):
    context.sent = False
    context.error = None

    async def exchange():
        heard = asyncio.Event()

        def try_to_leave():
            if context.is_heard:
                heard.set()
            return True

        async with limit_silence(
            context.limit_s, Leaving(decide=try_to_leave)
        ) as limit:
            await heard.wait()
            pause_limit(limit)
            await asyncio.sleep(send_s)
            context.sent = True

    try:
        asyncio.run(exchange())
    except SilentUpstreamError as error:
        context.error = error


@then("it was sent, and the exchange ended by itself")
def check_sent(context):
    assert context.sent and context.error is None, context.error


@then("the exchange ended for the silence")
def check_silence(context):
    assert not context.sent and context.error is not None
