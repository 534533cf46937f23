import signal
import time

from behave import given, then, when

from features.platform.site import open_site
from features.retries.fleet import (
    RetryFleet,
    change_configuration,
    close_fleet,
    count_arrivals,
    put_routes,
    send_streams,
    start_instances,
    start_upstream,
    wait_for_arrivals,
)

CHANGE_LEAD_S = 0.6


@given(
    "a site of {instances:d} instances and {upstreams:d} upstreams, which may repeat "
    "{extra:d} requests in 10 s"
)
def open_fleet(context, instances, upstreams, extra):
    site = context.stack.enter_context(open_site())
    fleet = context.fleet = RetryFleet(site=site)
    context.stack.callback(close_fleet, fleet)
    put_routes(fleet)
    for number in range(upstreams):
        start_upstream(fleet, f"u-{number}")
    start_instances(fleet, instances, extra=extra)


@when("each instance forwards {count:d} streams that may be resumed")
def send_to_each(context, count):
    send_streams(context.fleet, count)
    wait_for_arrivals(context.fleet, count * len(context.fleet.instances))


@when("the configuration changes its {change}")
def change(context, change):
    change_configuration(context.fleet, change)
    time.sleep(CHANGE_LEAD_S)


@when("all upstreams are stopped for {seconds:g} s")
def stop_upstreams(context, seconds):
    for each in context.fleet.upstreams:
        each.process.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    for each in context.fleet.upstreams:
        each.process.send_signal(signal.SIGCONT)
    context.replies = [call.result() for call in context.fleet.calls]


@then("at most {ratio:g} repeats for each request and {extra:d} more have arrived")
def check_repeats(context, ratio, extra):
    arrivals = count_arrivals(context.fleet)
    repeats = arrivals.total() - len(arrivals)
    assert repeats <= ratio * len(arrivals) + extra, (repeats, len(arrivals))
