import asyncio
import contextlib
import socket
from unittest import mock

from behave import given, then, when

from features.scripted_upstream import ScriptedUpstream, serve_scripted_upstream
from jujubenotch.upstreams import check_process, read_report

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
SCRIPTS = {
    "answers": ScriptedUpstream(response_parts=(ANSWER,), connection_ending="keep"),
    "closes each connection": ScriptedUpstream(reports=False),
    "resets each connection": ScriptedUpstream(
        reports=False, connection_ending="reset"
    ),
    "answers nothing, but reads all": ScriptedUpstream(
        reports=False, connection_ending="silent"
    ),
}
# Enough connections to fill the shortest queue of those that wait to be accepted.
FILLERS = 8


@given("an upstream whose process {does}")
def give_process(context, does):
    context.does = does


def check(does):
    async def run():
        async with contextlib.AsyncExitStack() as stack:
            if does in SCRIPTS:
                server = serve_scripted_upstream(SCRIPTS[does])
                url = (await stack.enter_async_context(server)).url
            else:
                url = open_socket(stack, does)
            return await check_process(url, "/v1/report")

    return asyncio.run(run())


def open_socket(stack, does):
    """Listen on an address whose connections nothing accepts."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    if does != "has ended":
        listener.listen(0 if does.startswith("is behind") else FILLERS)
    if does.startswith("is behind"):
        for _ in range(FILLERS):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
    return f"http://127.0.0.1:{listener.getsockname()[1]}"


@when("its process is checked")
def check_context(context):
    context.state = check(context.does)


@when("its process is checked by an event loop that raises RuntimeError")
def check_with_error(context):
    error = RuntimeError("the descriptor is used by another connection")
    with mock.patch.object(asyncio, "open_connection", side_effect=error):
        context.state = check(context.does)


@then('its state is "{state}"')
def check_state(context, state):
    assert context.state == state, context.state


@given("an upstream that answers the request of its report with the status {status}")
def script_report(context, status):
    head = f"HTTP/1.1 {status} Any\r\nContent-Length: 10\r\n\r\n"
    context.upstream = ScriptedUpstream(
        response_parts=(head.encode() + b'{"born":1}',), reports=False
    )


@when("its report is read")
def read_its_report(context):
    async def run():
        async with serve_scripted_upstream(context.upstream) as upstream:
            return await read_report(upstream.url + "/v1/report")

    context.report = asyncio.run(run())


@then("the report has {size_bytes:d} bytes")
def check_report(context, size_bytes):
    assert len(context.report) == size_bytes, context.report
