from behave import given, then, when

from jujubenotch.routing import (
    ExternalLoad,
    ObservedLatency,
    estimate_latency_s,
    read_external_running,
    record_external_load,
    record_latency,
    record_own_running,
)
from jujubenotch.work import LoadReport, WorkReport, WorkResult


def make_report(first_token_s):
    return WorkReport(result=WorkResult.COMPLETED, first_token_s=first_token_s)


@given("the group takes {seconds:g} seconds to a first token")
def set_group_latency(context, seconds):
    context.now_s = 1000.0
    context.group_latency = ObservedLatency()
    context.latency = ObservedLatency()
    record_latency(context.group_latency, make_report(seconds), context.now_s)


@when("an upstream takes {seconds:g} seconds to a first token {count:d} times")
def record_first_tokens(context, seconds, count):
    for _ in range(count):
        record_latency(context.latency, make_report(seconds), context.now_s)


@when("{seconds:g} seconds elapse")
def advance_clock(context, seconds):
    context.now_s += seconds


@then("its latency is estimated as {seconds:g} seconds")
def check_latency(context, seconds):
    latency_s = estimate_latency_s(
        context.latency, context.group_latency, context.now_s
    )
    assert abs(latency_s - seconds) < 0.001, latency_s


@given("this slot allocation has run {own:d} requests for {seconds:g} seconds")
def set_own_count(context, own, seconds):
    if not hasattr(context, "load"):
        context.load = ExternalLoad()
        context.now_s = 1000.0
    context.own = own
    record_own_running(context.load, own, context.now_s - seconds)


@when("the upstream reports {running:d} running and {waiting:d} waiting")
def report_load(context, running, waiting):
    report_load_late(context, running, waiting, 0.0)


@when(
    "the upstream reports {running:d} running and {waiting:d} waiting"
    " {age_s:g} seconds late"
)
def report_load_late(context, running, waiting, age_s):
    load = LoadReport(running=running, waiting=waiting, slots=8, age_s=age_s)
    record_external_load(context.load, load, context.own, context.now_s)


@then("other holders run {count:d} requests on the upstream")
def check_others(context, count):
    others = read_external_running(context.load, context.now_s)
    assert others == count, others
