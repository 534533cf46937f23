from behave import then, when
from pool_steps import expire_and_grant
from reserve_steps import enqueue_request, find_held

from jujubenotch.admission import WorkReport, WorkResult, release_grant, withdraw

RUN_S = 2.0


def report_between_tokens(context, held, between_tokens_s):
    report = WorkReport(
        result=WorkResult.COMPLETED, tokens=100, between_tokens_s=between_tokens_s
    )
    release_grant(context.pool, held.grant.grant_id, report, context.now_s)


@when(
    "{count:d} requests with a target of {target_s:g} seconds"
    " report {between_s:g} seconds between tokens"
)
def run_in_turn(context, count, target_s, between_s):
    for number in range(count):
        enqueue_request(
            context,
            f"{context.now_s}/{number}",
            0,
            between_tokens_target_s=target_s,
        )
        expire_and_grant(context)
        context.now_s += RUN_S
        (held,) = context.pool.held.values()
        report_between_tokens(context, held, between_s)


@when(
    "{count:d} requests that run together for {seconds:g} seconds"
    " report {between_s:g} seconds between tokens"
)
def run_together(context, count, seconds, between_s):
    for number in range(count):
        enqueue_request(context, f"together{number}", 0, between_tokens_target_s=0.03)
    expire_and_grant(context)
    context.now_s += seconds
    for held in find_held(context, lowest=0, highest=0):
        report_between_tokens(context, held, between_s)


def count_at_once(context):
    for number in range(40):
        enqueue_request(context, f"at-once{context.now_s}/{number}", 0)
    expire_and_grant(context)
    count = len(context.pool.held)
    for request_id in list(context.pool.queued):
        withdraw(context.pool, request_id, context.now_s)
    for held in find_held(context, lowest=0, highest=0):
        release_grant(
            context.pool,
            held.grant.grant_id,
            WorkReport(result=WorkResult.CANCELLED),
            context.now_s,
        )
    return count


@then("{count:d} requests can run at once")
def check_at_once(context, count):
    found = count_at_once(context)
    assert found == count, found


@then("fewer than {count:d} requests can run at once")
def check_fewer_at_once(context, count):
    found = count_at_once(context)
    assert found < count, found
