import asyncio
import contextlib
import re
import socket
import time

from behave import given, then, when

from features.platform.site import (
    list_upstream,
    open_site,
    put_configuration,
    run,
    send,
    start_program,
    wait_until_ready,
)
from features.platform.upstream_kinds import LAST_CHUNK, STREAM_HEAD, read_id
from features.scripted_upstream import (
    CONTENT_LENGTH,
    END_OF_HEAD,
    REPORT,
    REPORT_REQUEST,
)
from jujubenotch.daemon.forwarder import UPSTREAM_LIMITS
from jujubenotch.upstreams import close_connections, open_connections

EVENT_ID = re.compile(rb"id: (\d+)")
PROBE_OPTIONS = (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL)


class PausingUpstream:
    """Streams events, and pauses once; counts its connections and requests."""

    def __init__(self, *, pause_s, before, events):
        self.pause_s = pause_s
        self.before = before
        self.events = events
        self.connections = 0
        self.requests = 0
        self.url = ""

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(END_OF_HEAD)
                length = CONTENT_LENGTH.search(head)
                await reader.readexactly(int(length[1]) if length else 0)
                if head.startswith(REPORT_REQUEST):
                    writer.write(REPORT)
                    continue
                self.requests += 1
                await self.stream(head, writer)
        writer.close()

    async def stream(self, head, writer):
        writer.write(STREAM_HEAD % read_id(head))
        for number in range(1, self.events + 1):
            event = b"id: %d\ndata: w%d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            if number == self.before:
                await asyncio.sleep(self.pause_s)
        writer.write(LAST_CHUNK)


class TricklingUpstream(PausingUpstream):
    """Sends single bytes that complete no event instead of pausing."""

    async def stream(self, head, writer):
        writer.write(STREAM_HEAD % read_id(head))
        for number in range(1, self.before + 1):
            event = b"id: %d\ndata: w%d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        while not writer.is_closing():
            writer.write(b"1\r\nx\r\n")
            await asyncio.sleep(self.pause_s)


@given(
    "a site whose upstream sends a byte each {pause_s:g} s after {before:d} of "
    "{events:d} events"
)
def open_trickling_site(context, pause_s, before, events):
    upstream = TricklingUpstream(pause_s=pause_s, before=before, events=events)
    open_site_of(context, upstream)


@given(
    "a site whose upstream is silent for {pause_s:g} s after {before:d} of {events:d} "
    "events"
)
def open_pausing_site(context, pause_s, before, events):
    upstream = PausingUpstream(pause_s=pause_s, before=before, events=events)
    open_site_of(context, upstream)


def open_site_of(context, upstream):
    site = context.site = context.stack.enter_context(open_site())
    put_configuration(site)

    async def listen():
        server = await asyncio.start_server(upstream.serve, site.host, 0)
        return server.sockets[0].getsockname()[1]

    upstream.url = f"http://{site.host}:{run(site, listen())}"
    context.pausing = site.upstreams["i-first"] = upstream
    list_upstream(site, "i-first")
    start_program(site)
    wait_until_ready(site)


@when("a caller reads a stream that may be resumed")
def read_stream(context):
    started_s = time.monotonic()
    # The other upstream is listed later; the stream begins at either of them.
    while not context.pausing.requests:
        started_s = time.monotonic()
        context.reply = send(context.site, "/resume/x", method="POST", body=b"{}")
    context.took_s = time.monotonic() - started_s


@when("a caller reads a stream, and another one {pause_s:g} s later")
def read_two_streams(context, pause_s):
    for _ in range(2):
        send(context.site, "/resume/x", method="POST", body=b"{}")
        time.sleep(pause_s)


def check_events(context, first, last):
    events = [int(each) for each in EVENT_ID.findall(context.reply.body)]
    assert events == list(range(first, last + 1)), context.reply
    assert context.reply.is_whole, context.reply


@then("it got the events {first:d} to {last:d} from one upstream")
def check_one_upstream(context, first, last):
    check_events(context, first, last)
    assert context.took_s > context.pausing.pause_s, context.took_s


@then("it got the events {first:d} to {last:d} within {bound_s:g} s")
def check_in_time(context, first, last, bound_s):
    check_events(context, first, last)
    assert context.took_s < bound_s, context.took_s


@then("the upstream accepted {count:d} connection")
def check_connections(context, count):
    assert context.pausing.connections == count, context.pausing.connections


def find_sockets(connections):
    acquired = connections.reusable.connector._acquired
    transports = [getattr(each, "transport", None) for each in acquired]
    return [each.get_extra_info("socket") for each in transports if each]


async def read_socket_options():
    """Return the timeouts of a connection to an upstream, in seconds."""
    accepted = asyncio.Event()
    server = await asyncio.start_server(
        lambda reader, writer: accepted.set(), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    connections = open_connections(UPSTREAM_LIMITS)
    task = asyncio.create_task(
        connections.reusable.get(f"http://127.0.0.1:{port}/").__aenter__()
    )
    await accepted.wait()
    while not (sockets := find_sockets(connections)):
        await asyncio.sleep(0.01)
    (sock,) = sockets
    user_timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    timeouts_s = [user_timeout_ms / 1000]
    timeouts_s += [
        sock.getsockopt(socket.IPPROTO_TCP, option) for option in PROBE_OPTIONS
    ]
    task.cancel()
    await close_connections(connections)
    server.close()
    return timeouts_s


@then("no timeout of a connection to an upstream's host is shorter than {bound_s:g} s")
def check_shortest(context, bound_s):
    context.timeouts_s = asyncio.run(read_socket_options())
    assert all(each >= bound_s for each in context.timeouts_s), context.timeouts_s


@then("all of them are over within {bound_s:g} s")
def check_longest(context, bound_s):
    user_timeout_s, idle_s, interval_s = context.timeouts_s
    # Probes begin when the connection is idle, and the one after the timeout ends it.
    assert max(user_timeout_s, idle_s) + interval_s <= bound_s, context.timeouts_s
