import itertools

from behave import given, then

from features.platform.site import answer_correctly, read_log
from features.platform.steps.leaving_steps import open_site_with
from features.platform.upstream_kinds import write_status
from features.scripted_upstream import ScriptedUpstream


@given('a site whose first {count:d} requests at the upstream get 503 with "{header}"')
def open_waiting_site(context, count, header):
    lines = b"X-Not-Executed: 1\r\n"
    for line in header.split("; "):
        lines += line.encode() + b"\r\n"
    numbers = itertools.count()

    def answer(head):
        if next(numbers) < count:
            return write_status(head, b"503 Busy", lines)
        return answer_correctly(head)

    upstream = ScriptedUpstream(make_parts=answer, connection_ending="keep")
    open_site_with(context, upstream)


def count_arrivals(context, start_s, end_s):
    arrivals_s = context.site.upstreams["i-first"].arrivals_s
    first_s = arrivals_s[0]
    return sum(first_s + start_s <= at_s < first_s + end_s for at_s in arrivals_s)


@then(
    "the first upstream received at most {count:d} requests from {start:g} to {end:g} s "
    "after its first 503"
)
def check_wait(context, count, start, end):
    received = count_arrivals(context, start, end)
    assert received <= count, (received, read_log(context.site))


@then("the first upstream received at least {count:d} requests in total")
def check_return(context, count):
    received = len(context.site.upstreams["i-first"].requests)
    assert received >= count, received


@then(
    "the first upstream received fewer requests from {start:g} to {end:g} s after its "
    "first 503 than from {later_start:g} to {later_end:g} s"
)
def check_steps(context, start, end, later_start, later_end):
    early = count_arrivals(context, start, end)
    late = count_arrivals(context, later_start, later_end)
    assert 0 < early < late, (early, late)


@then(
    "the callers get the status {status:d} within {seconds:g} s with times to come back "
    "that differ"
)
def check_refused(context, status, seconds):
    assert {each.reply.status for each in context.timed_replies} == {status}
    assert all(each.took_s < seconds for each in context.timed_replies)
    times = {reply.headers["retry-after"] for reply in context.replies}
    assert len(times) > len(context.replies) / 2, context.replies
