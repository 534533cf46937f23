from behave import given, then, when

from jujubenotch.admission import (
    Grant,
    LoadReport,
    WorkReport,
    WorkRequest,
    WorkResult,
    configure_pool,
    enqueue,
    grant_ready,
    make_pool,
    record_load,
    refuse_unservable,
    release_grant,
    restore_grant,
)
from jujubenotch.records import Limits, Upstream, UpstreamKind


def make_upstream(row):
    return Upstream(
        name=row["name"],
        kind=UpstreamKind.MODEL,
        data_centre="dc1",
        url="http://127.0.0.1:1",
        models=tuple(row["models"].split(",")),
        slots=int(row["slots"]),
        watts_per_slot=float(row.get("watts_per_slot", 0)),
    )


def make_request(row, now_s):
    return WorkRequest(
        request_id=row["id"],
        target=row.get("target", "m"),
        team=row.get("team", "team"),
        team_weight=float(row.get("weight", 1)),
        team_limit=int(row.get("team_limit", 0)),
        service_class=row.get("class", f"class{row['tier']}"),
        tier=int(row["tier"]),
        arrived_s=now_s,
        first_token_by_s=now_s + float(row.get("first_token_s", 1)),
        deadline_s=now_s + float(row.get("deadline_s", 60)),
        max_wait_s=float(row.get("max_wait_s", 30)),
        expected_tokens=int(row.get("tokens", 100)),
        prefix_key=row.get("prefix_key", ""),
        is_idempotent=row.get("idempotent", "yes") == "yes",
        excluded_upstreams=frozenset(row.get("excluded", "").split()),
        between_tokens_target_s=float(row.get("between_tokens_target_s", 0)),
    )


def set_up_pool(context, *, share=1.0, power_watts=None):
    context.now_s = 1000.0
    context.limits = Limits()
    context.share = share
    context.power_watts = power_watts
    context.upstreams = [make_upstream(row) for row in context.table]
    context.grants = {}
    context.refusals = {}
    context.pool = make_pool(name="group", coordinator="i1", now_s=context.now_s)
    configure(context)


def configure(context):
    configure_pool(
        context.pool,
        upstreams=context.upstreams,
        limits=context.limits,
        power_watts=context.power_watts,
        share=context.share,
        tiers=getattr(context, "tiers", None),
        now_s=context.now_s,
    )


def expire_and_grant(context):
    for refused in refuse_unservable(context.pool, context.now_s):
        context.refusals[refused.request_id] = refused.refusal
    for grant in grant_ready(context.pool, context.now_s):
        assert grant.request_id not in context.grants, grant
        context.grants[grant.request_id] = grant


@given("a pool with upstreams")
def make_plain_pool(context):
    set_up_pool(context)


@given("a pool with upstreams and a power cap of {watts:g} watts")
def make_capped_pool(context, watts):
    set_up_pool(context, power_watts=watts)


@given("a pool with a conservative share of {share:g} of upstreams")
def make_shared_pool(context, share):
    set_up_pool(context, share=share)


@given("the queue limit is {requests:d} requests")
def bound_queue(context, requests):
    context.limits = Limits(queue_requests=requests)
    configure(context)


@when("requests arrive")
def queue_requests(context):
    for row in context.table:
        request = make_request(row, context.now_s)
        refusal = enqueue(context.pool, request, context.now_s)
        if refusal is not None:
            context.refusals[request.request_id] = refusal


@when("the pool grants free slots")
def settle_pool(context):
    expire_and_grant(context)


@when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    context.now_s += seconds
    expire_and_grant(context)


@when('"{request_id}" is released')
def release_slot(context, request_id):
    expire_and_grant(context)
    grant = context.grants[request_id]
    report = WorkReport(result=WorkResult.COMPLETED, tokens=100)
    release_grant(context.pool, grant.grant_id, report, context.now_s)


@when('"{upstream}" reports that it is leaving')
def report_leaving(context, upstream):
    load = LoadReport(running=0, waiting=0, slots=4, is_leaving=True)
    record_load(context.pool, upstream, load, context.now_s)


@when('a holder reports a held slot on "{upstream}" for request "{request_id}"')
def report_held_slot(context, upstream, request_id):
    grant = Grant(
        grant_id=f"former/{request_id}",
        request_id=request_id,
        upstream=upstream,
        coordinator="i0",
    )
    restore_grant(
        context.pool,
        grant=grant,
        target="m",
        team="team",
        service_class="class0",
        tier=0,
        started_s=context.now_s,
        now_s=context.now_s,
    )
    context.grants[request_id] = grant


@then('"{granted}" is granted and "{waiting}" waits')
def check_one_granted(context, granted, waiting):
    expire_and_grant(context)
    assert granted in context.grants, context.grants
    assert waiting not in context.grants, context.grants
    assert waiting not in context.refusals, context.refusals


@then('"{request_id}" is granted')
def check_granted(context, request_id):
    expire_and_grant(context)
    assert request_id in context.grants, context.grants


@then('"{request_id}" is granted on "{upstream}"')
def check_granted_on(context, request_id, upstream):
    expire_and_grant(context)
    assert context.grants[request_id].upstream == upstream, context.grants


@then("{count:d} requests are granted")
def check_granted_count(context, count):
    expire_and_grant(context)
    assert len(context.grants) == count, context.grants


@then('"{request_id}" is refused with "{reason}"')
def check_refused(context, request_id, reason):
    expire_and_grant(context)
    assert request_id not in context.grants, context.grants
    refusal = context.refusals[request_id]
    assert refusal.reason == reason, refusal
    assert refusal.retry_after_s > 0, refusal


@then('"{request_id}" is not refused')
def check_not_refused(context, request_id):
    expire_and_grant(context)
    assert request_id not in context.refusals, context.refusals


@then("all grants have different ids")
def check_grant_ids(context):
    ids = [grant.grant_id for grant in context.grants.values()]
    assert len(set(ids)) == len(ids), ids
