import re
import signal
import time

from behave import given, then, when

from features.platform.site import open_site, read_log, unlist_upstream
from features.retries.fleet import (
    RetryFleet,
    change_configuration,
    close_fleet,
    count_arrivals,
    put_routes,
    read_journal,
    send_streams,
    start_instances,
    start_upstream,
    wait_for_arrivals,
)
from features.retries.upstream import EVENTS

CHANGE_LEAD_S = 0.6
EVENT_ID = re.compile(rb"id: (\d+)")


@given(
    "a site of {instances:d} instances and {upstreams:d} upstreams, which may repeat "
    "{extra:d} requests in 10 s"
)
def open_fleet(context, instances, upstreams, extra):
    _open_fleet(context, instances, upstreams, f"bounds.retry-extra={extra}\n")


@given(
    "a site of {instances:d} instances and {upstreams:d} upstreams, which may repeat "
    "nothing"
)
def open_fleet_without_repeats(context, instances, upstreams):
    bounds = "bounds.retry-extra=0\nbounds.retry-ratio=0\n"
    _open_fleet(context, instances, upstreams, bounds)


def _open_fleet(context, instances, upstreams, bounds):
    site = context.stack.enter_context(open_site())
    fleet = context.fleet = RetryFleet(site=site)
    context.stack.callback(close_fleet, fleet)
    put_routes(fleet)
    for number in range(upstreams):
        start_upstream(fleet, f"u-{number}")
    start_instances(fleet, instances, bounds)


@when("each instance forwards {count:d} streams that may be resumed")
def send_to_each(context, count):
    send_streams(context.fleet, count)
    wait_for_arrivals(context.fleet, count * len(context.fleet.instances))


@when("the configuration changes its {change}")
def change(context, change):
    change_configuration(context.fleet, change)
    time.sleep(CHANGE_LEAD_S)


@when("all upstreams are stopped for {seconds:g} s")
def stop_all(context, seconds):
    _stop(context, context.fleet.upstreams, seconds)


@when("one upstream is stopped for {seconds:g} s")
def stop_one(context, seconds):
    _stop(context, [_find_busiest(context)], seconds)


@when(
    "one upstream is stopped for {seconds:g} s, and leaves the list after {listed_s:g} s"
)
def stop_and_unlist(context, seconds, listed_s):
    busiest = _find_busiest(context)

    def unlist():
        time.sleep(listed_s)
        unlist_upstream(context.fleet.site, busiest.journal.name)

    _stop(context, [busiest], seconds, unlist)


def _find_busiest(context):
    busiest = max(context.fleet.upstreams, key=lambda each: len(read_journal(each)))
    context.stopped_ids = read_journal(busiest)
    return busiest


def _stop(context, upstreams, seconds, work=lambda: None):
    for each in upstreams:
        each.process.send_signal(signal.SIGSTOP)
    begin_s = time.monotonic()
    work()
    time.sleep(begin_s + seconds - time.monotonic())
    for each in upstreams:
        each.process.send_signal(signal.SIGCONT)
    for call in context.fleet.calls:
        call.result()


@then("at most {ratio:g} repeats for each request and {extra:d} more have arrived")
def check_repeats(context, ratio, extra):
    arrivals = count_arrivals(context.fleet)
    repeats = arrivals.total() - len(arrivals)
    assert repeats <= ratio * len(arrivals) + extra, (repeats, len(arrivals))


@then("all callers got their streams whole")
def check_streams(context):
    for call in context.fleet.calls:
        reply = call.result()
        numbers = [int(each) for each in EVENT_ID.findall(reply.body)]
        is_whole = reply.is_whole and numbers == list(range(1, EVENTS + 1))
        assert is_whole, (numbers, reply, _read_lines_of(context.fleet, reply))


def _read_lines_of(fleet, reply):
    """Return the log lines of all instances that name the request of a reply."""
    request_id = reply.headers.get("x-attempt-id", "")
    lines = [line for view in fleet.instances for line in read_log(view).splitlines()]
    return [line for line in lines if request_id in line or "process-checked" in line]


@then("no request has arrived twice")
def check_arrivals(context):
    arrivals = count_arrivals(context.fleet)
    assert max(arrivals.values()) == 1, arrivals


@then("the streams of the stopped upstream have arrived twice")
def check_left(context):
    arrivals = count_arrivals(context.fleet)
    assert {arrivals[each] for each in context.stopped_ids} == {2}, arrivals
