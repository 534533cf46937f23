import asyncio
import random
import socket

from behave import given, then, when

from jujubenotch.neighbours import Message, MessageItem, MessageKind, open_endpoint
from jujubenotch.sockets import ListenerError

ARRIVAL_TIMEOUT_S = 5.0


def run(context, work):
    return context.loop.run_until_complete(work)


@given("two endpoints on loopback")
def open_two(context):
    context.loop = asyncio.new_event_loop()
    context.received = []
    numbers = [str(random.randrange(1, 255)) for _ in range(3)]
    context.host = ".".join(["127", *numbers])
    context.endpoints = [
        run(
            context,
            open_endpoint(
                context.host, 0, lambda sender, message: context.received.append(sender)
            ),
        )
        for _ in range(2)
    ]
    context.addresses = [
        "{}:{}".format(*endpoint.transport.get_extra_info("sockname"))
        for endpoint in context.endpoints
    ]
    context.add_cleanup(close, context)


def close(context):
    for endpoint in context.endpoints:
        endpoint.close()
    run(context, asyncio.sleep(0))
    context.loop.close()


@when("the first sends a message of {size:d} random bytes to the second")
def send_message(context, size):
    content = random.Random(2).randbytes(size)
    item = MessageItem(key="a", content=content, revision=1)
    message = Message(kind=MessageKind.UPSTREAMS, items=(item,))

    async def send():
        assert context.endpoints[0].send(message, context.addresses[1:])
        async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
            while not context.received:
                await asyncio.sleep(0.01)

    run(context, send())


@when("the second gets {count:d} datagrams of random bytes")
def send_noise(context, count):
    draws = random.Random(4)
    host, _, port = context.addresses[1].rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as noise:
        for _ in range(count):
            noise.sendto(draws.randbytes(draws.randrange(60)), (host, int(port)))
    run(context, asyncio.sleep(0.05))


@then("the second received it from the first")
def check_received(context):
    assert context.received == [context.addresses[0]], context.received


@then("a third can't be opened at the first one's address")
def check_in_use(context):
    host, _, port = context.addresses[0].rpartition(":")
    try:
        run(context, open_endpoint(host, int(port), lambda sender, message: None))
    except ListenerError:
        return
    raise AssertionError("the address was bound twice")
