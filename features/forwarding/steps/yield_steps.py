import asyncio
from unittest import mock

from behave import given, then, when

from jujubenotch.forwarding import (
    DirectCapacity,
    Item,
    ListedUpstream,
    UpstreamListing,
    apply_items,
)
from jujubenotch.outcomes import Refusal
from jujubenotch.work import LoadReport, WorkRequest

PROMPT_TOKENS = {"long": 12_000, "short": 800}


def acquire_slot(context, kind, prefix_key=""):
    request = WorkRequest(
        request_id="r",
        target="drafting",
        team="agents",
        team_weight=1.0,
        team_limit=0,
        service_class="c",
        tier=0,
        arrived_s=0.0,
        first_token_by_s=1.0,
        deadline_s=9.0,
        max_wait_s=1.0,
        expected_tokens=10,
        prompt_tokens=PROMPT_TOKENS[kind],
        prefix_key=prefix_key,
    )
    return asyncio.run(context.capacity.acquire(request))


@given(
    "{count:d} upstream with {slots:d} slots that reports {running:d} running and "
    "{waiting:d} waiting requests"
)
def make_capacity(context, count, slots, running, waiting):
    listing = UpstreamListing()
    items = tuple(
        Item(
            key=f"i-{number}",
            value=ListedUpstream(
                name=f"i-{number}",
                service="drafting",
                address="127.0.0.1:1",
                data_centre="north",
                slots=slots,
            ),
        )
        for number in range(count)
    )
    apply_items(listing, items, is_snapshot=True, follows_outage=False, now_s=0.0)
    context.capacity = DirectCapacity(
        listing=listing,
        read_clock_s=lambda: 1.0,
        read_listing_clock_s=lambda: 1.0,
        draw=lambda: 0.0,
    )
    context.upstreams = {
        kind: acquire_slot(context, kind).upstream for kind in PROMPT_TOKENS
    }
    report = LoadReport(running=running, waiting=waiting, slots=slots)
    for item in items:
        context.capacity.record_load(item.key, report, 1.0)


@given(
    "the upstream for {kind:w} prompts reports {running:d} running and {waiting:d} "
    "waiting requests"
)
def report_load(context, kind, running, waiting):
    report = LoadReport(running=running, waiting=waiting, slots=48)
    context.capacity.record_load(context.upstreams[kind], report, 1.0)


@given("the upstreams for short prompts report {one:d} and {other:d} running requests")
def report_short_loads(context, one, other):
    context.short_upstreams = set()
    for _ in range(4):
        context.short_upstreams.add(acquire_slot(context, "short").upstream)
    assert len(context.short_upstreams) == 2, context.short_upstreams
    for name, running in zip(
        sorted(context.short_upstreams), (one, other), strict=True
    ):
        report = LoadReport(running=running, waiting=0, slots=48)
        context.capacity.record_load(name, report, 1.0)


@when("a {kind:w} request is made")
def make_request(context, kind):
    with mock.patch("jujubenotch.forwarding.shedding.log_event") as log_event:
        context.result = acquire_slot(context, kind)
    context.log_lines = {
        call.args[2]: {f"{name}={value}" for name, value in call.kwargs.items()}
        for call in log_event.call_args_list
    }


@then('the request is refused as "{reason}" with a time to retry')
def check_refused(context, reason):
    assert isinstance(context.result, Refusal), context.result
    assert context.result.reason == reason and context.result.retry_after_s > 0


@then("the request is granted")
def check_granted(context):
    assert not isinstance(context.result, Refusal), context.result


@then("the request is granted on the upstream for {kind:w} prompts")
def check_granted_on(context, kind):
    assert context.result.upstream == context.upstreams[kind], context.result


@then('the line "{event}" tells "{field}"')
def check_line(context, event, field):
    assert field in context.log_lines[event], context.log_lines


@then("the request is granted on an upstream for long prompts")
def check_granted_on_long(context):
    assert context.result.upstream not in context.short_upstreams, context.result
