import asyncio

from behave import given, then, when

from features.platform.site import call_store, run, signal_program
from jujubenotch.forwarding import SourceError
from jujubenotch.platform.directory import NAME_PREFIX, StoreDirectory
from jujubenotch.platform.store import open_store
from jujubenotch.settings import Address
from standins.store import copy_store

END_TIMEOUT_S = 10.0


def use_directory(context, work):
    async def run_work():
        site = context.site
        client = open_store(Address(host=site.host, port=site.store_port))
        async with client.session:
            return await work(StoreDirectory(client=client))

    return asyncio.run(run_work())


@when('the instances "{names}" are added')
def add_instances(context, names):
    async def add(directory):
        for name in names.split(","):
            await directory.add_instance(name, "a", "127.0.0.1:7340")

    use_directory(context, add)


@when('the object "{name}" is added')
def add_object(context, name):
    async def put():
        context.site.state.objects[name] = b"1"

    run(context.site, put())


@when('the instance "{name}" is added with the start "{start}"')
def add_start(context, name, start):
    use_directory(
        context,
        lambda directory: directory.add_instance(name, "a", "10.0.0.1:7340", start),
    )


@then('one instance at "{address}" is listed with the start "{start}"')
def check_start(context, address, start):
    (found,) = use_directory(context, lambda directory: directory.list_instances())
    expected = "" if start == "unknown" else start
    assert (found.address, found.incarnation) == (address, expected), found


@when("{count:d} instances are added")
def add_many(context, count):
    async def put():
        for number in range(count):
            context.site.state.objects[f"{NAME_PREFIX}{number:05d}"] = b"1"

    run(context.site, put())


@given("a copy of the store without instances")
def copy_without_instances(context):
    context.copy = call_store(context.site, copy_store)
    context.copy.objects.clear()


@then("{count:d} instance is counted")
@then("{count:d} instances are counted")
def check_count(context, count):
    found = use_directory(context, lambda directory: directory.list_instances())
    assert len(found) == count, found


@when("the program is stopped, and has ended")
def stop_program(context):
    signal_program(context.site)
    context.site.process.wait(END_TIMEOUT_S)


@then("counting fails with a source error")
def check_counting_fails(context):
    try:
        use_directory(context, lambda directory: directory.list_instances())
    except SourceError:
        return
    raise AssertionError("no error was raised")
