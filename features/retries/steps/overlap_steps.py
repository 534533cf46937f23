import itertools
import time

from behave import given, then

from features.platform.site import wait_until_listed
from features.retries.fleet import (
    count_arrivals,
    put_routes,
    read_journal,
    start_upstream,
    wait_for_runs,
)
from features.retries.upstream import HOLDS_STREAMS

MS_PER_S = 1000
# A change of the configuration is in force within this time.
IN_FORCE_S = 0.6
HOLDING_UPSTREAM = "u-holding"


@given("routes that allow {timeout_s:d} s for a response")
def allow_time(context, timeout_s):
    fleet = context.fleet
    fleet.routes = tuple(
        {**each, "timeout-ms": timeout_s * MS_PER_S} for each in fleet.routes
    )
    put_routes(fleet)
    time.sleep(IN_FORCE_S)


@given("a further upstream that sends no events")
def add_holding(context):
    fleet = context.fleet
    start_upstream(fleet, HOLDING_UPSTREAM, HOLDS_STREAMS)
    for view in fleet.instances:
        wait_until_listed(view, HOLDING_UPSTREAM)


@then("no stream was held by two upstreams for more than {seconds:g} s")
def check_overlaps(context, seconds):
    overlaps = {
        earlier.request_id: round(earlier.end_s - later.begin_s, 2)
        for runs in wait_for_runs(context.fleet).values()
        for earlier, later in itertools.pairwise(runs)
    }
    too_long = {key: held for key, held in overlaps.items() if held > seconds}
    assert not too_long, too_long


@then("the streams of the further upstream have arrived twice")
def check_left(context):
    fleet = context.fleet
    arrivals = count_arrivals(fleet)
    held_ids = read_journal(fleet.site.upstreams[HOLDING_UPSTREAM])
    assert held_ids and {arrivals[each] for each in held_ids} == {2}, arrivals
