import asyncio
import time
from contextlib import suppress

from behave import given, then, when

from standins.relay_core import (
    RelayMode,
    Route,
    close_route,
    open_route,
    set_mode,
    silence_relayed_connections,
)

TIMEOUT_S = 5
SILENCE_WINDOW_S = 0.2


def run_coroutine(context, coroutine):
    return context.loop.run_until_complete(asyncio.wait_for(coroutine, TIMEOUT_S))


@given("an echo server behind a relay")
def start_relay(context):
    context.loop = asyncio.new_event_loop()
    context.received = 0

    async def echo(reader, writer):
        with suppress(ConnectionError):
            while data := await reader.read(100):
                context.received += len(data)
                writer.write(data)
        writer.close()

    async def open_both():
        context.server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = context.server.sockets[0].getsockname()[1]
        context.route = Route(target_host="127.0.0.1", target_port=port)
        await open_route(context.route)

    run_coroutine(context, open_both())
    context.add_cleanup(stop_relay, context)


def stop_relay(context):
    if "echo_task" in context:
        context.echo_task.cancel()

    async def close_all():
        close_route(context.route)
        context.server.close()
        remaining_tasks = asyncio.all_tasks() - {asyncio.current_task()}
        if remaining_tasks:
            await asyncio.wait(remaining_tasks, timeout=TIMEOUT_S)

    context.loop.run_until_complete(close_all())
    context.loop.close()


async def connect(context):
    return await asyncio.open_connection("127.0.0.1", context.route.port)


async def request_echo(reader, writer, text):
    writer.write(text.encode())
    return (await reader.readexactly(len(text))).decode()


@given("an open connection through the relay")
def open_connection(context):
    context.reader, context.writer = run_coroutine(context, connect(context))
    run_coroutine(context, request_echo(context.reader, context.writer, "ready"))
    context.received = 0


@when('the relay is set to "{mode}"')
def change_mode(context, mode):
    run_coroutine(context, set_mode(context.route, RelayMode(mode)))


@when("the relay's connections are silenced")
def silence_connections(context):
    assert silence_relayed_connections(context.route) == 1


@when("the relay's delay is set to {delay_s:g} s")
def set_delay(context, delay_s):
    context.route.delay_s = delay_s


@then('an echo of "{text}" is received')
def check_echo(context, text):
    async def request_and_wait():
        reader, writer = await connect(context)
        echoed_text = await request_echo(reader, writer, text)
        writer.close()
        return echoed_text

    assert run_coroutine(context, request_and_wait()) == text


@then('an echo of "{text}" takes at least {min_s:g} s')
def check_delayed_echo(context, text, min_s):
    started_s = time.monotonic()
    check_echo(context, text)
    assert time.monotonic() - started_s >= min_s


@then("the open connection is reset")
def check_reset(context):
    try:
        data = run_coroutine(context, context.reader.read(1))
    except ConnectionResetError:
        return
    raise AssertionError(f"the open connection was not reset: read returned {data!r}")


@then("a new connection is refused")
def check_refused_connection(context):
    try:
        run_coroutine(context, connect(context))
    except ConnectionRefusedError:
        return
    raise AssertionError(
        "the relay accepted a connection, which its cut route must refuse"
    )


@then('an echo of "{text}" is not received on the open connection')
def check_no_echo(context, text):
    async def request_and_wait():
        context.echo_task = asyncio.ensure_future(
            request_echo(context.reader, context.writer, text)
        )
        await asyncio.wait([context.echo_task], timeout=SILENCE_WINDOW_S)
        return context.echo_task.done()

    assert not run_coroutine(context, request_and_wait())


@then("{count:d} bytes reached the echo server")
def check_received(context, count):
    assert context.received == count, context.received


@then('the echo of "{text}" is received on the open connection')
def check_late_echo(context, text):
    async def wait_for_echo():
        return await context.echo_task

    assert run_coroutine(context, wait_for_echo()) == text
