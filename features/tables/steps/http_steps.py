import asyncio
import json

import aiohttp
from behave import given, then, when

from features.programs import start_program, stop_program
from jujubenotch.tables import (
    InstanceListEntry,
    PlatformError,
    Write,
    make_platform_client,
)
from standins.journal import open_journal
from standins.platform_state import (
    PlatformState,
    publish_instances,
    select_instances,
)

TIMEOUT_S = 0.5
ALL_BYTES = bytes(range(256))


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def stop_client(context):
    run(context, context.client.close())
    context.loop.close()


@given("the platform stand-in and an HTTP client of it")
def start_platform(context):
    context.loop = asyncio.new_event_loop()
    context.program = start_program(context, "standins.platform")
    url = context.program.url
    context.client = make_platform_client(kind="http", url=url, timeout_s=TIMEOUT_S)
    context.add_cleanup(stop_client, context)


async def send(method, url, content):
    async with aiohttp.ClientSession() as session:
        async with session.request(method, url, data=content) as response:
            assert response.ok, await response.text()


@when("the platform has the faults {faults}")
def set_faults(context, faults):
    run(context, send("POST", f"{context.program.url}/faults", faults))


@when("the platform stops")
def end_platform(context):
    stop_program(context.program.process)


def transact(context, *writes):
    context.error = None
    try:
        run(context, context.client.transact(writes))
    except PlatformError as error:
        context.error = error


def make_write(key, version, value=b"value"):
    return Write(table="t", key=key, value=value, expected_version=version)


@when('the client writes "{key}" with expected version {version:d}')
def write_one(context, key, version):
    transact(context, make_write(key, version))


@when('the client inserts "{first_key}" and "{second_key}" in one transaction')
def write_two(context, first_key, second_key):
    transact(context, make_write(first_key, 0), make_write(second_key, 0))


@when('the client deletes "{key}" with expected version {version:d}')
def delete(context, key, version):
    transact(context, make_write(key, version, value=None))


@then("the client gets {name}")
def check_error(context, name):
    assert type(context.error).__name__ == name, repr(context.error)


@then('the client reads "{key}" at version {version:d}')
def check_version(context, key, version):
    row = run(context, context.client.read("t", key))
    assert row.version == version, row


@then('the client finds no row "{key}"')
def check_absent(context, key):
    assert run(context, context.client.read("t", key)) is None


@then("an object and a row with all 256 byte values are read back")
def check_bytes(context):
    async def write_and_read():
        await context.client.put_object("a/b", ALL_BYTES)
        await context.client.transact([make_write("k/?&", 0, value=ALL_BYTES)])
        rows = await context.client.scan("t")
        return await context.client.get_object("a/b"), rows[0]

    content, row = run(context, write_and_read())
    assert content == row.value == ALL_BYTES
    assert row.key == "k/?&"


def make_list(names):
    return [
        InstanceListEntry(name=name, kind="instance", data_centre="d")
        for name in names.split(", ")
    ]


@given('the instance list "{first}" published at 0 s and "{second}" at 5 s')
def publish_two(context, first, second):
    context.state = PlatformState(
        list_lag_s=2.0, writes_per_s=500, seed=1, journal=open_journal(None)
    )
    publish_instances(context.state, make_list(first), 0.0)
    publish_instances(context.state, make_list(second), 5.0)


@then('the list with a lag of 2 s is "{early}" at 6 s and "{late}" at 7 s')
def check_lag(context, early, late):
    assert select_instances(context.state, 6.0) == make_list(early)
    assert select_instances(context.state, 7.0) == make_list(late)


@when('the instance list "{names}" is published')
def publish(context, names):
    documents = [
        {"name": name, "kind": "instance", "data_centre": "d"}
        for name in names.split(", ")
    ]
    url = f"{context.program.url}/instances"
    run(context, send("PUT", url, json.dumps(documents)))


@then('the client reads the instance list "{names}"')
def check_list(context, names):
    assert run(context, context.client.list_instances()) == make_list(names)
