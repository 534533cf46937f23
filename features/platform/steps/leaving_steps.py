import itertools
import time

from behave import given, then, when

from features.platform.site import (
    add_upstream,
    answer_correctly,
    list_upstream,
    open_site,
    put_configuration,
    read_events,
    read_log,
    start_program,
    unlist_upstream,
    wait_until_ready,
)
from features.platform.steps.notices_steps import add_header
from features.platform.upstream_kinds import KINDS
from features.scripted_upstream import ScriptedUpstream

LEAVING = b"Server-Leaving: 1\r\n"
REFUSED_WITHIN_S = 0.3
FIRST_STARTED_MS = 1_700_000_000_000


def open_site_with(context, upstream):
    context.site = context.stack.enter_context(open_site())
    put_configuration(context.site)
    add_upstream(context.site, "i-first", upstream)
    list_upstream(context.site, "i-first", born=FIRST_STARTED_MS)
    start_program(context.site)
    wait_until_ready(context.site)


def wait_until_unlisted(site, name):
    end_s = time.monotonic() + 5.0
    while name not in {
        each["upstream"] for each in read_events(site, "upstream-unlisted")
    }:
        assert time.monotonic() < end_s, read_log(site)
        time.sleep(0.05)


@given("a site whose upstream says that it is leaving and {kind}")
def open_leaving_site(context, kind):
    answer, ending = KINDS[kind]
    upstream = ScriptedUpstream(
        make_parts=lambda head: add_header(answer(head), LEAVING),
        connection_ending=ending,
    )
    open_site_with(context, upstream)


@given("a site whose upstream says once that it is leaving")
def open_site_once(context):
    headers = itertools.chain([LEAVING], itertools.repeat(b""))
    upstream = ScriptedUpstream(
        make_parts=lambda head: add_header(answer_correctly(head), next(headers)),
        connection_ending="keep",
    )
    open_site_with(context, upstream)


@given('a site whose upstream states "{header}"')
def open_site_stating(context, header):
    line = header.encode() + b"\r\n"
    upstream = ScriptedUpstream(
        make_parts=lambda head: add_header(answer_correctly(head), line),
        connection_ending="keep",
    )
    open_site_with(context, upstream)


@when("the first upstream leaves the list")
def unlist_first(context):
    unlist_upstream(context.site, "i-first")
    wait_until_unlisted(context.site, "i-first")


@when("the first upstream leaves the list and is listed again")
def relist_first(context):
    unlist_first(context)
    list_upstream(context.site, "i-first", born=FIRST_STARTED_MS)
    time.sleep(0.5)


@when("the first upstream is listed as a new process")
def list_new_process(context):
    list_upstream(context.site, "i-first", born=FIRST_STARTED_MS + 5_000, sequence=2)
    time.sleep(0.5)


@then("the first upstream received at most {count:d} request")
def check_at_most(context, count):
    received = len(context.site.upstreams["i-first"].requests)
    assert received <= count, (received, read_log(context.site))


@then("the first upstream received at least {count:d} requests")
def check_at_least(context, count):
    received = len(context.site.upstreams["i-first"].requests)
    assert received >= count, (received, read_log(context.site))


@then("the last caller gets the status {status:d} at once with Retry-After")
def check_last_refused(context, status):
    reply = context.replies[-1]
    assert reply.status == status, reply
    assert float(reply.headers["retry-after"]) > 0, reply
    line = read_events(context.site, "request-ended")[-1]
    assert line["outcome"] == "not-run", line
    assert line.get("took_s", 0.0) < REFUSED_WITHIN_S, line
