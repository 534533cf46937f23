"""Steps about how a listener ends streamed responses."""

import asyncio
import itertools

from behave import given, then, when
from sanic import Sanic
from sanic.exceptions import BadRequest

from jujubenotch.listeners import bind_socket, start_listener, stop_listener

NUMBERS = itertools.count()
TIMEOUT_S = 10
PARTS = (b"first ", b"second ")
FINAL_CHUNK = b"0\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def run(context, coroutine):
    async def run_with_timeout():
        async with asyncio.timeout(TIMEOUT_S):
            return await coroutine

    return context.runner.run(run_with_timeout())


async def finish(request):
    await request.stream.finish_response()


async def fail(request):
    raise RuntimeError("an unexpected error")


async def refuse(request):
    raise BadRequest("an error that has a status")


async def do_nothing(request):
    pass


async def cancel(request):
    asyncio.current_task().cancel()
    await asyncio.sleep(0)


async def close(request):
    request.transport.close()


ENDS = {
    "finishes the response": finish,
    "raises an error": fail,
    "raises a caller's error": refuse,
    "returns": do_nothing,
    "is cancelled": cancel,
    "closes the transport": close,
}


@given("a listener whose handler streams 2 parts and then {end}")
def give_streaming_listener(context, end):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    app = Sanic(f"endings-{next(NUMBERS)}", configure_logging=False)

    async def stream(request):
        response = await request.respond()
        for part in PARTS:
            await response.send(part)
        await ENDS[end](request)

    app.add_route(stream, "/")
    context.listener = run(context, start_listener(app, bind_socket("127.0.0.1", 0)))
    context.add_cleanup(lambda: run(context, stop_listener(context.listener)))


@when("a caller reads the response to the end of the connection")
def read_response(context):
    async def read():
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", context.listener.port
        )
        writer.write(REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        context.received = await reader.read()
        writer.close()

    run(context, read())


@when("a caller sends two requests on one connection")
def send_two_requests(context):
    async def send():
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", context.listener.port
        )
        context.responses = []
        for _ in range(2):
            writer.write(REQUEST)
            context.responses.append(await reader.readuntil(FINAL_CHUNK))
        writer.close()

    run(context, send())


@then("the caller received the 2 parts")
def check_parts(context):
    assert all(part in context.received for part in PARTS), context.received


@then("the response ends with the final chunk")
def check_final_chunk(context):
    assert context.received.endswith(FINAL_CHUNK), context.received


@then("the response ends without the final chunk")
def check_no_final_chunk(context):
    assert not context.received.endswith(FINAL_CHUNK), context.received


@then("both responses end with the final chunk")
def check_both(context):
    for response in context.responses:
        assert all(part in response for part in PARTS), response
