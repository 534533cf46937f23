"""Steps about upstreams that leave the list and come back."""

from behave import given, then, when

from features.pace.fleet import (
    SERVICE,
    SHORT,
    add_load,
    list_upstream,
    make_fleet,
    send,
    unlist_upstreams,
)
from features.pace.steps.placement_steps import make_first
from jujubenotch.pace import (
    ServicePace,
    read_slowness,
    record_first_token,
    record_pace,
)

SLOW = "u-3"
# Mean time between two changes of the list, in seconds.
CHANGE_INTERVAL_S = 0.15
MAX_ABSENCE_S = 1.5
# The estimates are found again within this time.
REFRESH_S = 0.3


@given("an instance before 5 upstreams, one of which is found slow")
def find_slow(context):
    context.fleet = make_fleet(
        instances=1, speeds=[1.0] * 5, shares=False, has_noise=False
    )
    capacity = context.fleet.capacities[0]
    service = capacity.learned.services[SERVICE] = ServicePace()
    for name in context.fleet.upstreams:
        record_pace(service, name, 1.0, 0.0, 0.0)
        for _ in range(20):
            took_s = 0.4 if name == SLOW else 0.05
            record_first_token(service, make_first(name, took_s), 0.0)


@when("the slow upstream leaves the list and comes back before the next request")
def relist(context):
    fleet = context.fleet
    fleet.now_s += REFRESH_S
    service = fleet.capacities[0].learned.services[SERVICE]
    assert read_slowness(service, SLOW, fleet.now_s) > 1.5
    assert service.upstreams[SLOW].speed_class
    unlist_upstreams(fleet, [SLOW])
    list_upstream(fleet, SLOW)


@then("{count:d} requests are granted")
def check_granted(context, count):
    fleet = context.fleet
    for number in range(count):
        send(fleet, SHORT, f"key-{number}")
    assert not any(result.is_refused for result in fleet.results)


@when(
    "{rate:d} requests a second arrive for {seconds:d} s while upstreams leave and "
    "come back"
)
def send_while_changing(context, rate, seconds):
    fleet = context.fleet
    draw_changes(fleet, fleet.now_s + seconds)
    add_load(fleet, per_s=rate, seconds=seconds, long_share=0.0)


def draw_changes(fleet, end_s):
    """Let random upstreams leave the list at random times, and come back."""
    draws = fleet.draws

    def leave():
        listed = sorted(fleet.listings[0].upstreams)
        names = draws.sample(listed, draws.randint(0, len(listed)))
        unlist_upstreams(fleet, names)
        for name in names:
            absence_s = draws.choice((0.0, draws.uniform(0.0, MAX_ABSENCE_S)))
            fleet.at(
                fleet.now_s + absence_s, lambda name=name: list_upstream(fleet, name)
            )

    at_s = fleet.now_s
    while (at_s := at_s + draws.expovariate(1 / CHANGE_INTERVAL_S)) < end_s:
        fleet.at(at_s, leave)


@then("each request was granted while an upstream of its service was listed")
def check_each_granted(context):
    results = context.fleet.results
    for result in results:
        assert result.is_refused == (result.listed == 0), result
    assert sum(result.is_refused for result in results) < len(results) / 2
