import asyncio
import itertools

from behave import given, then, when
from sanic import Sanic, response

from jujubenotch.listeners import bind_socket, start_listener, stop_listener

NUMBERS = itertools.count()
BOUND_S = 20
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def run(context, coroutine):
    async def bounded():
        async with asyncio.timeout(BOUND_S):
            return await coroutine

    return context.runner.run(bounded())


@given("a listener whose response is {size_bytes:d} bytes long")
def give_large_listener(context, size_bytes):
    context.size_bytes = size_bytes
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.answered = asyncio.Event()
    app = Sanic(f"large-{next(NUMBERS)}", configure_logging=False)

    async def answer(request):
        context.answered.set()
        return response.raw(b"x" * size_bytes)

    app.add_route(answer, "/")
    starting = start_listener(app, bind_socket("127.0.0.1", 0))
    context.listener = run(context, starting)


def ask_and_stop(context, timeout_s):
    async def ask():
        context.reader, context.writer = await asyncio.open_connection(
            "127.0.0.1", context.listener.port
        )
        context.writer.write(REQUEST)
        await context.answered.wait()
        stopping = stop_listener(context.listener, timeout_s)
        context.stopping = asyncio.create_task(stopping)
        await asyncio.sleep(0)

    run(context, ask())


@when("a caller sends a request and the listener begins to stop")
def ask_then_stop(context):
    ask_and_stop(context, None)


@when(
    "a caller sends a request and the listener begins to stop with a time limit of {bound_s:f} s"
)
def ask_then_stop_bounded(context, bound_s):
    ask_and_stop(context, bound_s)


@when("the caller reads the response only after that")
def read_answer(context):
    async def read():
        await asyncio.sleep(0.1)
        head = await context.reader.readuntil(b"\r\n\r\n")
        assert b" 200 " in head, head
        return await context.reader.read(-1)

    context.received = run(context, read())


@then("the caller has received the complete response")
def check_answer(context):
    assert len(context.received) == context.size_bytes, len(context.received)


@then("the listener has stopped")
def check_listener_ended(context):
    assert run(context, wait_for(context.stopping)) == 0


@then("the listener has stopped with {count:d} connection still open")
def check_listener_open(context, count):
    assert run(context, wait_for(context.stopping)) == count
    context.writer.close()


async def wait_for(task):
    return await task
