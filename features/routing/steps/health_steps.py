from behave import then, when

from jujubenotch.routing import (
    Health,
    accept_running_probe,
    find_next_change_s,
    is_ejected,
    may_probe,
    record_result,
    record_standstill,
    start_probe,
)
from jujubenotch.work import WorkResult

STARTED_S = 999.0


def get_health(context):
    if not hasattr(context, "health"):
        context.health = Health()
        context.now_s = 1000.0
    return context.health


def end_probe(context, result):
    health = get_health(context)
    assert may_probe(health, context.now_s)
    start_probe(health, context.now_s)
    started_s = context.now_s
    context.now_s += 0.1
    record_result(
        health,
        WorkResult(result),
        started_s=started_s,
        now_s=context.now_s,
        is_probe=True,
    )


@when('requests end as "{results}"')
def end_requests(context, results):
    health = get_health(context)
    for result in results.split():
        record_result(
            health, WorkResult(result), started_s=STARTED_S, now_s=context.now_s
        )


@when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    context.now_s += seconds
    accept_running_probe(context.health, context.now_s)


@when("a request shows that the process stands still")
def show_standstill(context):
    record_standstill(
        get_health(context), started_s=STARTED_S, now_s=context.now_s, is_probe=False
    )


@when("the probe shows that the process stands still")
def show_standstill_by_probe(context):
    health = context.health
    record_standstill(
        health,
        started_s=health.probe_started_s,
        now_s=context.now_s,
        is_probe=True,
    )


@when("a probe starts")
def begin_probe(context):
    start_probe(context.health, context.now_s)


@when('a probe ends as "{result}"')
def run_probe(context, result):
    end_probe(context, result)


@then("the upstream is ejected")
def check_ejected(context):
    assert is_ejected(context.health, context.now_s), context.health
    assert find_next_change_s(context.health) is not None


@then("the upstream is not ejected")
def check_not_ejected(context):
    assert not is_ejected(context.health, context.now_s), context.health
    assert find_next_change_s(context.health) is None


@then("a probe may be sent")
def check_probe(context):
    assert may_probe(context.health, context.now_s), context.health


@then("no probe may be sent")
def check_no_probe(context):
    assert not may_probe(context.health, context.now_s), context.health


@then('failed probes follow after "{delays}" seconds')
def check_backoff(context, delays):
    for delay in map(float, delays.split()):
        waits_s = find_next_change_s(context.health) - context.now_s
        assert abs(waits_s - delay) < 1e-6, (waits_s, delay)
        context.now_s += delay
        end_probe(context, "error")
