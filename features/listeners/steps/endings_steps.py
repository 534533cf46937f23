"""Steps about how a listener ends streamed responses."""

import asyncio
import itertools

import uvloop
from behave import given, then, when
from sanic import HTTPResponse, Sanic
from sanic.exceptions import BadRequest

from jujubenotch.listeners import bind_socket, start_listener, stop_listener

NUMBERS = itertools.count()
TIMEOUT_S = 20
PARTS = (b"first ", b"second ")
READ_BYTES = 65536
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
def give_chunked_listener(context, end):
    async def stream(request):
        response = await request.respond()
        for part in PARTS:
            await response.send(part)
        await ENDS[end](request)

    start(context, stream)


@given("a listener whose handler streams 2 parts without a length and then {end}")
def give_unframed_listener(context, end):
    async def stream(request):
        response = HTTPResponse()
        await request.stream.respond_unframed(response)
        for part in PARTS:
            await response.send(part)
        await ENDS[end](request)

    start(context, stream)


@given(
    "a listener whose handler sends {size_bytes:d} bytes without a length and finishes"
)
def give_large_listener(context, size_bytes):
    async def stream(request):
        response = HTTPResponse()
        await request.stream.respond_unframed(response)
        await response.send(b"x" * size_bytes)
        await request.stream.finish_response()

    start(context, stream)


def start(context, stream):
    # The loop of the router.
    context.runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    context.add_cleanup(context.runner.close)
    app = Sanic(f"endings-{next(NUMBERS)}", configure_logging=False)
    app.add_route(stream, "/")
    context.listener = run(context, start_listener(app, bind_socket("127.0.0.1", 0)))
    context.add_cleanup(lambda: run(context, stop_listener(context.listener)))


@when("a caller reads the response to the end of the connection")
def read_response(context, pause_s=0.0):
    async def read():
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", context.listener.port
        )
        writer.write(REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        await asyncio.sleep(pause_s)
        context.received = b""
        context.was_reset = False
        try:
            while part := await reader.read(READ_BYTES):
                context.received += part
        except ConnectionResetError:
            context.was_reset = True
        writer.close()

    run(context, read())


@when("a caller reads them after a pause of {pause_s:d} s")
def read_late(context, pause_s):
    read_response(context, pause_s)


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


@then("the connection ended {verdict}")
def check_connection_end(context, verdict):
    assert context.was_reset is (verdict == "by a reset"), context.received[-100:]


@then("the caller received all {size_bytes:d} bytes")
def check_all(context, size_bytes):
    body = context.received.partition(b"\r\n\r\n")[2]
    assert len(body) == size_bytes, len(body)
