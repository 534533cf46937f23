import asyncio
import gc
import weakref

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


class Held:
    """An object that an exchange holds."""


@given("an exchange that holds an object and ends by itself")
def prepare_end(context):
    context.add_cleanup(gc.enable)


@when("no garbage is collected")
def end_without_collection(context):
    gc.disable()
    context.reference = asyncio.run(hold_and_end())


async def hold_and_end():
    held = Held()
    async with limit_silence(60.0, Leaving(decide=lambda: bool(held))):
        await asyncio.sleep(0)
    return weakref.ref(held)


@then("the object is freed")
def check_freed(context):
    assert context.reference() is None
