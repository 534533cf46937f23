import math
import random

from behave import given, then, when

from features.scaling.site import INITIAL_COST, SERVICE, Site
from jujubenotch.daemon.forward_scaling import read_coming_room
from jujubenotch.leases import ApiResult
from jujubenotch.scaling import CapacityKind

MEAN_SLOTS = 500
BEGINS_S = 8.0


def swing(now_s):
    return MEAN_SLOTS * (1 + 0.135 * math.sin(2 * math.pi * now_s / 11))


@given("a site with seed {seed:d} whose demand swings by 27% with a period of 11 s")
def make_site(context, seed):
    context.site = Site(seed)
    context.site.demand = swing
    context.site.begins_s = BEGINS_S


@given(
    "a site with seed {seed:d} whose demand is {factor:g} times as high for "
    "{length:g} s after 60 s"
)
def make_burst(context, seed, factor, length):
    make_site(context, seed)
    context.factor = factor
    context.site.demand = lambda now_s: (
        swing(now_s) * (factor if 60 <= now_s < 60 + length else 1)
    )


@given(
    "a site with seed {seed:d} and limits of {least:d} and {most:d} upstreams in each "
    "data centre"
)
def make_limited_site(context, seed, least, most):
    context.site = Site(seed, min_upstreams=least, max_upstreams=most)
    context.site.begins_s = BEGINS_S


@given("the demand is {slots:d} slots")
def set_demand(context, slots):
    context.site.demand = lambda now_s: slots


@given("its upstreams register over {duration_s:g} s")
def register_upstreams(context, duration_s):
    context.site.register_over(duration_s)


@given("callers come at {now_s:g} s")
def set_begin(context, now_s):
    context.site.begins_s = now_s


@given("no preemptible upstreams are available anywhere until {until_s:g} s")
def make_unavailable(context, until_s):
    for place in context.site.scaling.data_centre_prices:
        key = context.site.make_key(place, CapacityKind.PREEMPTIBLE)
        context.site.unavailable_until_s[key] = until_s


@given("call number {number:d} gets no response and is {what}")
def lose_response(context, number, what):
    site = context.site
    site.executes_unanswered = what == "executed"
    site.result = lambda key, count: (
        ApiResult.UNKNOWN if len(site.calls) + 1 == number else ApiResult.DONE
    )


@given('all calls get "{result}" until {until_s:g} s')
def fail_calls(context, result, until_s):
    site = context.site
    site.executes_unanswered = False
    site.result = lambda key, count: (
        ApiResult(result) if site.now_s < until_s else ApiResult.DONE
    )


@given("a third of the calls fails in drawn ways")
def draw_call_faults(context):
    context.site.draw_faults(1 / 3)


@when("faults are drawn for {duration_s:g} s")
def play_faults(context, duration_s):
    site = context.site
    draw = random.Random(site.random.random())
    end_s = site.now_s + duration_s
    while site.now_s < end_s:
        site.play(draw.choice([2, 5, 10]))
        fault = draw.choice(
            ["reclaim", "crash", "successor", "restore", "list", "none"]
        )
        if fault == "reclaim":
            site.reclaim(draw.choice(sorted(site.scaling.data_centre_prices)))
            site.play(15)
        elif fault == "crash":
            site.crash(2)
        elif fault == "successor":
            site.replace_holder()
        elif fault == "restore":
            site.restore()
        elif fault == "list":
            site.list_age_s = 10.0
            site.play(3)
            site.list_age_s = 0.5


@when("no call fails any more")
def end_faults(context):
    context.site.result = lambda key, count: ApiResult.DONE


@given('the calls get "{results}"')
def script_calls(context, results):
    site = context.site
    site.executes_unanswered = False
    script = [ApiResult(each) for each in results.split(",")]
    site.result = lambda key, count: script.pop(0) if script else ApiResult.DONE


@when("{duration_s:g} s are played")
def play(context, duration_s):
    context.site.play(duration_s)


def mark_fault(context):
    context.fault_s = context.site.now_s
    context.orders_before = dict(context.site.desired)


@when('the preemptible upstreams of "{place}" are reclaimed')
def reclaim(context, place):
    mark_fault(context)
    context.site.reclaim(place)


@when("a third of the instances is lost")
def lose_instances(context):
    mark_fault(context)
    context.site.instances = context.site.instances * 2 // 3
    context.site.demand = lambda now_s: swing(now_s) * 2 / 3


@when("callers are cut off")
def cut_callers_off(context):
    mark_fault(context)
    context.site.demand = lambda now_s: 0.0


@when("callers of a data centre are cut off")
def cut_place_off(context):
    mark_fault(context)
    context.site.cut_place = "south"


@when('the instances of "{place}" can\'t reach the holder')
def silence_place(context, place):
    mark_fault(context)
    context.site.silent_place = place


