import asyncio

from behave import given, then, when

from features.scripted_upstream import ScriptedUpstream, serve_scripted_upstream
from jujubenotch.upstreams import (
    ConnectionLimits,
    ConnectionLostError,
    UpstreamRequest,
    close_connections,
    open_connections,
    open_exchange,
    read_body,
)

COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


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
        return await read_body(answer, 1000)


@when("the response is read")
def read_response(context):
    async def run():
        connections = open_connections(ConnectionLimits())
        async with serve_scripted_upstream(context.upstream) as upstream:
            try:
                context.body = await read_answer(connections, upstream.url)
            except ConnectionLostError:
                context.body = None
            await close_connections(connections)

    asyncio.run(run())


@when("two requests are sent one after the other")
def send_two_requests(context):
    async def run():
        connections = open_connections(ConnectionLimits())
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
