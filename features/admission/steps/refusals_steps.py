from behave import given, then, when
from pool_steps import expire_and_grant, make_request
from queues_steps import release_held_grant
from reserve_steps import enqueue_request

from jujubenotch.admission import enqueue, summarise

IDLE_S = 1000.0


@given("requests of every tier have held their slots for {hold_s:g} seconds each")
def warm_up(context, hold_s):
    for number in range(10):
        for tier in range(4):
            enqueue_request(context, f"warm{number}/{tier}", tier)
            expire_and_grant(context)
            context.now_s += hold_s
            (held,) = context.pool.held.values()
            release_held_grant(context, held.grant)
    context.now_s += IDLE_S
    context.grants.clear()


@when("{count:d} requests of tier {tier:d} wait")
def queue_behind_running(context, count, tier):
    for number in range(count + 2):
        enqueue_request(context, f"waiting{number}", tier)
    expire_and_grant(context)


@then('"{request_id}" is told to retry after {least:g} to {most:g} seconds')
def check_retry_after(context, request_id, least, most):
    retry_after_s = context.refusals[request_id].retry_after_s
    assert least <= retry_after_s <= most, retry_after_s


@then('"{first}" and "{second}" are told to retry after different times')
def check_jitter(context, first, second):
    refusals = context.refusals
    assert refusals[first].retry_after_s != refusals[second].retry_after_s, refusals


@then('"{request_id}" is told to retry after the same time again')
def check_determinism(context, request_id):
    row = {"id": request_id, "tier": 0, "deadline_s": 5}
    request = make_request(row, context.now_s)
    again = enqueue(context.pool, request, context.now_s)
    assert again == context.refusals[request_id], again


def read_wait_s(context, tier):
    return summarise(context.pool, context.now_s).wait_s[tier]


@then("the estimated wait of tier {tier:d} is {wait_s:g} seconds")
def check_wait(context, tier, wait_s):
    assert read_wait_s(context, tier) == wait_s


@then("the estimated wait of tier {tier:d} is {least:g} to {most:g} seconds")
def check_wait_range(context, tier, least, most):
    assert least <= read_wait_s(context, tier) <= most, read_wait_s(context, tier)


@then("the estimated wait of tier {tier:d} is more than that of tier {upper:d}")
def check_wait_order(context, tier, upper):
    assert read_wait_s(context, tier) > read_wait_s(context, upper)


@when("requests run in all slots")
def fill_slots(context):
    for number in range(context.pool.targets["m"].slots):
        enqueue_request(context, f"running{number}", 0)
    expire_and_grant(context)


@when("{wait_s:g} seconds later all slots become free")
def free_slots(context, wait_s):
    expire_and_grant(context)
    context.now_s += wait_s
    for held in list(context.pool.held.values()):
        release_held_grant(context, held.grant)
    expire_and_grant(context)