@when("the demand falls by 60%")
def lower_demand(context):
    mark_fault(context)
    context.site.demand = lambda now_s: 0.4 * swing(now_s)


@when("a quarter of the upstreams crashes")
def crash_upstreams(context):
    mark_fault(context)
    context.site.crash(len(context.site.machines) // 4)


@when("the list gets old")
def age_list(context):
    mark_fault(context)
    context.site.list_age_s = 10.0


@when("the demand gets old")
def age_demand(context):
    mark_fault(context)
    context.site.demand_age_s = 10.0


@when("the store can't be reached")
def lose_store(context):
    mark_fault(context)
    context.site.watch.state.listing_progress.failures = 1


@when("the store is restored from a copy")
def restore_store(context):
    mark_fault(context)
    context.site.restore()


@when("the store is restored from a copy with the first orders")
def restore_old_orders(context):
    mark_fault(context)
    context.site.restore()
    context.site.watch.leases.records = dict(context.site.first_records)


@when('the platform forgets {count:d} standard upstreams in "{place}"')
def forget_order(context, count, place):
    mark_fault(context)
    key = context.site.make_key(place, CapacityKind.STANDARD)
    context.site.desired[key] -= count


@when("another instance takes the lease")
def replace_holder(context):
    mark_fault(context)
    context.site.replace_holder()


@when("the demand doubles")
def double_demand(context):
    context.site.demand = lambda now_s: 2 * swing(now_s)


@then("the room was never under the demand")
def check_room(context):
    check_room_share(context, 1.0)


@then("the room was never under {share:g} of the demand")
def check_room_share(context, share):
    short = [step for step in context.site.steps if step.room < share * step.demand]
    assert not short, short[:3]


@then("the room was never under {share:g} of the usual demand")
def check_usual_share(context, share):
    low = [step for step in context.site.steps if step.room < share * MEAN_SLOTS]
    assert not low, low[:3]


@then("the room covered the demand in the last {duration_s:g} s")
def check_last(context, duration_s):
    since_s = context.site.now_s - duration_s
    late = [step for step in context.site.steps if step.at_s >= since_s]
    short = [step for step in late if step.room < step.demand]
    assert not short, short[:3]


@then("at the end the list shows what was ordered")
def check_met(context):
    orders = context.site.watch.orders.orders
    differing = {
        key: (order.count, context.site.desired.get(key, 0))
        for key, order in orders.items()
        if order.count != context.site.desired.get(key, 0) or not order.is_settled
    }
    assert not differing, differing


@then("{slots:d} slots are coming within {within_s:g} s")
def check_coming(context, slots, within_s):
    site = context.site
    coming, ready_in_s = read_coming_room(site.watch, SERVICE, site.now_s)
    assert coming == slots and ready_in_s <= within_s, (coming, ready_in_s)


@then("the room was never under the demand from {delay_s:g} s after that on")
def check_room_later(context, delay_s):
    since_s = context.fault_s + delay_s
    short = [
        step
        for step in context.site.steps
        if step.at_s >= since_s and step.room < step.demand
    ]
    assert not short, short[:3]


@then("the cost was at most {share:g} of the initial fleet's")
def check_cost(context, share):
    costs = [step.cost for step in context.site.steps]
    measured = sum(costs) / len(costs) / INITIAL_COST
    assert measured <= share, measured


@then(
    "the cost was at most {share:g} of the initial fleet's in the last {duration_s:g} s"
)
def check_last_cost(context, share, duration_s):
    since_s = context.site.now_s - duration_s
    costs = [step.cost for step in context.site.steps if step.at_s >= since_s]
    measured = sum(costs) / len(costs) / INITIAL_COST
    assert measured <= share, measured


@then("at most {count:d} calls were sent")
def check_calls(context, count):
    assert len(context.site.calls) <= count, len(context.site.calls)


@then("no step took more than {count:d} upstreams away")
def check_steps(context, count):
    by_time = {}
    for call in context.site.calls:
        by_time.setdefault(call.at_s, []).append(max(0, call.before - call.count))
    assert max(sum(each) for each in by_time.values()) <= count, by_time


def find_before_burst(context):
    return next(step for step in context.site.steps if step.at_s >= 59)


@then("more upstreams were ordered within {delay_s:g} s of the burst")
def check_raise(context, delay_s):
    before = find_before_burst(context).orders
    during = [each for each in context.site.steps if 60 <= each.at_s <= 60 + delay_s]
    assert max(each.orders for each in during) > before, during


@then(
    "the room grew to at least {ratio:g} times that before within {delay_s:g} s of the "
    "burst"
)
def check_growth(context, ratio, delay_s):
    before = find_before_burst(context).room
    during = [each for each in context.site.steps if 60 <= each.at_s <= 60 + delay_s]
    assert max(each.room for each in during) >= ratio * before, (before, during)


@then("never more than {ratio:g} times the upstreams before the burst were ordered")
def check_bound(context, ratio):
    before = find_before_burst(context).orders
    later = [each.orders for each in context.site.steps if each.at_s >= 60]
    assert max(later) <= ratio * before, (before, max(later))


@then("the room covered the demand from {delay_s:g} s after the growth on")
def check_covered(context, delay_s):
    later = [each for each in context.site.steps if each.at_s >= 60 + delay_s]
    short = [each for each in later if each.room < each.demand]
    assert not short, short[:3]


@then("at the end the orders are within {share:d}% of those before the burst")
def check_end(context, share):
    before = next(step for step in context.site.steps if step.at_s >= 59).orders
    after = context.site.steps[-1].orders
    assert abs(after - before) <= share / 100 * before, (before, after)


@then('the order for preemptible ones in "{place}" was given up within {delay_s:g} s')
def check_given_up(context, place, delay_s):
    key = context.site.make_key(place, CapacityKind.PREEMPTIBLE)
    calls = [call for call in find_calls_since(context) if call.key == key]
    assert calls and calls[0].count == 0, calls[:2]
    assert calls[0].at_s <= context.fault_s + delay_s, calls[0]


@then('the order for standard ones in "{place}" was repeated, at most {count:d} times')
def check_repeated(context, place, count):
    key = context.site.make_key(place, CapacityKind.STANDARD)
    ordered = context.site.watch.orders.orders[key].count
    calls = [call for call in find_calls_since(context) if call.key == key]
    assert 1 <= len(calls) <= count, calls
    assert all(call.count == ordered for call in calls), (ordered, calls)


@then("the first order is still unanswered")
def check_unanswered(context):
    orders = context.site.watch.orders.orders
    assert not orders[context.site.calls[0].key].is_settled, orders


@then("no standard upstream was ordered since the fault")
def check_no_standard(context):
    calls = [
        call
        for call in find_calls_since(context)
        if call.key.kind is CapacityKind.STANDARD and call.count > call.before
    ]
    assert not calls, calls


@then('no preemptible upstream was ordered in "{place}" for {duration_s:g} s')
def check_block(context, place, duration_s):
    key = context.site.make_key(place, CapacityKind.PREEMPTIBLE)
    end_s = context.fault_s + duration_s
    calls = [
        call
        for call in context.site.calls
        if call.key == key
        and context.fault_s <= call.at_s < end_s
        and call.count > call.before
    ]
    assert not calls, calls


@then('preemptible upstreams serve in "{place}" at the end')
def check_serving(context, place):
    key = context.site.make_key(place, CapacityKind.PREEMPTIBLE)
    machines = context.site.machines.values()
    assert any(each.key == key for each in machines), context.site.desired


@then('at most {count:d} calls got "{result}"')
def check_results(context, count, result):
    calls = [call for call in context.site.calls if call.result == result]
    assert 0 < len(calls) <= count, len(calls)


@then('after each call that got "{result}" a fresh token was taken')
def check_fresh_token(context, result):
    calls = context.site.calls
    found = [number for number, call in enumerate(calls) if call.result == result]
    assert found
    for number in found[:-1] if found[-1] == len(calls) - 1 else found:
        assert calls[number + 1].token > calls[number].token, calls[number : number + 2]


@then("the call after it has a higher token")
def check_refreshes(context):
    assert context.site.refreshes


@then("nothing was scaled in since the fault")
def check_no_reduction(context):
    desired = context.site.desired
    lowered = {
        key: (before, desired[key])
        for key, before in context.orders_before.items()
        if desired[key] < before
    }
    totals = [sum(each.values()) for each in (context.orders_before, desired)]
    assert totals[1] >= totals[0], lowered


@then("no call was sent since the fault")
def check_silence(context):
    calls = find_calls_since(context)
    assert not calls, calls


@then("calls were sent since the fault")
def check_calls_since(context):
    assert find_calls_since(context)


@then("only changes were sent since the fault, at most {count:d}")
def check_changes(context, count):
    calls = find_calls_since(context)
    assert len(calls) <= count, calls
    assert all(call.count != call.before for call in calls), calls


def find_calls_since(context):
    return [call for call in context.site.calls if call.at_s >= context.fault_s]


@then(
    "at the end between {least:d} and {most:d} upstreams are ordered in each data centre"
)
def check_limits(context, least, most):
    for place in context.site.scaling.data_centre_prices:
        ordered = sum(
            count
            for key, count in context.site.desired.items()
            if key.data_centre == place and key.service == SERVICE
        )
        assert least <= ordered <= most, (place, ordered)
