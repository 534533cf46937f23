from behave import given, then, when
from pool_steps import expire_and_grant, make_request

from jujubenotch.admission import (
    WorkReport,
    WorkResult,
    enqueue,
    release_grant,
    withdraw,
)
from jujubenotch.admission.shares import estimate_tokens


def find_granted_on(context, upstream):
    return [
        held.grant
        for held in context.pool.held.values()
        if held.grant.upstream == upstream
    ]


def release_held_grant(context, grant, tokens=100):
    report = WorkReport(result=WorkResult.COMPLETED, tokens=tokens)
    release_grant(context.pool, grant.grant_id, report, context.now_s)


@given('the answers of team "{team}" have {tokens:d} tokens')
def set_true_tokens(context, team, tokens):
    context.true_tokens = {team: tokens}


@when("{count:d} requests of {teams:d} teams arrive")
def queue_many(context, count, teams):
    for number in range(count):
        row = {"id": str(number), "tier": 1, "team": f"team{number % teams}"}
        enqueue(context.pool, make_request(row, context.now_s), context.now_s)


@when("all requests except the first are withdrawn")
def withdraw_all_but_first(context):
    for request_id in list(context.pool.queued)[1:]:
        withdraw(context.pool, request_id, context.now_s)


@when('"{request_id}" is withdrawn')
def withdraw_request(context, request_id):
    withdraw(context.pool, request_id, context.now_s)


@when('the request on "{upstream}" is released')
def release_on(context, upstream):
    expire_and_grant(context)
    release_held_grant(context, find_granted_on(context, upstream)[0])


@then('the request on "{upstream}" is one of "{request_ids}"')
def check_granted_one_of(context, upstream, request_ids):
    expire_and_grant(context)
    grant = find_granted_on(context, upstream)[0]
    assert grant.request_id in request_ids.split(), grant


@then('"{request_id}" is neither granted nor refused')
def check_not_granted_nor_refused(context, request_id):
    expire_and_grant(context)
    assert request_id not in context.grants, context.grants
    assert request_id not in context.refusals, context.refusals


@then("the queues hold at most {entries:d} entries each")
def check_entries(context, entries):
    pool = context.pool
    containers = [pool.deadlines, *pool.newest]
    containers += [class_queue.requests for class_queue in pool.classes.values()]
    sizes = [len(container._entries) for container in containers]
    sizes += [
        len(target_queue.entries)
        for target_queues in pool.target_queues
        for target_queue in target_queues.values()
    ]
    assert max(sizes) <= entries, sizes


@then("{count:d} requests wait")
def check_waiting(context, count):
    assert sum(context.pool.queued_by_tier) == count, context.pool.queued_by_tier
    assert len(context.pool.queued) == count, context.pool.queued


@then('the requests run one by one in the order "{request_ids}"')
def check_order(context, request_ids):
    true_tokens = getattr(context, "true_tokens", {})
    order = []
    expire_and_grant(context)
    while context.pool.held:
        (held,) = context.pool.held.values()
        order.append(held.grant.request_id)
        release_held_grant(context, held.grant, true_tokens.get(held.team.name, 100))
        expire_and_grant(context)
    assert order == request_ids.split(), order


@then('a request of team "{team}" is expected to have {tokens:d} tokens')
def check_expected_tokens(context, team, tokens):
    request = make_request({"id": "next", "tier": 1, "team": team}, context.now_s)
    assert estimate_tokens(context.pool, request) == tokens
