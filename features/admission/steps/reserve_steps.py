from behave import given, then, when
from pool_steps import expire_and_grant, make_request, set_up_pool
from queues_steps import release_held_grant

from jujubenotch.admission import enqueue


def enqueue_request(context, request_id, tier, **row):
    row = {"id": request_id, "tier": tier, "deadline_s": 10_000, **row}
    refusal = enqueue(context.pool, make_request(row, context.now_s), context.now_s)
    assert refusal is None, refusal


def find_held(context, *, lowest, highest):
    return [
        held for held in context.pool.held.values() if lowest <= held.tier <= highest
    ]


def release_older(context, *, hold_s, highest=3):
    for held in find_held(context, lowest=0, highest=highest):
        if held.started_s <= context.now_s - hold_s:
            release_held_grant(context, held.grant)


@given('a pool for tiers "{tiers}" with upstreams')
def make_pool_for_tiers(context, tiers):
    context.tiers = [int(tier) for tier in tiers.split()]
    set_up_pool(context)


@given("a pool with a power cap of {watts:g} watts and upstreams")
def make_powered_pool(context, watts):
    set_up_pool(context, power_watts=watts)


@when("{count:d} drafts arrive")
def queue_drafts(context, count):
    for number in range(count):
        enqueue_request(context, f"draft{context.now_s}/{number}", 3, max_wait_s=5000)
    expire_and_grant(context)


@when(
    "{count:d} requests of tier {tier:d} arrive at {rate:g} per second"
    " and run for {hold_s:g} seconds each"
)
def run_load(context, count, tier, rate, hold_s):
    for number in range(count):
        enqueue_request(context, f"load{number}", tier)
        expire_and_grant(context)
        context.now_s += 1 / rate
        release_older(context, hold_s=hold_s)
    for held in find_held(context, lowest=0, highest=3):
        release_held_grant(context, held.grant)


@when("{count:d} requests of tier {tier:d} are running")
def run_requests(context, count, tier):
    for number in range(count):
        enqueue_request(context, f"running{number}", tier)
    expire_and_grant(context)
    assert len(find_held(context, lowest=tier, highest=tier)) == count


@when("{seconds:g} seconds pass without arrivals")
def pass_idle_time(context, seconds):
    for held in find_held(context, lowest=0, highest=3):
        release_held_grant(context, held.grant)
    context.now_s += seconds
    expire_and_grant(context)


@when("{count:d} requests of tier 0 keep all slots busy for {seconds:d} seconds")
def keep_busy(context, count, seconds):
    keep_slots_busy(context, count, seconds, highest=3)


@when(
    "{count:d} requests of tier 0 keep all slots busy for {seconds:d} seconds"
    " while drafts keep running"
)
def keep_busy_beside_drafts(context, count, seconds):
    keep_slots_busy(context, count, seconds, highest=0)


def keep_slots_busy(context, count, seconds, *, highest):
    context.began_s = context.now_s
    context.granted_s = {}
    for number in range(count):
        enqueue_request(context, f"busy{number}", 0)
    for _ in range(4 * seconds):
        expire_and_grant(context)
        for request_id in context.grants:
            context.granted_s.setdefault(request_id, context.now_s - context.began_s)
        context.now_s += 0.25
        release_older(context, hold_s=1, highest=highest)


@then('"{request_id}" was granted within {seconds:g} seconds')
def check_granted_within(context, request_id, seconds):
    assert context.granted_s[request_id] <= seconds, context.granted_s[request_id]


@then("exactly {count:d} drafts run")
def check_drafts(context, count):
    expire_and_grant(context)
    drafts = find_held(context, lowest=3, highest=3)
    assert len(drafts) == count, len(drafts)


@then("{count:d} slots are free")
def check_free_slots(context, count):
    free = sum(usage.free for usage in context.pool.upstreams.values())
    assert free == count, free


@then("every upstream has a free slot")
def check_every_upstream_free(context):
    free = {usage.name: usage.free for usage in context.pool.upstreams.values()}
    assert min(free.values()) >= 1, free
