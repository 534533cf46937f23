import asyncio

from behave import given, then, when

from jujubenotch.daemon.forward_list_checks import knows_versions
from jujubenotch.daemon.forward_state import ForwardState
from jujubenotch.daemon.forward_stream_messages import receive_streams
from jujubenotch.daemon.forward_streams import StreamWatch
from jujubenotch.forwarding import SourceError, read_boot_clock_s
from jujubenotch.membership import (
    Instances,
    ListedInstance,
    Liveness,
    record_heard,
    record_listed,
)
from jujubenotch.neighbours import Message, MessageKind, VersionEntry

OWN = "10.0.0.1:7000"
SERVICE = "drafting"


def make_instances(live, ended, liveness):
    instances = Instances(own_address=OWN)
    addresses = [f"10.0.1.{number}:7000" for number in range(live)]
    others = [f"10.0.2.{number}:7000" for number in range(ended)]
    record_listed(
        instances,
        [
            ListedInstance(data_centre="a", address=each)
            for each in (OWN, *addresses, *others)
        ],
        own_incarnation="",
        now_s=0.0,
    )
    for address in addresses:
        record_heard(instances, address, now_s=0.0)
    for address in others:
        instances.known[address].liveness = liveness
    return instances, set(addresses)


@given("an instance that lists {live:d} live instances, and {ended:d} that are gone")
def list_gone(context, live, ended):
    context.instances, context.live = make_instances(live, ended, Liveness.GONE)


@given("an instance that lists {live:d} live instances, and {ended:d} that are silent")
def list_silent(context, live, ended):
    context.instances, context.live = make_instances(live, ended, Liveness.SILENT)


@when("it has to know all versions while the store doesn't answer")
def check_versions(context):
    async def read_unseen():
        raise SourceError("the store doesn't answer")

    async def check():
        loop = asyncio.get_running_loop()
        watch = StreamWatch(state=ForwardState(), neighbours=context.instances)
        watch.read_unseen = read_unseen
        watch.listed_s = loop.time()
        watch.addresses_known.set()
        versions = (VersionEntry(service=SERVICE, software_version="v2"),)
        answer = Message(kind=MessageKind.STREAMS, versions=versions)

        def send(message, addresses):
            for address in context.live.intersection(addresses):
                loop.call_soon(receive_streams, watch, address, answer)

        watch.send = send
        context.watch = watch
        return await knows_versions(watch, read_boot_clock_s())

    context.is_known = asyncio.run(check())


@then('it knows them, and "{version}" among them')
def check_known(context, version):
    assert context.is_known
    assert (SERVICE, version) in context.watch.history.left_s


@then("it knows them")
def check_is_known(context):
    assert context.is_known


@then("it doesn't know them")
def check_unknown(context):
    assert not context.is_known
