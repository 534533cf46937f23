import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from behave import then, when

from benchmarks.site.request_limit import ReceivedRequests, find_largest_excess
from features.platform.site import Reply, read_log, send

CALLERS = 16


@dataclass(frozen=True, kw_only=True)
class TimedReply:
    reply: Reply
    took_s: float


def send_timed(site):
    started_s = time.monotonic()
    reply = send(site, "/read/x")
    return TimedReply(reply=reply, took_s=time.monotonic() - started_s)


@when("callers send {rate:d} idempotent requests a second for {seconds:d} s")
def send_at_rate(context, rate, seconds):
    start_s = time.monotonic()
    pending = []
    with ThreadPoolExecutor(CALLERS) as executor:
        for number in range(rate * seconds):
            time.sleep(max(0.0, start_s + number / rate - time.monotonic()))
            pending.append(executor.submit(send_timed, context.site))
    context.timed_replies = [each.result() for each in pending]
    context.replies = [each.reply for each in context.timed_replies]


@then("the first upstream received no more than its limit of {limit:g} a second allows")
def check_limit(context, limit):
    arrivals_s = context.site.upstreams["i-first"].arrivals_s
    # The only instance has read the first response by the time of the second request.
    received = ReceivedRequests(
        arrivals=[(at_s, "edge-a-1") for at_s in arrivals_s],
        told_s={"edge-a-1": arrivals_s[0]},
    )
    excess = find_largest_excess(received, limit, named_s=arrivals_s[0])
    assert excess <= 0, (excess, len(arrivals_s))


@then(
    'some callers get "{body}", and the others the status {status:d} within '
    "{seconds:g} s with Retry-After"
)
def check_refused_at_once(context, body, status, seconds):
    others = [each for each in context.timed_replies if each.reply.status != 200]
    served = [each for each in context.replies if each.status == 200]
    assert served and all(reply.body == body.encode() for reply in served)
    assert others, read_log(context.site)
    for each in others:
        assert each.reply.status == status, each
        assert float(each.reply.headers["retry-after"]) > 0, each
        assert each.took_s < seconds, each


@then(
    'callers get "{body}" for at least half of what the limit of {limit:g} a second '
    "allows in {seconds:g} s"
)
def check_served(context, body, limit, seconds):
    served = sum(each.body == body.encode() for each in context.replies)
    assert served >= limit * seconds / 2, (served, read_log(context.site)[-2000:])
