import asyncio

from behave import given, then, when

from features.scripted_upstream import ScriptedUpstream, serve_scripted_upstream
from jujubenotch.upstreams import (
    ConnectionLimits,
    ConnectionLostError,
    RequestName,
    SilentUpstreamError,
    UpstreamRequest,
    close_connections,
    open_connections,
    open_exchange,
    read_body,
)

ID_HEADER = "X-Request-Name"
LIMITS = ConnectionLimits(answer_timeout_s=0.5)


def write_response(name, body=b"done"):
    return b"HTTP/1.1 200 OK\r\n%b: %b\r\nContent-Length: %d\r\n\r\n%b" % (
        ID_HEADER.encode(),
        name,
        len(body),
        body,
    )


FIRST_RESPONSE = write_response(b"a")
UNFRAMED = b"HTTP/1.1 200 OK\r\n%b: a\r\n\r\ndone" % ID_HEADER.encode()
EARLIER = {
    "a copy of the first response": FIRST_RESPONSE,
    "5 copies of the first response": FIRST_RESPONSE * 5,
    "40 copies of the first response": FIRST_RESPONSE * 40,
    "a copy of 200000 bytes": write_response(b"a", b"x" * 200000),
    "a copy of 3000000 bytes": write_response(b"a", b"x" * 3000000),
    "a copy without a length": UNFRAMED,
    "a response to a request that never came": write_response(b"z"),
}


def read_name(head):
    return head.split(b" ")[1].removeprefix(b"/")


@given("an upstream that keeps its connections")
def script_keeping(context):
    context.upstream = ScriptedUpstream(
        make_parts=lambda head: (write_response(read_name(head)),),
        connection_ending="keep",
    )


@given("an upstream that sends {first} before its second response")
def script_earlier(context, first):
    def respond(head):
        own = write_response(read_name(head), b"own")
        if len(context.upstream.requests) == 1:
            return (own,)
        return (EARLIER[first], own)

    context.upstream = ScriptedUpstream(make_parts=respond, connection_ending="keep")


@given("an upstream that sends a copy of the first response and nothing else")
def script_silence(context):
    context.upstream = ScriptedUpstream(
        make_parts=lambda head: (FIRST_RESPONSE,), connection_ending="keep"
    )


@when("requests {names} are sent one after the other")
def send_requests(context, names):
    context.results = asyncio.run(send_all(context, names.replace(" and ", ", ")))
    order = list(dict.fromkeys(context.upstream.connections))
    context.numbers = [order.index(each) + 1 for each in context.upstream.connections]


async def send_all(context, names):
    connections = open_connections(LIMITS)
    results = []
    async with serve_scripted_upstream(context.upstream) as upstream:
        for name in names.split(", "):
            results.append(await send_one(connections, upstream.url, name))
        await close_connections(connections)
    return results


async def send_one(connections, url, name):
    request = UpstreamRequest(
        method="GET",
        url=f"{url}/{name}",
        headers=(),
        body=b"",
        is_repeatable=True,
        name=RequestName(request_id=name, header=ID_HEADER),
    )
    try:
        async with open_exchange(connections, request) as answer:
            body = await read_body(connections, answer)
            if answer.find_header(ID_HEADER) != name:
                return "the wrong name"
            return body
    except SilentUpstreamError:
        return "silent"
    except ConnectionLostError:
        return "lost"


@then("they used connections {numbers}")
def check_connections(context, numbers):
    expected = [int(each) for each in numbers.replace(" and ", ", ").split(", ")]
    assert context.numbers == expected, context.numbers


@then("the second request has its own response")
def check_own(context):
    assert context.results[1] == b"own", context.results


@then("the second request has {result}")
def check_result(context, result):
    assert context.results[1] == result, context.results


@then("the second request found the upstream silent")
def check_silent(context):
    assert context.results[1] == "silent", context.results
