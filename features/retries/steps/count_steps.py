import time

from behave import given, then, when

from features.platform.site import open_site, read_events, wait_until_logged
from features.retries.fleet import (
    RetryFleet,
    close_fleet,
    put_routes,
    restart_instance,
    start_instances,
    start_upstream,
)

# The instances of a new site know of each other after this time.
SETTLING_S = 2.0


@given(
    "a site of {instances:d} instances and {upstreams:d} upstream, in which changes are "
    "in force within {change_ms:d} ms"
)
def open_fleet(context, instances, upstreams, change_ms):
    site = context.stack.enter_context(open_site())
    fleet = context.fleet = RetryFleet(site=site)
    context.stack.callback(close_fleet, fleet)
    put_routes(fleet)
    for number in range(upstreams):
        start_upstream(fleet, f"u-{number}")
    bounds = f"bounds.config-ms={change_ms}\nbounds.drain-ms={change_ms}\n"
    start_instances(fleet, instances, bounds)
    time.sleep(SETTLING_S)


@when("one instance is killed and starts again")
def replace_instance(context):
    context.view = context.fleet.instances[0]
    restart_instance(context.fleet, context.view)
    wait_until_logged(context.view, "instances-counted")


@then("the first number of instances that it counts is {count:d}")
def check_count(context, count):
    counted = read_events(context.view, "instances-counted")[0]
    assert counted["instances"] == count, counted
