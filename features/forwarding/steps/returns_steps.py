import random
from collections import Counter

from behave import given, then, when

from jujubenotch.forwarding.returns import Shortage, choose_return_s, record_refused


@given("requests were refused each 0.5 s for {lasted_s:g} s")
def refuse_for(context, lasted_s):
    context.shortage = Shortage()
    context.now_s = 100.0
    record_refused(context.shortage, context.now_s)
    for _ in range(round(lasted_s / 0.5)):
        context.now_s += 0.5
        record_refused(context.shortage, context.now_s)


@when("nothing is refused for {quiet_s:g} s")
def wait(context, quiet_s):
    context.now_s += quiet_s


@when("{count:d} callers with {left_s:g} s left are refused")
def refuse_callers(context, count, left_s):
    context.returns_s = refuse_some(context, count, left_s, is_urgent=False)


@when("{count:d} callers with {left_s:g} s left are refused, half of them urgent")
def refuse_mixed(context, count, left_s):
    context.urgent_s = refuse_some(context, count // 2, left_s, is_urgent=True)
    context.returns_s = refuse_some(context, count // 2, left_s, is_urgent=False)


def refuse_some(context, count, left_s, *, is_urgent):
    draws = random.Random(5)
    record_refused(context.shortage, context.now_s)
    return [
        choose_return_s(
            context.shortage,
            is_urgent=is_urgent,
            left_s=left_s,
            draw=draws.random(),
            now_s=context.now_s,
        )
        for _ in range(count)
    ]


@then("they return between {first_s:g} s and {last_s:g} s")
def check_range(context, first_s, last_s):
    found = min(context.returns_s), max(context.returns_s)
    assert first_s - 1e-9 <= found[0] and found[1] <= last_s + 1e-9, found


@then(
    "in no tenth of the time between the first and the last do more than {share:d} of "
    "100 return"
)
def check_spread(context, share):
    first_s, last_s = min(context.returns_s), max(context.returns_s)
    width_s = (last_s - first_s) / 10
    counts = Counter(
        min(9, int((each - first_s) / width_s)) for each in context.returns_s
    )
    most = max(counts.values())
    assert most <= share / 100 * len(context.returns_s), counts


@then("the urgent ones return at least {earlier_s:g} s earlier in the mean")
def check_order(context, earlier_s):
    urgent_s = sum(context.urgent_s) / len(context.urgent_s)
    other_s = sum(context.returns_s) / len(context.returns_s)
    assert other_s - urgent_s >= earlier_s, (urgent_s, other_s)
