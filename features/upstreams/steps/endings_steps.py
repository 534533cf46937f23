import asyncio
import socket
import threading
import time
from dataclasses import dataclass, field

import uvloop
from behave import given, then, when

from features.scripted_upstream import (
    END_OF_HEAD,
    RESET_ON_CLOSE,
    ScriptedUpstream,
    serve_scripted_upstream,
)
from jujubenotch.upstreams import (
    ConnectionLimits,
    ConnectionLostError,
    UpstreamRequest,
    close_connections,
    open_connections,
    open_exchange,
    read_body,
)

LOOPS = {"uvloop": uvloop.new_event_loop, "asyncio": asyncio.new_event_loop}
TIMEOUT_S = 5.0
# Both the bytes and the end have arrived after this time.
PAUSE_S = 0.1
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
LIMITS = ConnectionLimits(max_answer_bytes=1000)
SMALL_BUFFER_BYTES = 4096
HEAD_BYTES = 1024


@dataclass(kw_only=True)
class EarlyResponse:
    """A response that its upstream sends when it has read the head, or the body."""

    reads_body: bool
    size_bytes: int
    has_length: bool
    ending: str = ""
    is_done: threading.Event = field(default_factory=threading.Event)


@given("an upstream that ends a response without a length by a {ending}")
def script_unframed(context, ending):
    context.upstream = ScriptedUpstream(
        response_parts=(b"HTTP/1.1 200 OK\r\n\r\nfirst ", b"second"),
        connection_ending=ending,
    )


@given("an upstream whose response is shorter than its length")
def script_short(context):
    context.upstream = ScriptedUpstream(
        response_parts=(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nfirst",)
    )


@given("an upstream that sends an extra response after each response")
def script_extra(context):
    context.upstream = ScriptedUpstream(
        response_parts=(COMPLETE_RESPONSE, COMPLETE_RESPONSE), connection_ending="keep"
    )


def write_request(url):
    return UpstreamRequest(
        method="GET", url=url + "/x", headers=(), body=b"", is_repeatable=True
    )


async def read_answer(connections, url):
    async with open_exchange(connections, write_request(url)) as answer:
        return await read_body(connections, answer)


@when("the response is read")
def read_response(context):
    async def run():
        connections = open_connections(LIMITS)
        async with serve_scripted_upstream(context.upstream) as upstream:
            try:
                context.body = await read_answer(connections, upstream.url)
            except ConnectionLostError:
                context.body = None
            await close_connections(connections)

    asyncio.run(run())


@given(
    "an upstream that sends the rest of a response without a length, then a {ending}"
)
def prepare_rest(context, ending):
    context.ending = ending


@when("the response is read by {loop:w}, which stands still meanwhile")
def read_in_one_turn(context, loop):
    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        context.body = runner.run(_read_rest(context.ending))


async def _read_rest(ending, *, writes=False):
    loop = asyncio.get_running_loop()
    listener = socket.create_server(("127.0.0.1", 0))
    accepted = loop.run_in_executor(None, _accept, listener)
    connections = open_connections(LIMITS)
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    try:
        async with (
            asyncio.timeout(TIMEOUT_S),
            open_exchange(connections, write_request(url)) as answer,
        ):
            # The thread ends while the loop stands still.
            thread = threading.Thread(target=_end, args=(await accepted, ending))
            thread.start()
            time.sleep(PAUSE_S)
            thread.join()
            if writes:
                answer.response.protocol.transport.write(b"more")
            return await read_body(connections, answer)
    except ConnectionLostError:
        return None
    finally:
        await close_connections(connections)
        listener.close()


def _accept(listener):
    connection, _ = listener.accept()
    connection.settimeout(TIMEOUT_S)
    head = b""
    while END_OF_HEAD not in head:
        head += connection.recv(4096)
    connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
    return connection


def _end(connection, ending):
    connection.sendall(b"first second")
    if ending.startswith("close"):
        connection.shutdown(socket.SHUT_WR)
    if ending.endswith("reset"):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


@given(
    "an upstream that reads the {read:w} of a request of {size_kb:d} kB and responds "
    "{framing:w} a length"
)
def prepare_early_response(context, read, size_kb, framing):
    context.early = EarlyResponse(
        reads_body=read == "body",
        size_bytes=size_kb * 1000,
        has_length=framing == "with",
    )


@given("it then ends the response by {ending}")
def choose_ending(context, ending):
    context.early.ending = ending


@when("the early response is read by {loop:w}, which {pace} meanwhile")
def read_early_response(context, loop, pace):
    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        is_standing = pace == "stands still"
        context.body = runner.run(_read_early(context.early, is_standing))


async def _read_early(early, is_standing):
    listener = socket.create_server(("127.0.0.1", 0))
    # The kernel of the upstream takes hardly anything that it doesn't read.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    thread = threading.Thread(target=_respond_early, args=(listener, early))
    thread.start()
    connections = open_connections(LIMITS)
    request = UpstreamRequest(
        method="POST",
        url=f"http://127.0.0.1:{listener.getsockname()[1]}/x",
        headers=(),
        body=b"b" * early.size_bytes,
        is_repeatable=False,
    )
    try:
        async with (
            asyncio.timeout(TIMEOUT_S),
            open_exchange(connections, request) as answer,
        ):
            if is_standing:
                time.sleep(PAUSE_S)
            return await read_body(connections, answer)
    except ConnectionLostError:
        return None
    finally:
        early.is_done.set()
        thread.join()
        await close_connections(connections)
        listener.close()


def _respond_early(listener, early):
    connection, _ = listener.accept()
    with connection:
        connection.settimeout(TIMEOUT_S)
        _read_request(connection, early)
        length = b"Content-Length: 12\r\n" if early.has_length else b""
        connection.sendall(b"HTTP/1.1 200 OK\r\n%b\r\nfirst second" % length)
        if early.ending.startswith("the regular end"):
            connection.shutdown(socket.SHUT_WR)
        if early.ending.endswith("only"):
            early.is_done.wait(TIMEOUT_S)
        else:
            # The response has arrived before the reset does.
            time.sleep(PAUSE_S / 2)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def _read_request(connection, early):
    content = b""
    while END_OF_HEAD not in content:
        content += connection.recv(HEAD_BYTES)
    left_bytes = early.size_bytes - len(content.partition(END_OF_HEAD)[2])
    while early.reads_body and left_bytes > 0:
        left_bytes -= len(connection.recv(left_bytes))


@when("the response is read by {loop:w}, which stands still and then writes")
def read_after_write(context, loop):
    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        context.body = runner.run(_read_rest(context.ending, writes=True))


@when("two requests are sent one after the other")
def send_two_requests(context):
    async def run():
        connections = open_connections(LIMITS)
        async with serve_scripted_upstream(context.upstream) as upstream:
            context.bodies = [await read_answer(connections, upstream.url)]
            await asyncio.sleep(0.1)
            context.bodies.append(await read_answer(connections, upstream.url))
            await close_connections(connections)

    asyncio.run(run())


@then("the response is {verdict:w}")
def check_response(context, verdict):
    expected = b"first second" if verdict == "whole" else None
    assert context.body == expected, context.body


@then("the second request used a new connection")
def check_new_connection(context):
    assert context.bodies == [b"done", b"done"], context.bodies
    assert len(set(context.upstream.connections)) == 2, context.upstream.connections
