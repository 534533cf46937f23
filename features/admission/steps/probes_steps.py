from behave import given, then, when
from pool_steps import expire_and_grant
from reserve_steps import enqueue_request

from jujubenotch.admission import (
    LoadReport,
    WorkReport,
    WorkResult,
    record_load,
    release_grant,
    withdraw,
)


@given('"{upstream}" was ejected')
def eject(context, upstream):
    for number in range(8):
        enqueue_request(context, f"failing{number}", 0)
    expire_and_grant(context)
    for held in list(context.pool.held.values()):
        is_failed = held.grant.upstream == upstream
        result = WorkResult.SILENT if is_failed else WorkResult.CANCELLED
        report = WorkReport(result=result)
        release_grant(context.pool, held.grant.grant_id, report, context.now_s)
    for request_id in list(context.pool.queued):
        withdraw(context.pool, request_id, context.now_s)
    assert list(context.pool.ejected) == [upstream], context.pool.ejected


@when('"{upstream}" reports {running:d} running requests')
def report_running(context, upstream, running):
    load = LoadReport(running=running, waiting=0, slots=4)
    context.now_s += 1
    record_load(context.pool, upstream, load, context.now_s)


@then("every upstream runs {count:d} requests")
def check_running(context, count):
    running = {usage.name: usage.running for usage in context.pool.upstreams.values()}
    assert set(running.values()) == {count}, running
