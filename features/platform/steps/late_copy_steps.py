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
from features.platform.upstream_kinds import read_id
from features.scripted_upstream import ScriptedUpstream

PATHS = {"idempotent": "/read/x", "non-idempotent": "/send/x"}


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
    context.site = context.stack.enter_context(open_site())
    put_configuration(context.site)
    add_upstream(context.site, "i-first", make_copying_upstream())
    start_program(context.site)
    wait_until_ready(context.site)


@when("callers send {count:d} {kind} requests in turn")
def send_in_turn(context, count, kind):
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
