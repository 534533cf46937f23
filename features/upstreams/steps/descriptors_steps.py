import asyncio
import gc
import os
import socket

import uvloop
from behave import given, then, when

from jujubenotch.upstreams import (
    ConnectionLimits,
    UpstreamRequest,
    close_connections,
    open_connections,
    open_exchange,
)

SETTLE_S = 0.005


@given("an upstream that accepts connections")
def accept_connections(context):
    context.listener = socket.create_server(("127.0.0.1", 0))


@when(
    "requests to it are cancelled in each of the first {turns:d} turns of the event loop"
)
def cancel_requests(context, turns):
    url = f"http://127.0.0.1:{context.listener.getsockname()[1]}/x"
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        context.closed = runner.run(_cancel_in_turns(url, turns))
    context.listener.close()


async def _cancel_in_turns(url, turns):
    """Return the turns after whose cancellation another descriptor was closed."""
    connections = open_connections(ConnectionLimits())
    try:
        return [
            turn
            for turn in range(turns)
            if await _cancel_closes_another(connections, url, turn)
        ]
    finally:
        await close_connections(connections)


async def _cancel_closes_another(connections, url, turn):
    request = asyncio.create_task(_request(connections, url))
    for _ in range(turn):
        await asyncio.sleep(0)
    request.cancel()
    await asyncio.gather(request, return_exceptions=True)
    await asyncio.sleep(SETTLE_S)
    others = [os.open(os.devnull, os.O_RDONLY) for _ in range(3)]
    del request
    gc.collect()
    await asyncio.sleep(SETTLE_S)
    return not all([_close(each) for each in others])


async def _request(connections, url):
    request = UpstreamRequest(
        method="GET", url=url, headers=(), body=b"", is_repeatable=False
    )
    async with open_exchange(connections, request):
        pass


def _close(descriptor):
    """Close a descriptor; return whether it was open."""
    try:
        os.close(descriptor)
    except OSError:
        return False
    return True


@then("no descriptor that was opened afterwards is closed")
def check_descriptors(context):
    assert not context.closed, (
        f"closed after a cancellation in the turns {context.closed}"
    )
