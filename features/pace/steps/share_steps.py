"""Steps about the sums that instances exchange."""

import math

from behave import given, then, when

from features.pace.fleet import SERVICE, make_fleet
from features.pace.steps.placement_steps import make_first
from jujubenotch.forwarding import list_own, list_totals, take_own, take_totals
from jujubenotch.pace import ServicePace, SharedPace, record_first_token
from jujubenotch.pace.learn import SLOWNESS
from jujubenotch.pace.model import combine

NOW_S = 1.0
NAME = "u-0"


@given("three instances that observed an upstream {count:d} times each")
def observe(context, count):
    context.fleet = make_fleet(instances=3, speeds=[1.0, 1.0], shares=False)
    for capacity in context.fleet.capacities:
        for known in capacity._listing.upstreams.values():
            capacity.states.add(known.listed)
        service = capacity.learned.services.setdefault(SERVICE, ServicePace())
        for _ in range(count):
            record_first_token(service, make_first(NAME, 0.14, 0), NOW_S)


@when("the first receives the sums of the others {times:d} times")
def receive(context, times):
    reader, *others = context.fleet.exchanges
    for number, exchange in enumerate(others):
        entries = list_own(exchange, NOW_S)
        for _ in range(times):
            take_own(reader, f"sender-{number}", entries, NOW_S)


@when("the first receives sums of {sums}, a load of {load:d} and a pace of {pace:g}")
def receive_impossible(context, sums, load, pace):
    entry = SharedPace(
        service=SERVICE,
        upstream=NAME,
        sums=tuple(float(value) for value in sums.split(",")),
        load=load,
        pace=pace,
    )
    reader, other, _ = context.fleet.exchanges
    take_own(reader, "sender", [entry], NOW_S)
    take_totals(other, [entry], NOW_S)


@then("its total has the weight of {count:d} observations")
def check_total(context, count):
    context.totals = list_totals(context.fleet.exchanges[0], NOW_S)
    assert math.isclose(count_observations(context, 0), count, rel_tol=0.01)


@then("after the totals are received twice each instance counts {count:d} observations")
def check_counts(context, count):
    for number, exchange in enumerate(context.fleet.exchanges[1:], start=1):
        for _ in range(2):
            take_totals(exchange, context.totals, NOW_S)
        found = count_observations(context, number)
        assert math.isclose(found, count, rel_tol=0.01), found


@then("the load of the upstream is unknown")
def check_unknown(context):
    for exchange in context.fleet.exchanges:
        assert exchange.states.find(NAME).reported_s is None


def count_observations(context, number):
    service = context.fleet.exchanges[number].learned.services[SERVICE]
    return combine(service.find(NAME), SLOWNESS, NOW_S).weight
