import random
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace

from behave import given, then, when

from features.platform.crashing import has_part, start_upstreams
from features.platform.site import (
    SETTINGS,
    Reply,
    open_site,
    put_configuration,
    read_log,
    send,
    start_program,
    wait_until_ready,
)

CALLERS = 24
FIRST_PART = "f1"
SOUND_TOPICS = 12
SECOND_HOST = "127.77.{}.{}"


@dataclass(frozen=True, kw_only=True)
class SentRequest:
    sent_s: float
    is_bad: bool
    reply: Reply | None


def add_instance(site):
    """Return a view of the site whose program is another instance."""
    host = SECOND_HOST.format(random.randrange(1, 255), random.randrange(1, 255))
    directory = site.directory / "second"
    directory.mkdir()
    return replace(site, host=host, directory=directory, process=None, resources=[])


def start_instance(view, store_host):
    settings = SETTINGS.replace(
        "platform.address={host}", f"platform.address={store_host}"
    )
    if view.host != store_host:
        settings = settings.replace("edge-a-1", "edge-a-2")
    start_program(view, settings=settings)


def stop_instance(view):
    if view.process is not None:
        view.process.kill()
        view.process.wait()


@given(
    'a site of 2 instances and {count:d} upstreams that crash on the prompt part "{part}"'
)
def open_crashing_site(context, count, part):
    context.bad_part = part
    open_fleet(context, count, has_part(part))


def open_fleet(context, count, is_bad, *, is_stream=True):
    site = context.stack.enter_context(open_site())
    put_configuration(site)
    context.upstreams = start_upstreams(site, count, is_bad, is_stream=is_stream)
    second = add_instance(site)
    context.stack.callback(stop_instance, second)
    context.instances = [site, second]
    context.site = site
    for each in context.instances:
        start_instance(each, site.host)
    for each in context.instances:
        wait_until_ready(each)
    context.sent = []


@when("the second instance is killed and starts again")
def restart_second(context):
    site, second = context.instances
    stop_instance(second)
    start_instance(second, site.host)
    wait_until_ready(second)


def send_request(context, number, *, is_bad):
    instance = context.instances[number % len(context.instances)]
    topic = context.bad_part if is_bad else f"t{number % SOUND_TOPICS}"
    prompt = f"{FIRST_PART}:300,{topic}:200,own{number}:100"
    sent_s = time.monotonic()
    try:
        reply = send(
            instance,
            "/stream/x",
            method="POST",
            body=b"{}",
            X_Prompt_Prefix=prompt,
            X_Token_Count="600,32",
        )
    except OSError:
        # The connection is closed without a response when a stream breaks off early.
        reply = None
    return SentRequest(sent_s=sent_s, is_bad=is_bad, reply=reply)


@when(
    "callers send {bad:d} requests a second with the part and {sound:d} without it for "
    "{seconds:d} s"
)
def send_mixed(context, bad, sound, seconds):
    start_s = time.monotonic()
    total = bad + sound
    pending = []
    with ThreadPoolExecutor(CALLERS) as executor:
        for number in range(total * seconds):
            time.sleep(max(0.0, start_s + number / total - time.monotonic()))
            is_bad = (number * bad) % total < bad
            pending.append(
                executor.submit(send_request, context, number, is_bad=is_bad)
            )
    context.sent += [each.result() for each in pending]


@then(
    "at most {count:d} requests with the part reached upstreams later than {delay:d} s "
    "after the fifth crash"
)
def check_blocked(context, count, delay):
    late = count_late(context, crashes=5, delay_s=delay)
    assert late <= count, (late, len(context.upstreams.crashes_s))


def count_late(context, *, crashes, delay_s):
    """Count the bad requests that reached upstreams when they had to be known."""
    crashes_s = sorted(context.upstreams.crashes_s)
    if len(crashes_s) < crashes:
        return 0
    bound_s = crashes_s[crashes - 1] + delay_s
    arrivals = context.upstreams.arrivals
    return sum(each.is_bad and each.at_s > bound_s for each in arrivals)


@then("at most {count:d} upstreams crashed")
def check_crashes(context, count):
    crashes = len(context.upstreams.crashes_s)
    assert crashes <= count, (crashes, read_log(context.site)[-3000:])


def find_last(context, seconds, *, is_bad):
    end_s = max(each.sent_s for each in context.sent)
    return [
        each
        for each in context.sent
        if each.is_bad is is_bad and each.sent_s > end_s - seconds
    ]


@then(
    "each request with the part sent in the last {seconds:d} s got the status "
    "{status:d} without Retry-After"
)
def check_final_answers(context, seconds, status):
    for each in find_last(context, seconds, is_bad=True):
        assert each.reply is not None and each.reply.status == status, each
        assert "retry-after" not in each.reply.headers, each


@then(
    "at least {share:d} in 100 of the others sent in the last {seconds:d} s were served"
)
def check_served(context, share, seconds):
    others = find_last(context, seconds, is_bad=False)
    served = [
        each
        for each in others
        if each.reply and each.reply.status == 200 and each.reply.is_whole
    ]
    assert 100 * len(served) >= share * len(others), (len(served), len(others))
