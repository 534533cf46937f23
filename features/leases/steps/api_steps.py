import asyncio
import base64
import contextlib
import dataclasses
import json
import socket
from unittest import mock

import orjson
from aiohttp import web
from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as given_drawn

from jujubenotch.forwarding import SourceError, read_boot_clock_s
from jujubenotch.leases import Lease, UpstreamOrder, choose_token
from jujubenotch.platform import cloud
from jujubenotch.platform.leases import decode_lease, decode_lease_row, encode_lease
from jujubenotch.settings import Address
from standins.cloud import CloudState, build_cloud_app

HOST = "127.0.0.1"
ORDER = UpstreamOrder(service="chat", data_centre="a", count=4, is_preemptible=True)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63)
    | strategies.text(max_size=8)
)
VALUES = SCALARS | strategies.lists(SCALARS, max_size=3)
FIELDS = (
    "version",
    "holder",
    "nonce",
    "address",
    "token",
    "era",
    "serial",
    "is_released",
    "revisions",
)
VALID = orjson.loads(
    encode_lease(
        Lease(
            holder="a", nonce="n", address="", token=3, era=0, serial=1, revisions=(2,)
        )
    )
)
DRAWN = {
    "bytes": strategies.binary(max_size=60),
    "documents": strategies.dictionaries(strategies.sampled_from(FIELDS), VALUES).map(
        lambda changed: orjson.dumps({**VALID, **changed})
    ),
}


@given("an API that answers with {status:d}")
def give_status(context, status):
    context.cloud = CloudState(status=status)


@given("an API that does not answer")
def give_silent(context):
    context.cloud = CloudState(is_silent=True)


@given("an API that does not listen")
def give_none(context):
    context.cloud = None


@given("an API that closes the connection without an answer")
def give_closing(context):
    context.cloud = CloudState(closes=True)


@contextlib.asynccontextmanager
async def open_client(state):
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        port = listener.getsockname()[1]
        runner = None
        if state is not None:
            runner = web.AppRunner(build_cloud_app(state), shutdown_timeout=0.1)
            await runner.setup()
            listener.listen()
            await web.SockSite(runner, listener).start()
        client = cloud.open_cloud(Address(host=HOST, port=port))
        try:
            yield client
        finally:
            await client.session.close()
            if runner is not None:
                await runner.cleanup()


@when("an order is sent")
def send_order(context):
    async def work():
        async with open_client(context.cloud) as client:
            return await client.order_upstreams(ORDER, "edge-1", 9, 0.5)

    context.result = asyncio.run(work())


@when("the process is suspended for {length:d} s before the order is sent")
def send_suspended_order(context, length):
    times = iter((100.0, 100.0 + length))
    context.stack.enter_context(
        mock.patch.object(cloud, "read_boot_clock_s", lambda: next(times))
    )
    send_order(context)


@when("a report and an order of preemptible upstreams are sent")
def send_both(context):
    async def work():
        async with open_client(context.cloud) as client:
            await client.send_usage(7, {"b": 2, "a": 1}, "edge-1", 8, 0.5)
            await client.order_upstreams(ORDER, "edge-1", 9, 0.5)

    begin_s = read_boot_clock_s()
    asyncio.run(work())
    assert read_boot_clock_s() - begin_s < 5


@then('the result is "{result}"')
def check_result(context, result):
    assert context.result == result, context.result


@then("the API received {count:d} calls")
def check_calls(context, count):
    assert len(context.cloud.calls if context.cloud else ()) == count


@then("the API received them as the platform describes them")
def check_bodies(context):
    report, order = context.cloud.calls
    assert (report.holder, report.token) == ("edge-1", 8)
    assert report.body == {"window-id": 7, "counts": {"a": 1, "b": 2}}
    assert order.token == 9
    assert order.body == {
        "service": "chat",
        "zone": "a",
        "desired-count": 4,
        "preemptible": True,
    }


@when("{count:d} values drawn as {kind} are decoded as a lease")
def decode_drawn(context, count, kind):
    context.decoded = []

    @drawn_settings(count)
    @given_drawn(DRAWN[kind])
    def decode(content):
        context.decoded.append(decode_lease(content))

    decode()


@when("{count:d} responses with drawn rows are decoded")
def decode_responses(context, count):
    context.decoded = []
    numbers = strategies.integers() | strategies.floats() | SCALARS

    @drawn_settings(count)
    @given_drawn(
        value=DRAWN["documents"],
        row=strategies.dictionaries(
            strategies.sampled_from(("schema-version", "deleted", "key")), numbers
        ),
        others=strategies.dictionaries(
            strategies.sampled_from(("schema-version", "now-ms", "rows")), numbers
        ),
    )
    def decode(value, row, others):
        fields = {"key": "platform", "value": base64.b64encode(value).decode()}
        body = {"rows": [{**fields, "schema-version": 3, **row}], "schema-version": 3}
        content = json.dumps({**body, "now-ms": 5, **others}).encode()
        try:
            found = decode_lease_row("/v1/rows-get", 2**28, content)
        except SourceError:
            return
        if found.lease is not None:
            token = choose_token(found)
            encode_lease(dataclasses.replace(found.lease, token=token))
        context.decoded.append(found.lease)

    decode()


def drawn_settings(count):
    return settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )


@then("each is a lease or nothing")
def check_decoded(context):
    assert context.decoded
    assert all(each is None or isinstance(each, Lease) for each in context.decoded)
