import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.platform.site import send
from features.platform.steps.crashing_prompt_steps import (
    CALLERS,
    SentRequest,
    check_final_answers,
    count_late,
    open_fleet,
)

PATHS = {"idempotent": "/read/x", "non-idempotent": "/send/x"}


@given(
    'a site of 2 instances and {count:d} upstreams that crash on the body "{content}"'
)
def open_site_crashing_on_body(context, count, content):
    context.bad_body = content.encode()
    open_fleet(
        context,
        count,
        lambda head, body: body == context.bad_body,
        is_stream=False,
    )


def send_body(context, number, path, body):
    instance = context.instances[number % len(context.instances)]
    sent_s = time.monotonic()
    try:
        reply = send(instance, path, method="POST", body=body)
    except OSError:
        reply = None
    return SentRequest(sent_s=sent_s, is_bad=body == context.bad_body, reply=reply)


@when(
    "callers send {bad:d} {kind:S} requests a second with that body and {sound:d} "
    "{which:w} for {seconds:d} s"
)
@when(
    "callers send {bad:d} {kind:S} requests a second with that body and {sound:d} "
    "{which:w} ones for {seconds:d} s"
)
def send_bodies_at_rate(context, bad, kind, sound, which, seconds):
    start_s = time.monotonic()
    total = bad + sound
    pending = []
    with ThreadPoolExecutor(CALLERS) as executor:
        for number in range(total * seconds):
            time.sleep(max(0.0, start_s + number / total - time.monotonic()))
            body = b"alike" if which == "alike" else b"sound-%d" % number
            if (number * bad) % total < bad:
                body = context.bad_body
            pending.append(
                executor.submit(send_body, context, number, PATHS[kind], body)
            )
    context.sent += [each.result() for each in pending]


@then(
    "at most {count:d} requests with that body reached upstreams later than {delay:d} s "
    "after the third crash"
)
def check_repeats(context, count, delay):
    crashes = len(context.upstreams.crashes_s)
    assert crashes >= 3, crashes
    late = count_late(context, crashes=3, delay_s=delay)
    assert late <= count, (late, crashes)


@then(
    "each request with that body sent in the last {seconds:d} s got the status "
    "{status:d} without Retry-After"
)
def check_body_answers(context, seconds, status):
    check_final_answers(context, seconds, status)
