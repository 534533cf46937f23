import asyncio
import re

from behave import then, when

from features.upstreams.steps.carried_steps import ID_HEADER, LIMITS, write_response
from jujubenotch.upstreams import (
    RequestName,
    UpstreamError,
    UpstreamRequest,
    close_connections,
    open_connections,
    open_exchange,
    read_body,
)

LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n%b: a\r\n\r\n" % ID_HEADER.encode()
HEAD_ONLY = b"HTTP/1.1 200 OK\r\n%b: a\r\nContent-Length: 400\r\n\r\n" % (
    ID_HEADER.encode()
)
COPY = write_response(b"a", b"x" * 10)
OWN = write_response(b"b", b"own")
# What is written for the first request, and for the second one.
SCRIPTS = {
    "a copy of a 204 before the own response": (NO_CONTENT, NO_CONTENT + OWN),
    "a copy of the response to HEAD before the own response": (
        HEAD_ONLY,
        HEAD_ONLY + OWN,
    ),
    "a part of the copy with the first response, then the rest": (
        write_response(b"a") + COPY[:30],
        COPY[30:] + OWN,
    ),
}


async def play(script, calls, read_slowly=False):
    number = 0

    async def serve(reader, writer):
        nonlocal number
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            number += 1
            length = LENGTH.search(head)
            left = int(length[1]) if length else 0
            while left:
                data = await reader.read(min(left, 100_000))
                if not data:
                    return
                left -= len(data)
                await asyncio.sleep(0.005)
            # A new connection has seen no copy.
            is_first = writer not in served
            served.append(writer)
            writer.write(OWN if is_first and number > 1 else script[number - 1])
        writer.close()

    served = []
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    connections = open_connections(LIMITS)
    results = []
    for name, method, body, pause_s in calls:
        await asyncio.sleep(pause_s)
        request = UpstreamRequest(
            method=method,
            url=f"{url}/{name}",
            headers=(),
            body=body,
            is_repeatable=True,
            name=RequestName(request_id=name, header=ID_HEADER),
        )
        try:
            async with open_exchange(connections, request) as answer:
                results.append(await read_body(connections, answer))
        except UpstreamError as error:
            results.append(f"{type(error).__name__}: {error}")
    await close_connections(connections)
    server.close()
    return results


@when("a request is sent after {first}, and the upstream sends {what}")
def send_after(context, first, what):
    calls = [("a", first, b"", 0), ("b", "GET", b"", 0)]
    context.results = asyncio.run(play(SCRIPTS[what], calls))


@when("a body is sent slowly after a copy came together with a response")
def send_slowly(context):
    script = (
        write_response(b"a"),
        write_response(b"a") + write_response(b"c"),
        OWN,
    )
    calls = [
        ("a", "GET", b"", 0),
        ("c", "GET", b"", 0),
        ("b", "POST", b"z" * 20_000_000, 0.3),
    ]
    context.results = asyncio.run(play(script, calls))


@then("it has its own response")
def check_own_response(context):
    assert context.results[-1] == b"own", context.results
