import asyncio
import tempfile

from behave import given, then, when

from features.certificates import make_authority, make_certificate
from jujubenotch.listeners import bind_socket
from jujubenotch.peers import (
    Heartbeat,
    Hello,
    LinkCallbacks,
    OutgoingLink,
    PeerServiceCallbacks,
    run_outgoing_link,
    start_service,
    stop_service,
)
from jujubenotch.settings import MutualTlsSettings, make_peer_contexts


def start_loop(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.bound = bind_socket("127.0.0.1", 0)


def start_listener(context, tls):
    service = PeerServiceCallbacks(
        read_hello=lambda: Hello(name="home", data_centre="north", incarnation=1),
        read_heartbeat=lambda session: Heartbeat(),
        read_clock_s=context.loop.time,
        on_attached=lambda session: True,
        on_frame=lambda session, frame: None,
        on_lost=lambda session: None,
        read_changes_since=lambda revision: [],
        apply_pushed_changes=lambda changes: None,
        read_trace=lambda request_id: None,
    )
    start = start_service(service, context.bound, tls)
    listener = context.loop.run_until_complete(start)
    context.add_cleanup(lambda: context.loop.run_until_complete(stop_service(listener)))


def connect(context, tls):
    context.attached = asyncio.Event()
    context.link = OutgoingLink(
        name="home", host="127.0.0.1", port=context.bound.getsockname()[1]
    )
    link_callbacks = LinkCallbacks(
        read_hello=lambda: Hello(name="r", data_centre="north", incarnation=1),
        read_heartbeat=Heartbeat,
        read_clock_s=context.loop.time,
        on_attached=lambda link, hello: context.attached.set(),
        on_frame=lambda link, frame: None,
        on_lost=lambda link: None,
        tls=tls,
    )
    context.task = context.loop.create_task(
        run_outgoing_link(context.link, link_callbacks)
    )
    context.add_cleanup(lambda: end_link(context))


def end_link(context):
    context.task.cancel()
    context.loop.run_until_complete(
        asyncio.gather(context.task, return_exceptions=True)
    )


def wait_attached(context, bound_s):
    async def wait():
        async with asyncio.timeout(bound_s):
            await context.attached.wait()

    context.loop.run_until_complete(wait())


def make_tls(context, name, authority):
    """Make the TLS contexts of a peer whose certificate the authority has signed."""
    files = make_certificate(context.directory, authority, name)
    settings = MutualTlsSettings(
        certificate=str(files.certificate),
        key=str(files.key),
        ca=str(context.authority.path),
    )
    return make_peer_contexts(settings)


@given("a listener that requires certificates of its authority")
def start_tls_listener(context):
    start_loop(context)
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = directory.name
    context.authority = make_authority(context.directory, "ours")
    start_listener(context, make_tls(context, "h", context.authority).server)


@when("a peer connects with a certificate of that authority")
def connect_with_certificate(context):
    connect(context, make_tls(context, "r", context.authority).client)


@when("a peer connects with a certificate of another authority")
def connect_with_other_certificate(context):
    other = make_authority(context.directory, "theirs")
    connect(context, make_tls(context, "r", other).client)


@then("a session is open")
def check_open(context):
    wait_attached(context, 3.0)


@then("no session opens within {bound_s:g} s")
def check_closed(context, bound_s):
    try:
        wait_attached(context, bound_s)
    except TimeoutError:
        return
    raise AssertionError("a session opened")


@given("a listener that never answers")
def start_silent_listener(context):
    start_loop(context)
    context.bound.listen()
    context.add_cleanup(context.bound.close)


@when("a peer connects")
def connect_plain(context):
    connect(context, None)


@then("the peer's session has ended within {bound_s:g} s")
def check_ended(context, bound_s):
    async def wait(holds):
        async with asyncio.timeout(bound_s):
            while not holds():
                await asyncio.sleep(0.01)

    context.loop.run_until_complete(wait(lambda: context.link.channel is not None))
    context.loop.run_until_complete(wait(lambda: context.link.channel is None))
