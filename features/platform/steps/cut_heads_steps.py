import re

from behave import given, then, when

from features.platform.site import (
    add_upstream,
    open_site,
    put_configuration,
    read_events,
    send,
    start_program,
    wait_until_ready,
)
from features.platform.upstream_kinds import LAST_EVENT, read_id, write_stream
from features.scripted_upstream import ScriptedUpstream

UPSTREAMS = 2
EVENTS = b"id: 1\ndata: w1\n\nid: 2\ndata: w2\n\n"
SIGNATURE = b"X-Response-Signature: s.1"
TYPE = b"Content-Type: text/event-stream"
STREAM = TYPE + b"\r\nTransfer-Encoding: chunked"
KINDS = ("/read/", "/send/", "/stream/", "/resume/")
# The path ends with the number of the row that the upstream answers with.
ROW_NUMBER = re.compile(rb"^\S+ /\w+/(\d+) ")


def write_start(text, head):
    content = text.encode().decode("unicode_escape").encode()
    for name, value in (
        (b"{id}", b"X-Attempt-Id: " + read_id(head)),
        (b"{signature}", SIGNATURE),
        (b"{stream}", STREAM),
        (b"{type}", TYPE),
    ):
        content = content.replace(name, value)
    return content


def open_site_of_rows(context, choose_parts):
    """Open a site of upstreams that answer with the row named by the path."""
    context.rows = [(row["start"], row["end"]) for row in context.table]
    context.site = context.stack.enter_context(open_site())
    put_configuration(context.site)
    for number in range(UPSTREAMS):
        add_upstream(context.site, f"i-{number}", make_row_upstream(choose_parts))
    start_program(context.site)
    wait_until_ready(context.site)


def make_row_upstream(choose_parts):
    def respond(head):
        parts, upstream.connection_ending = choose_parts(head)
        return parts

    upstream = ScriptedUpstream(make_parts=respond)
    return upstream


@given("a site whose upstreams send the start of a head and end the connection")
def open_site_of_cut_heads(context):
    def choose_parts(head):
        start, end = context.rows[int(ROW_NUMBER.search(head)[1])]
        return (write_start(start, head),), end

    open_site_of_rows(context, choose_parts)


@given(
    "a site whose upstreams break off each stream after 2 events and answer a resumption"
)
def open_site_of_failed_resumptions(context):
    def choose_parts(head):
        if not LAST_EVENT.search(head):
            return write_stream(head, 1, 2, is_whole=False), "reset"
        start, end = context.rows[int(ROW_NUMBER.search(head)[1])]
        return (write_start(start, head),), end

    open_site_of_rows(context, choose_parts)


@when("callers send a request of each kind for each of these")
def send_each_kind(context):
    context.replies = [
        send(context.site, f"{kind}{number}", method="POST", body=b"{}")
        for number in range(len(context.rows))
        for kind in KINDS
    ]


@when("{count:d} callers request a resumable stream for each of these")
def request_streams(context, count):
    context.replies = [
        send(context.site, f"/resume/{number}", method="POST", body=b"{}")
        for number in range(len(context.rows))
        for _ in range(count)
    ]


@then("each caller gets an error")
def check_errors(context):
    statuses = {reply.status for reply in context.replies}
    assert statuses <= {502, 503, 504}, statuses


@then("no caller gets a byte of the upstream's response")
def check_bytes(context):
    for reply in context.replies:
        rest = reply.body.removeprefix(EVENTS)
        assert not rest.startswith(b"error") and b"HTTP/1.1" not in rest, reply
        has_signature = "x-response-signature" in reply.headers
        assert has_signature == (reply.status == 200), reply


@then("no attempt has ended as completed")
def check_attempts(context):
    ends = read_events(context.site, "request-attempt-ended")
    reasons = {each["reason"] for each in ends}
    # Upstreams that have failed are ejected meanwhile.
    assert len(ends) >= len(context.rows), len(ends)
    assert "completed" not in reasons, reasons


@then("each stream that began is cut after its 2 events")
def check_streams(context):
    begun = [reply for reply in context.replies if reply.status == 200]
    # Upstreams that have failed are ejected meanwhile; most streams begin.
    assert 2 * len(begun) >= len(context.replies), len(begun)
    for reply in begun:
        assert reply.body == EVENTS and not reply.is_whole, reply


@then("each stream that began is whole after its 2 events")
def check_whole_streams(context):
    begun = [reply for reply in context.replies if reply.status == 200]
    assert 2 * len(begun) >= len(context.replies), len(begun)
    for reply in begun:
        assert reply.body == EVENTS and reply.is_whole, reply
