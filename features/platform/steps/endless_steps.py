import itertools
import signal
import threading
import time
from pathlib import Path

from behave import given, then, when

from features.endless.upstream import ENDLESS, UNFRAMED_STREAM
from features.platform.site import (
    add_upstream,
    open_site,
    put_configuration,
    read_log,
    read_to_end,
    send,
    signal_program,
    start_program,
    wait_until_ready,
)
from features.platform.upstream_kinds import read_id, write_stream
from features.scripted_upstream import ScriptedUpstream

BYTES_PER_MIB = 1 << 20
STANDSTILL_S = 0.3
SIGNALS = {"is killed": signal.SIGKILL, "is told to stop": signal.SIGTERM}
FIFTH_EVENT = b"data: w5\n\n"


def open_site_of(context, make_parts, ending="close"):
    context.site = context.stack.enter_context(open_site())
    put_configuration(context.site)
    upstream = ScriptedUpstream(make_parts=make_parts, connection_ending=ending)
    add_upstream(context.site, "i-first", upstream)
    start_program(context.site)
    wait_until_ready(context.site)
    context.memory_bytes = read_memory_bytes(context.site)


def read_memory_bytes(site):
    text = Path(f"/proc/{site.process.pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


@given("a site whose upstream sends {what} without end")
def open_endless_site(context, what):
    start, part = ENDLESS[what]
    context.sent_bytes = 0

    def make_parts(head):
        yield start.replace(b"%b", read_id(head))
        for _ in itertools.count():
            yield part
            # The generator goes on once the part has been written.
            context.sent_bytes += len(part)

    open_site_of(context, make_parts)


@given("a site whose upstream streams {count:d} events without a length and ends {how}")
def open_unframed_site(context, count, how):
    events = b"".join(b"id: %d\ndata: w%d\n\n" % (n, n) for n in range(1, count + 1))
    rest = (b"id: %d\ndata: w" % (count + 1),) if how.startswith("inside") else ()

    def make_parts(head):
        return (UNFRAMED_STREAM % read_id(head), events, *rest)

    open_site_of(context, make_parts, "reset" if how == "by a reset" else "close")


@given(
    "a site whose upstream streams {count:d} events without a length, one each 20 ms"
)
def open_slow_unframed_site(context, count):
    def make_parts(head):
        yield UNFRAMED_STREAM % read_id(head)
        for number in range(1, count + 1):
            yield b"id: %d\ndata: w%d\n\n" % (number, number)

    open_site_of(context, make_parts)


@given(
    "a site whose upstream ends a stream without a length {how} while the instance "
    "stands still"
)
def open_paused_site(context, how):
    def make_parts(head):
        yield UNFRAMED_STREAM % read_id(head) + b"id: 1\ndata: w1\n\n"
        signal_program(context.site, signal.SIGSTOP)
        wake = threading.Timer(
            STANDSTILL_S, signal_program, (context.site, signal.SIGCONT)
        )
        wake.start()
        yield b"id: 2\ndata: w2\n\n"

    open_site_of(context, make_parts, "reset" if how == "by a reset" else "close")


@given("a site whose upstream breaks off each stream before its first event")
def open_empty_stream_site(context):
    def make_parts(head):
        return write_stream(head, 1, 0, is_whole=False)

    open_site_of(context, make_parts, "reset")


@given("a site whose upstream ends a chunked stream inside its third event")
def open_chunked_site(context):
    def make_parts(head):
        *parts, end = write_stream(head, 1, 2, is_whole=True)
        return (*parts, b"9\r\nid: 3\nda\r\n", end)

    open_site_of(context, make_parts, "keep")


@when("a caller requests a stream that is not delivered")
def request_endless_stream(context):
    started_s = time.monotonic()
    try:
        context.replies = [send(context.site, "/stream/x", method="POST", body=b"{}")]
    except OSError:
        context.replies = []
    context.waited_s = time.monotonic() - started_s


@when("a caller requests a stream and reads to the end of the connection")
def read_stream(context, number=None):
    """Read a stream; after 5 events, send a signal to the instance."""
    numbers = [number] if number else []

    def note_received(received):
        if numbers and FIFTH_EVENT in received:
            signal_program(context.site, numbers.pop())

    context.received, context.was_reset = read_to_end(
        context.site.host, "/stream/x", note_received=note_received
    )


@when("a caller sends a non-idempotent request and reads to the end of the connection")
def read_response(context):
    context.received, context.was_reset = read_to_end(context.site.host, "/send/x")


@when("a caller requests a stream, and after 5 events the instance {what}")
def interrupt(context, what):
    # Without a signal, the route's deadline ends the stream.
    read_stream(context, SIGNALS.get(what))


@then("the upstream's connection is closed")
def check_closed(context):
    time.sleep(0.3)
    before = context.sent_bytes
    time.sleep(0.3)
    assert context.sent_bytes == before, "the connection is still open"


@then("the upstream sent at most {size:d} MiB before its connection was closed")
def check_sent(context, size):
    check_closed(context)
    assert context.sent_bytes <= size * BYTES_PER_MIB, context.sent_bytes


@then("the instance needs at most {size:d} MiB more memory than before")
def check_memory(context, size):
    more_bytes = read_memory_bytes(context.site) - context.memory_bytes
    assert more_bytes <= size * BYTES_PER_MIB, more_bytes


@then("the connection ended {verdict}")
def check_end(context, verdict):
    assert context.was_reset is (verdict == "by a reset"), (
        context.received,
        read_log(context.site),
    )


@then("the caller received the failure and its {size:d} bytes")
def check_failure(context, size):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 500 "), context.received
    assert b"s.1" in head and body == b"no"[:size], context.received


@then("the caller received the {count:d} events")
def check_received(context, count):
    expected = [b"data: w%d\n\n" % number for number in range(1, count + 1)]
    assert all(each in context.received for each in expected), context.received
