from behave import given, then, when
from pool_steps import expire_and_grant
from reserve_steps import enqueue_request

from jujubenotch.admission import WorkReport, WorkResult, release_grant


def end_with_latency(context, held, first_token_s):
    report = WorkReport(
        result=WorkResult.COMPLETED, tokens=10, first_token_s=first_token_s
    )
    release_grant(context.pool, held.grant.grant_id, report, context.now_s)


@given(
    '"{slow}" takes {slow_s:g} seconds to the first token'
    ' and "{fast}" takes {fast_s:g} seconds'
)
def learn_latencies(context, slow, slow_s, fast, fast_s):
    latencies_s = {slow: slow_s, fast: fast_s}
    for round_number in range(4):
        for number in range(16):
            enqueue_request(context, f"learn{round_number}/{number}", 0)
        expire_and_grant(context)
        for held in list(context.pool.held.values()):
            end_with_latency(context, held, latencies_s[held.grant.upstream])


@when("{count:d} requests with the same prefix run one by one")
def run_prefixed(context, count):
    context.ran_on = set()
    for number in range(count):
        enqueue_request(context, f"prefixed{number}", 0, prefix_key="p")
        expire_and_grant(context)
        (held,) = context.pool.held.values()
        context.ran_on.add(held.grant.upstream)
        end_with_latency(context, held, 0.1)


@then("one upstream ran all of them")
def check_one_upstream(context):
    assert len(context.ran_on) == 1, context.ran_on


@then('"{upstream}" runs all of them')
def check_all_on(context, upstream):
    running = {usage.name: usage.running for usage in context.pool.upstreams.values()}
    assert running[upstream] == sum(running.values()), running
