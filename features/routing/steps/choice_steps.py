from collections import Counter
from dataclasses import dataclass, field

from behave import given, then

from jujubenotch.routing import (
    ExternalLoad,
    ObservedLatency,
    PrefixAffinity,
    choose_upstream,
    record_external_load,
    record_first_token,
    record_latency,
    record_prefix,
)
from jujubenotch.work import LoadReport, WorkReport, WorkRequest, WorkResult

NOW_S = 1000.0


@dataclass(kw_only=True)
class FakeUpstream:
    name: str
    capacity: int
    running: int
    latency: ObservedLatency = field(default_factory=ObservedLatency)
    external_load: ExternalLoad = field(default_factory=ExternalLoad)


def make_upstream(row, group_latency):
    upstream = FakeUpstream(
        name=row["name"],
        capacity=int(row["capacity"]),
        running=int(row["running"]),
    )
    report = WorkReport(
        result=WorkResult.COMPLETED, first_token_s=float(row["latency_s"])
    )
    record_latency(upstream.latency, report, NOW_S)
    record_latency(group_latency, report, NOW_S)
    others = int(row.get("others", 0))
    load = LoadReport(running=upstream.running + others, waiting=0, slots=8)
    record_external_load(upstream.external_load, load, upstream.running, NOW_S)
    return upstream


def get_affinity(context):
    if not hasattr(context, "affinity"):
        context.affinity = PrefixAffinity()
    return context.affinity


def choose(context, *, request_id="r1", prefix_key="", excluded=()):
    request = WorkRequest(
        request_id=request_id,
        target="m",
        team="team",
        team_weight=1.0,
        team_limit=0,
        service_class="class",
        tier=0,
        arrived_s=NOW_S,
        first_token_by_s=NOW_S + 1,
        deadline_s=NOW_S + 60,
        max_wait_s=30,
        expected_tokens=100,
        prefix_key=prefix_key,
        excluded_upstreams=frozenset(excluded),
    )
    return choose_upstream(
        context.candidates,
        request,
        affinity=get_affinity(context),
        group_latency=context.group_latency,
        now_s=NOW_S,
    ).name


@given("candidates")
def list_candidates(context):
    context.group_latency = ObservedLatency()
    context.candidates = [
        make_upstream(row, context.group_latency) for row in context.table
    ]


@given('the prefix "{prefix}" was last sent to "{upstream}"')
def set_prefix(context, prefix, upstream):
    record_prefix(get_affinity(context), prefix, upstream)


@given('{count:d} prefixes were sent to "{upstream}"')
def set_prefixes(context, count, upstream):
    for number in range(count):
        record_prefix(get_affinity(context), f"p{number}", upstream)


@given(
    "first tokens take {hit_s:g} seconds with a prefix hit and {miss_s:g} seconds without one"
)
def learn_gain(context, hit_s, miss_s):
    for _ in range(10):
        record_first_token(context.affinity, hit_s, is_hit=True)
        record_first_token(context.affinity, miss_s, is_hit=False)


@then('a request goes to "{upstream}"')
def check_choice(context, upstream):
    assert choose(context) == upstream, choose(context)


@then('a request that failed on "{excluded}" goes to "{upstream}"')
def check_excluded(context, excluded, upstream):
    assert choose(context, excluded=excluded.split()) == upstream


@then('a request with prefix "{prefix}" goes to "{upstream}"')
def check_prefix(context, prefix, upstream):
    assert choose(context, prefix_key=prefix) == upstream


@then("{count:d} requests go to each candidate at least {least:d} times")
def check_spread(context, count, least):
    chosen = Counter(choose(context, request_id=f"r{n}") for n in range(count))
    assert min(chosen.values()) >= least and len(chosen) == 2, chosen


@then("{count:d} prefixes are kept")
def check_kept(context, count):
    assert len(context.affinity.upstreams) == count, len(context.affinity.upstreams)
