import base64
import json
import time

from behave import given, then, when

from features.platform.site import (
    SETTINGS,
    START_TIMEOUT_S,
    add_upstream,
    answer_correctly,
    call_store,
    open_site,
    put_configuration,
    read_events,
    read_log,
    send,
    start_program,
    unlist_upstream,
    wait_until_ready,
)
from features.platform.steps.versions_steps import add_instance, stop_instance
from features.scripted_upstream import ScriptedUpstream
from jujubenotch.daemon.forward_state import ForwardState, apply_upstreams
from jujubenotch.forwarding import Item, Page, SourceUpdate
from jujubenotch.neighbours import (
    Message,
    MessageItem,
    MessageKind,
    decode_message,
    join_datagram,
    split_message,
)
from jujubenotch.neighbours.codec import Reassembly
from jujubenotch.platform.documents import decode_upstream
from standins.store import write_row

ENTRY = {
    "service": "plain",
    "address": "127.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "draining",
    "cold-remaining-ms": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
SHARING = "port-range=7340,7355\nbounds.config-ms=4000\nbounds.drain-ms=4000\n"
LARGE_NUMBER = b"9" * 5000
NUMBERS = (
    LARGE_NUMBER,
    b"-" + LARGE_NUMBER,
    b"1e400",
    b"NaN",
    b"-1",
    b"9007199254740993",
)
NUMBER_FIELDS = ("slots", "cold-remaining-ms", "sequence", "born", "leaves-ms")
PORTS = ("0", "65536", "99999", "9" * 5000, "-1", "")
TEXTS = ("\ud800", "\0", "x" * 10_000, "")
DEPTH = 100_000


def spoil_entry(field, content):
    """Return the entry with raw JSON in place of a field."""
    mark = "the-odd-value"
    text = json.dumps({**ENTRY, field: mark}).encode()
    return text.replace(json.dumps(mark).encode(), content)


def make_odd_entries():
    nested = b"[" * DEPTH + b"]" * DEPTH
    yield nested
    yield b"[" * DEPTH
    yield b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
    yield from (b"", b"\xff\xfe", b"null", b"[]", LARGE_NUMBER, b'"\\ud800"')
    for field in ENTRY:
        yield spoil_entry(field, nested)
    for field in NUMBER_FIELDS:
        for number in NUMBERS:
            yield spoil_entry(field, number)
    for port in PORTS:
        yield spoil_entry("address", json.dumps(f"127.0.0.1:{port}").encode())
    for field in ("service", "zone", "version", "state"):
        for text in TEXTS:
            yield spoil_entry(field, json.dumps(text).encode())


def make_keys():
    return ("odd", "127.0.0.1:65536", "127.0.0.1:" + "9" * 150, "\u0663", " ")


@given("2 instances that share what they read, and an upstream that answers correctly")
def open_sharing_site(context):
    context.site = context.stack.enter_context(open_site())
    put_configuration(context.site)
    add_upstream(context.site, "i-first", make_upstream())
    context.views = [add_instance(context.site, number) for number in (1, 2)]
    for number, view in enumerate(context.views, start=1):
        start_sharing(context, view, number)
        context.add_cleanup(stop_instance, view)
    for view in context.views:
        wait_until_ready(view)


def make_upstream():
    return ScriptedUpstream(make_parts=answer_correctly, connection_ending="keep")


def start_sharing(context, view, number):
    store = context.site.host
    settings = SETTINGS.replace("{host}:{store_port}", f"{store}:{{store_port}}")
    settings = settings.replace("edge-a-1", f"edge-a-{number}")
    start_program(view, settings=settings + SHARING)


@when('odd entries are written to the table "{table}"')
def write_odd_entries(context, table):
    for number, content in enumerate(make_odd_entries()):
        for key in make_keys():
            # A key for each row, as the store keeps one row a key.
            row_key = f"{key}-{number}" if key == "odd" else key
            call_store(context.site, write_row, table, row_key, content)


@when("all instances are killed and started again")
def restart(context):
    for number, view in enumerate(context.views, start=1):
        stop_instance(view)
        start_sharing(context, view, number)
    for view in context.views:
        wait_until_ready(view)


@when("a further upstream is listed and the first one is removed")
def list_further(context):
    add_upstream(context.site, "i-further", make_upstream())
    unlist_upstream(context.site, "i-first")


@then("all instances are running and no task of theirs has failed")
def check_all_running(context):
    end_s = time.monotonic() + START_TIMEOUT_S
    for view in context.views:
        while not follows_list(view):
            assert view.process.poll() is None, read_log(view)[-3000:]
            assert time.monotonic() < end_s, read_log(view)[-3000:]
            time.sleep(0.05)
        assert "task-failed" not in read_log(view), read_log(view)


def follows_list(view):
    listed = {each["upstream"] for each in read_events(view, "upstream-listed")}
    removed = {each["upstream"] for each in read_events(view, "upstream-unlisted")}
    return "i-further" in listed and "i-first" in removed | ({"i-first"} - listed)


@then('a caller of each instance gets "{body}" from the further upstream')
def check_each_serves(context, body):
    for view in context.views:
        before = len(context.site.upstreams["i-further"].requests)
        reply = send(view, "/read/x")
        assert (reply.status, reply.body) == (200, body.encode()), reply
        assert len(context.site.upstreams["i-further"].requests) == before + 1


@then("each odd entry that another instance sends is used or left out")
def check_messages(context):
    for content in make_odd_entries():
        for key in make_keys():
            item = MessageItem(key=key, content=content, revision=7)
            message = Message(
                kind=MessageKind.UPSTREAMS, era=1, revision=7, items=(item,)
            )
            datagrams = split_message(message, 1)
            if datagrams is None:
                continue
            reassembly = Reassembly()
            for datagram in datagrams:
                joined = join_datagram(reassembly, "10.0.0.1:1", datagram, 0.0)
            (received,) = decode_message(joined).items
            assert base64.b64encode(received.content) == base64.b64encode(content)
            apply_received(received)


def apply_received(received):
    value = decode_upstream(received.key, received.content)
    item = Item(key=received.key, value=value, revision=received.revision)
    page = Page(items=(item,), revision=7, store_time_s=1.0, era=1)
    update = SourceUpdate(
        page=page,
        sent_s=1.0,
        received_s=1.0,
        after_revision=0,
        follows_outage=False,
    )
    state = ForwardState()
    apply_upstreams(state, update)
    assert (received.key in state.listing.upstreams) == (value is not None)
