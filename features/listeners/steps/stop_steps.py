import asyncio
import itertools
import socket

from behave import given, then, when
from sanic import Sanic, response

from jujubenotch.listeners import (
    ListenerLimits,
    bind_socket,
    start_listener,
    stop_listener,
)
from jujubenotch.listeners.core import ACCEPT_PAUSE_S

NUMBERS = itertools.count()
TIMEOUT_S = 20
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def run(context, coroutine):
    async def run_with_timeout():
        async with asyncio.timeout(TIMEOUT_S):
            return await coroutine

    return context.runner.run(run_with_timeout())


@given("a listener whose response is {size_bytes:d} bytes long")
def give_large_listener(context, size_bytes):
    context.size_bytes = size_bytes
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.handler_called = asyncio.Event()
    app = Sanic(f"large-{next(NUMBERS)}", configure_logging=False)

    async def answer(request):
        context.handler_called.set()
        return response.raw(b"x" * size_bytes)

    app.add_route(answer, "/")
    starting = start_listener(app, bind_socket("127.0.0.1", 0))
    context.listener = run(context, starting)


def request_and_stop(context, timeout_s):
    async def send_request_and_stop():
        context.reader, context.writer = await asyncio.open_connection(
            "127.0.0.1", context.listener.port
        )
        context.writer.write(REQUEST)
        await context.handler_called.wait()
        stopping = stop_listener(context.listener, timeout_s)
        context.stopping = asyncio.create_task(stopping)
        await asyncio.sleep(0)

    run(context, send_request_and_stop())


@when("a caller sends a request and the listener begins to stop")
def request_then_stop(context):
    request_and_stop(context, None)


@when(
    "a caller sends a request and the listener begins to stop with a time limit of {bound_s:f} s"
)
def request_then_stop_with_timeout(context, bound_s):
    request_and_stop(context, bound_s)


@when("the caller reads the response only after that")
def read_response(context):
    async def read():
        await asyncio.sleep(0.1)
        head = await context.reader.readuntil(b"\r\n\r\n")
        assert b" 200 " in head, head
        return await context.reader.read(-1)

    context.received = run(context, read())


@then("the caller has received the complete response")
def check_response(context):
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


@given("a listener with limits that has served a request")
def give_limited_listener(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    app = Sanic(f"limited-{next(NUMBERS)}", configure_logging=False)
    app.add_route(lambda request: response.text("done"), "/")
    limits = ListenerLimits(
        max_connections=100,
        header_timeout_s=5.0,
        body_timeout_s=5.0,
        count_refused_connection=lambda: None,
    )
    starting = start_listener(app, bind_socket("127.0.0.1", 0), None, limits)
    context.listener = run(context, starting)
    run(context, exchange(context))


async def exchange(context):
    reader, writer = await asyncio.open_connection("127.0.0.1", context.listener.port)
    writer.write(REQUEST)
    await reader.readuntil(b"done")
    writer.close()


@when(
    "{count:d} callers connect and send a request just before the listening socket is "
    "closed"
)
def connect_at_stop(context, count):
    context.callers = []

    def connect():
        # Blocks the event loop, so that it accepts none of these connections.
        for _ in range(count):
            caller = socket.create_connection(("127.0.0.1", context.listener.port))
            caller.sendall(REQUEST)
            context.callers.append(caller)

    async def stop():
        asyncio.get_running_loop().call_later(ACCEPT_PAUSE_S, connect)
        context.stopping = asyncio.create_task(stop_listener(context.listener))
        await context.stopping

    run(context, stop())


@then("each of them gets a complete response")
def check_callers(context):
    replies = []
    for caller in context.callers:
        caller.settimeout(1.0)
        try:
            replies.append(caller.recv(4096))
        except OSError as error:
            replies.append(repr(error).encode())
        caller.close()
    served = [each for each in replies if each.endswith(b"done")]
    assert len(served) == len(context.callers) > 0, (len(served), set(replies))
