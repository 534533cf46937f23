from behave import given, then, when

from features.platform.site import (
    add_upstream,
    answer_correctly,
    list_upstream,
    open_site,
    put_configuration,
    send,
    start_program,
    wait_until_listed,
    wait_until_ready,
)
from features.platform.upstream_kinds import (
    make_upstream,
    read_id,
    write_status,
    write_stream,
)
from features.scripted_upstream import ScriptedUpstream

PATHS = {
    "idempotent": "/read/x",
    "stream": "/stream/x",
    "resumable stream": "/resume/x",
}
REFUSAL = b"X-Not-Executed: 1\r\n"
NOT_RUN_STATUSES = (408, 421, 429, 503)
EVENTS = 3


def write_success(head):
    if head.split(b" ")[1] in (b"/stream/x", b"/resume/x"):
        return write_stream(head, 1, EVENTS, is_whole=True)
    return answer_correctly(head, b"body of " + read_id(head))


def write_refusal(head):
    return write_status(head, b"503 Busy", REFUSAL)


def start_site(context, upstream, *names):
    context.site = context.stack.enter_context(open_site())
    context.upstream = upstream
    put_configuration(context.site)
    add_upstream(context.site, names[0], upstream)
    for name in names[1:]:
        context.site.upstreams[name] = upstream
        list_upstream(context.site, name)
    start_program(context.site)
    wait_until_ready(context.site)
    for name in names:
        wait_until_listed(context.site, name)


@given("a site whose upstream sends a copy of the last {copied} before each response")
def open_copying_site(context, copied):
    context.ran = []
    last = {}

    def respond(head):
        connection = upstream.connections[-1]
        copy = last.get(connection, ())
        number = len(upstream.requests)
        if copied == "refusal" and number % 2 == 1:
            last[connection] = write_refusal(head)
            return (*copy, *last[connection])
        context.ran.append(read_id(head).decode())
        response = write_success(head)
        if copied == "answer":
            last[connection] = response
        return (*copy, *response)

    upstream = ScriptedUpstream(make_parts=respond, connection_ending="keep")
    start_site(context, upstream, "i-first")


@given("a site whose upstream has two names and refuses each request at first")
def script_refusals(context):
    context.ran = []
    context.refusals = {}


@given("it sends a copy of the refusal before the response to the same request")
def open_site_of_two_names(context):
    def respond(head):
        request_id = read_id(head).decode()
        connection = upstream.connections[-1]
        if request_id not in context.refusals:
            context.refusals[request_id] = connection
            return write_refusal(head)
        context.ran.append(request_id)
        is_copied = context.refusals[request_id] == connection
        return (*(write_refusal(head) if is_copied else ()), *write_success(head))

    upstream = ScriptedUpstream(make_parts=respond, connection_ending="keep")
    start_site(context, upstream, "i-first", "i-second")


@given("a site whose upstream {fault} and keeps the connection")
def open_faulty_site(context, fault):
    start_site(context, make_upstream(fault), "i-first")


@when("callers send {count:d} {kind} requests in turn")
def send_in_turn(context, count, kind):
    context.kind = kind
    context.replies = {
        request_id: send(
            context.site, PATHS[kind], method="POST", X_Attempt_Id=request_id
        )
        for request_id in (f"{number:016x}" for number in range(1, count + 1))
    }


@then("each request that the upstream ran has arrived once and got its own response")
def check_own(context):
    assert context.ran
    arrived = [read_id(head).decode() for head in context.upstream.requests]
    for request_id in context.ran:
        reply = context.replies[request_id]
        assert reply.status == 200, (request_id, reply)
        assert arrived.count(request_id) <= 1 + count_refusals(context, request_id)
        if context.kind == "idempotent":
            assert reply.body == b"body of " + request_id.encode(), reply
        else:
            assert reply.body.count(b"data: ") == EVENTS, reply
    assert len(context.ran) == len(set(context.ran)), context.ran


def count_refusals(context, request_id):
    arrived = [read_id(head).decode() for head in context.upstream.requests]
    return arrived.count(request_id) - context.ran.count(request_id)


@then("no caller is told that a request has not run which the upstream ran")
def check_told(context):
    told = [
        (request_id, reply)
        for request_id, reply in context.replies.items()
        if request_id in context.ran
        and (
            reply.status in NOT_RUN_STATUSES
            or reply.headers.get("x-jujubenotch-outcome") == "not-run"
        )
    ]
    assert not told, told


@then("no request ran twice")
def check_runs(context):
    assert context.ran
    assert len(context.ran) == len(set(context.ran)), context.ran


@then("each request has arrived on a connection of its own")
def check_connections(context):
    connections = context.upstream.connections
    assert len(connections) >= len(context.replies)
    assert len(connections) == len(set(connections)), connections
