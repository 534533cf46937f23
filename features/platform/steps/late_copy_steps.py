from behave import given, then, when

from features.platform.site import (
    add_upstream,
    answer_correctly,
    open_site,
    put_configuration,
    send,
    start_program,
    wait_until_ready,
)
from features.platform.upstream_kinds import read_id, write_status, write_stream
from features.scripted_upstream import ScriptedUpstream

PATHS = {
    "idempotent": "/read/x",
    "non-idempotent": "/send/x",
    "stream": "/stream/x",
    "resumable stream": "/resume/x",
}
ONCE_KINDS = ("non-idempotent", "stream")
REFUSAL = b"X-Not-Executed: 1\r\n"


def make_copying_upstream():
    """Each body names its request; a copy precedes the response to the next one."""
    last = []

    def respond(head):
        response = answer_correctly(head, b"body of " + read_id(head))
        copies = tuple(last)
        last[:] = response
        return (*copies, *response)

    return ScriptedUpstream(make_parts=respond, connection_ending="keep")


@given("a site whose upstream sends a copy of each response before the next one")
def open_copying_site(context):
    open_site_of(context, make_copying_upstream())


def open_site_of(context, upstream):
    context.site = context.stack.enter_context(open_site())
    put_configuration(context.site)
    add_upstream(context.site, "i-first", upstream)
    start_program(context.site)
    wait_until_ready(context.site)


@given(
    "a site whose upstream refuses each second request and sends a copy before the next "
    "response"
)
def open_refusing_site(context):
    context.ran = []
    refusals = {}

    def respond(head):
        connection = upstream.connections[-1]
        if len(upstream.requests) % 2 == 1:
            refusals[connection] = write_status(head, b"503 Busy", REFUSAL)
            return refusals[connection]
        context.ran.append(read_id(head).decode())
        return (*refusals.get(connection, ()), *write_success(head))

    upstream = ScriptedUpstream(make_parts=respond, connection_ending="keep")
    open_site_of(context, upstream)


@given(
    "a site whose upstream refuses its first request and sends a copy before its second "
    "response"
)
def open_site_of_old_refusal(context):
    refusal = []

    def respond(head):
        number = len(upstream.requests)
        if number == 1:
            refusal[:] = write_status(head, b"503 Busy", REFUSAL)
            return tuple(refusal)
        copy = refusal[0].replace(REFUSAL, REFUSAL + b"Retry-After: 60\r\n")
        return ((copy,) if number == 2 else ()) + write_success(head)

    upstream = ScriptedUpstream(make_parts=respond, connection_ending="keep")
    open_site_of(context, upstream)


def write_success(head):
    if head.split(b" ")[1] in (b"/stream/x", b"/resume/x"):
        return write_stream(head, 1, 3, is_whole=True)
    return answer_correctly(head)


@when("callers send {count:d} {kind} requests in turn")
def send_in_turn(context, count, kind):
    context.kind = kind
    context.ids = [f"{number:016x}" for number in range(1, count + 1)]
    context.replies = [
        send(context.site, PATHS[kind], method="POST", X_Attempt_Id=request_id)
        for request_id in context.ids
    ]


@then("no caller got the body of another's response")
def check_bodies(context):
    for request_id, reply in zip(context.ids, context.replies, strict=True):
        is_own = reply.body == b"body of " + request_id.encode()
        assert is_own or not reply.body.startswith(b"body of"), reply
    assert context.replies[0].status == 200, context.replies[0]


@then("the upstream received at most {count:d} requests")
def check_requests(context, count):
    received = len(context.site.upstreams["i-first"].requests)
    assert received <= count, received


@then("no caller is told that a request has not run which the upstream ran")
def check_refusals(context):
    assert context.ran
    told = [
        request_id
        for request_id, reply in zip(context.ids, context.replies, strict=True)
        if request_id in context.ran
        and (
            reply.status in (408, 421, 429, 503)
            or reply.headers.get("x-jujubenotch-outcome") == "not-run"
        )
    ]
    assert not told, (told, context.replies)


@then("no request ran twice of those that may run once")
def check_single_runs(context):
    if context.kind in ONCE_KINDS:
        assert len(context.ran) == len(set(context.ran)), context.ran
