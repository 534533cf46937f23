import asyncio
import collections
import contextlib
import re
import time

from behave import given, then, when

from features.platform.site import (
    SETTINGS,
    list_upstream,
    open_site,
    put_configuration,
    run,
    send,
    start_program,
    wait_until_logged,
    wait_until_ready,
)
from features.platform.upstream_kinds import read_id
from features.scripted_upstream import END_OF_HEAD

NO_REPEATS = "bounds.retry-extra=0\nbounds.retry-ratio=0\n"
TIME_LEFT = re.compile(rb"x-deadline-ms: *(\d+)", re.IGNORECASE)
# For rounding to milliseconds, and for the time that a send takes.
TOLERANCE_S = 0.05


class ClosingUpstream:
    """Answers some requests of each connection, and closes it at the next one."""

    def __init__(self, *, answered, delay_s):
        self.answered = answered
        self.delay_s = delay_s
        self.arrivals = []
        self.url = ""

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            for _ in range(self.answered):
                head = await self._read(reader)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\n"
                    b"X-Response-Signature: s.1\r\nContent-Length: 4\r\n\r\ndone"
                    % read_id(head)
                )
            await self._read(reader)
            await asyncio.sleep(self.delay_s)
        writer.close()

    async def _read(self, reader):
        head = await reader.readuntil(END_OF_HEAD)
        self.arrivals.append((head, time.monotonic()))
        return head


def open_closing_site(context, *, answered, delay_s, settings):
    site = context.site = context.stack.enter_context(open_site())
    put_configuration(site)
    upstream = ClosingUpstream(answered=answered, delay_s=delay_s)
    context.upstream = site.upstreams["i-first"] = upstream

    async def listen():
        server = await asyncio.start_server(upstream.serve, site.host, 0)
        return server.sockets[0].getsockname()[1]

    upstream.url = f"http://{site.host}:{run(site, listen())}"
    list_upstream(site, "i-first")
    start_program(site, settings=settings)
    wait_until_ready(site)
    wait_until_logged(site, "instances-counted")


@given(
    "a site that may repeat nothing, whose upstream closes each connection at the second "
    "request"
)
def open_site_without_repeats(context):
    open_closing_site(context, answered=1, delay_s=0, settings=SETTINGS + NO_REPEATS)


@given(
    "a site whose upstream reads a request and closes the connection {delay_s:g} s later"
)
def open_site_of_late_closes(context, delay_s):
    open_closing_site(context, answered=0, delay_s=delay_s, settings=SETTINGS)


@when("a caller sends {count:d} idempotent requests, one after the other")
def send_in_turn(context, count):
    context.statuses = [send(context.site, "/read/x").status for _ in range(count)]


@when("a caller that waits {wait_ms:d} ms sends an idempotent request")
def send_with_deadline(context, wait_ms):
    send(context.site, "/read/x", X_Deadline_Ms=str(wait_ms))


@then("each request has arrived once")
def check_once(context):
    counts = collections.Counter(read_id(head) for head, _ in context.upstream.arrivals)
    assert len(counts) == len(context.statuses), (counts, context.statuses)
    assert max(counts.values()) == 1, counts
    assert set(context.statuses) > {200}, context.statuses


@then("it has arrived twice, and the second time limit ends no later than the first")
def check_time_left(context):
    ends_s = [
        arrived_s + int(TIME_LEFT.search(head)[1]) / 1000
        for head, arrived_s in context.upstream.arrivals
    ]
    assert len(ends_s) == 2, ends_s
    assert ends_s[1] <= ends_s[0] + TOLERANCE_S, ends_s
