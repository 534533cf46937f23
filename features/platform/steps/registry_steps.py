import asyncio
import contextlib

from behave import given, then, when

from features.platform.site import open_site
from jujubenotch.forwarding import SourceError
from jujubenotch.platform.registry import StoreRegistry
from jujubenotch.platform.store import open_store
from jujubenotch.settings import Address


def use_registry(context, work):
    async def run():
        site = context.site
        client = open_store(Address(host=site.host, port=site.store_port))
        async with client.session:
            return await work(StoreRegistry(client=client))

    return asyncio.run(run())


@given("a site without a program")
def open_empty_site(context):
    context.site = context.stack.enter_context(open_site())


@when('the instances "{addresses}" of the data centre "{name}" register')
def register(context, addresses, name):
    async def add(registry):
        for address in addresses.split(","):
            await registry.add_instance(name, address)

    use_registry(context, add)


@then('the registered instances of "{name}" are "{addresses}"')
def check_registered(context, name, addresses):
    found = use_registry(context, lambda registry: registry.list_instances(name))
    assert {each.address for each in found} == set(addresses.split(",")), found


@when('the instance "{address}" of the data centre "{name}" registers as "{start}"')
def register_start(context, address, name, start):
    use_registry(context, lambda each: each.add_instance(name, address, start))


@then('the instance "{address}" of "{name}" is registered as "{start}"')
def check_start(context, address, name, start):
    found = use_registry(context, lambda registry: registry.list_instances(name))
    assert {each.incarnation for each in found if each.address == address} == {
        "" if start == "unknown" else start
    }, found


@when("its entry is read, it registers again {times:d} times, and the entry is removed")
def remove_entry(context, times):
    async def remove(registry):
        (entry,) = await registry.list_instances("north")
        for _ in range(times):
            await registry.add_instance("north", entry.address, entry.incarnation)
        with contextlib.suppress(SourceError):
            await registry.remove_instance(entry)

    use_registry(context, remove)


@then('{count:d} instances are registered in "{name}"')
def check_registered_count(context, count, name):
    found = use_registry(context, lambda registry: registry.list_instances(name))
    assert len(found) == count, found


@then("registering fails with a source error")
def check_registering_fails(context):
    try:
        use_registry(context, lambda each: each.add_instance("north", "10.0.0.1:1"))
    except SourceError:
        return
    raise AssertionError("no error was raised")
