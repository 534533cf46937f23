import asyncio
import itertools

from behave import given, then, when
from sanic import Sanic, response

from jujubenotch.listeners import (
    ListenerLimits,
    bind_socket,
    is_well_formed,
    start_listener,
    stop_listener,
)

NUMBERS = itertools.count()
ANSWER_TIMEOUT_S = 10
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CONTROL_CHARACTERS = {"<CRLF>": "\r\n", "<LF>": "\n", "<CR>": "\r", "<NUL>": "\0"}


@given("a listener that accepts at most {count:d} connections")
def give_listener(context, count):
    context.refused = []
    context.opened = []
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    limits = ListenerLimits(
        max_connections=count,
        header_timeout_s=5.0,
        body_timeout_s=5.0,
        count_refused_connection=lambda: context.refused.append(1),
    )
    starting = start_listener(make_app(), bind_socket("127.0.0.1", 0), None, limits)
    context.listener = context.runner.run(starting)
    context.add_cleanup(stop, context)


def make_app():
    app = Sanic(f"bounded-{next(NUMBERS)}", configure_logging=False)

    async def answer(request):
        return response.text("here")

    app.add_route(answer, "/")
    return app


def stop(context):
    context.runner.run(stop_listener(context.listener))


@when("{count:d} connections are opened")
def open_connections(context, count):
    async def open_all():
        for _ in range(count):
            opened = await asyncio.open_connection("127.0.0.1", context.listener.port)
            context.opened.append(opened)
            # The listener accepts or closes this connection before the next opens.
            await asyncio.sleep(0.05)

    context.runner.run(open_all())


@when("{count:d} connections are opened and send a part of a request")
def open_busy_connections(context, count):
    async def send_part(writer):
        writer.write(REQUEST[:-2])
        await asyncio.sleep(0.05)

    for _ in range(count):
        open_connections(context, 1)
        context.runner.run(send_part(context.opened[-1][1]))


@then("the first connection is closed, and none was refused")
def check_replaced(context):
    assert not receive(context, context.opened[0][0])
    assert not context.refused


@then("the last connection receives a response")
def check_last_connection(context):
    check_response(context, context.opened[-1])


@then("the second connection receives a response")
def check_second_connection(context):
    check_response(context, context.opened[1])


@then("the last connection is closed and counted once")
def check_closed(context):
    assert not receive(context, context.opened[-1][0])
    assert len(context.refused) == 1


@then("the first connection receives a response to the whole request")
def check_first_connection(context):
    check_response(context, context.opened[0], REQUEST[-2:])


@when("the first connection is closed")
def close_first(context):
    async def close():
        _, writer = context.opened[0]
        writer.close()
        await asyncio.sleep(0.1)

    context.runner.run(close())


@then("a new connection receives a response")
def check_new_connection(context):
    open_connections(context, 1)
    check_response(context, context.opened[-1])


def check_response(context, opened, sent=REQUEST):
    reader, writer = opened
    writer.write(sent)
    assert receive(context, reader).startswith(b"HTTP/1.1 200 ")


def receive(context, reader):
    async def read():
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await reader.read(4096)
        except ConnectionResetError:
            return b""

    return context.runner.run(read())


@then('the header line "{line}" is {verdict}')
def check_head(context, line, verdict):
    for name, control in CONTROL_CHARACTERS.items():
        line = line.replace(name, control)
    head = f"POST / HTTP/1.1\r\nHost: a\r\n{line}".encode()
    assert is_well_formed(head) == (verdict == "well formed")
