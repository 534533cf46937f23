from behave import given, then

from features.platform.site import answer_correctly, read_log
from features.platform.steps.leaving_steps import open_site_with
from features.platform.steps.notices_steps import add_header
from features.scripted_upstream import ScriptedUpstream

FULL_LOAD = b"X-Instance-Load: 4,0,4\r\n"


@given('a site whose upstream states "{header}" and a full load')
def open_brittle_site(context, header):
    lines = header.encode() + b"\r\n" + FULL_LOAD
    upstream = ScriptedUpstream(
        make_parts=lambda head: add_header(answer_correctly(head), lines),
        connection_ending="keep",
    )
    open_site_with(context, upstream)


@then("the first upstream received at most {count:d} requests")
def check_spared(context, count):
    received = len(context.site.upstreams["i-first"].requests)
    assert 0 < received <= count, (received, read_log(context.site)[-2000:])


@then(
    'the callers get "{body}" or the status {status:d} within {seconds:g} s with times to '
    "come back"
)
def check_replies(context, body, status, seconds):
    replies = context.timed_replies
    others = [each for each in replies if each.reply.body != body.encode()]
    assert others and len(others) < len(replies)
    for each in others:
        assert each.reply.status == status and each.took_s < seconds, each
        assert float(each.reply.headers["retry-after"]) > 0, each
