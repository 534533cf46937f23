import asyncio

from behave import given, then, when
from hypothesis import given as given_drawn
from hypothesis import settings
from hypothesis import strategies as st

import features.claims.quoted  # noqa: F401
from features.claims.faulty_platform import FaultyPlatform
from features.claims.virtual_loop import VirtualLoop
from jujubenotch.claims import (
    ClaimFinished,
    ClaimHeld,
    ClaimRequest,
    ClaimState,
    ClaimTaken,
    KeyReused,
    RecordedAnswer,
    claim,
    close,
    digest_request,
    digest_row_key,
    finish,
    look_up,
    make_claim_store,
    sweep_hour,
)
from jujubenotch.claims.codec import decode_row, encode_row
from jujubenotch.claims.model import ClaimRow
from jujubenotch.invariants import read_violations
from jujubenotch.outcomes import FailureReason, Outcome, Refusal, RefusalReason
from jujubenotch.tables import Write

DEADLINE_S = 60.0
DAY_S = 86_400


def make_request(context, key, team="keepers", body="1 cow"):
    return ClaimRequest(
        team=team,
        idempotency_key=key,
        target="returns",
        fingerprint=digest_request("POST", "/file", body.encode()),
        deadline_s=context.loop.time() + DEADLINE_S,
    )


def run(context, coroutine):
    context.started_s = context.loop.time()
    return context.loop.run_until_complete(coroutine)


def run_claim(context, name, request):
    context.results[name] = run(context, claim(context.claim_stores[name], request))


@given('instances "a" and "b" that share one platform')
def make_instances(context):
    context.loop = VirtualLoop()
    context.add_cleanup(stop_loop, context.loop)
    context.platform = FaultyPlatform()
    context.wall_clock_offset_s = 0.0
    context.results = {}
    context.claim_stores = {
        name: make_claim_store(
            platform=context.platform,
            instance=name,
            read_unix_s=lambda: context.loop.time() + context.wall_clock_offset_s,
        )
        for name in ("a", "b")
    }


def stop_loop(loop):
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
    assert "claim-not-taken-over" not in read_violations()


@given('the platform answers the next writes with "{faults:Quoted}"')
def script_faults(context, faults):
    context.platform.script[:] = faults.split(", ")


@given("the platform is down from {start_s:g} s to {end_s:g} s from now")
def script_outage(context, start_s, end_s):
    now_s = context.loop.time()
    # An outage that starts later than now is timed from the first transaction,
    # which starts after writes were collected for 3 ms and takes 5 ms.
    offset_s = 0.003 if start_s else 0.0
    context.platform.outages.append((now_s + offset_s + start_s, now_s + end_s))


@given('the row of key "{key:Quoted}" can\'t be decoded')
def write_unreadable_row(context, key):
    row_key = digest_row_key("keepers", key, "returns")
    write = Write(table="claims", key=row_key, value=b"\xff", expected_version=0)
    run(context, context.platform.transact([write]))


@when('"{name:Quoted}" claims key "{key:Quoted}"')
def claim_key(context, name, key):
    run_claim(context, name, make_request(context, key))


@when('"{name:Quoted}" claims key "{key:Quoted}" with the body "{body:Quoted}"')
def claim_with_body(context, name, key, body):
    run_claim(context, name, make_request(context, key, body=body))


@when('"{name:Quoted}" claims key "{key:Quoted}" for the team "{team:Quoted}"')
def claim_for_team(context, name, key, team):
    run_claim(context, name, make_request(context, key, team=team))


@when('{count:d} attempts of "a" and "b" claim key "{key:Quoted}" at the same time')
def claim_together(context, count, key):
    async def claim_all():
        request = make_request(context, key)
        names = ["a", "b"] * (count // 2)
        return await asyncio.gather(
            *(claim(context.claim_stores[name], request) for name in names)
        )

    context.many_results = run(context, claim_all())


@when('"{name:Quoted}" claims {count:d} keys at the same time')
def claim_many(context, name, count):
    async def claim_all():
        requests = [make_request(context, f"key-{index}") for index in range(count)]
        return await asyncio.gather(
            *(claim(context.claim_stores[name], request) for request in requests)
        )

    context.platform.transactions = 0
    context.many_results = run(context, claim_all())


@when('"{name:Quoted}" starts to claim key "{key:Quoted}" and is cancelled')
def claim_and_cancel(context, name, key):
    async def start_and_cancel():
        request = make_request(context, key)
        task = asyncio.create_task(claim(context.claim_stores[name], request))
        await asyncio.sleep(0.005)
        task.cancel()
        await asyncio.wait([task])

    run(context, start_and_cancel())


def finish_as(context, name, outcome, body):
    async def finish_one():
        answer = RecordedAnswer(outcome=Outcome(outcome), status=200, body=body)
        finish(context.claim_stores[name], context.results[name].claim, answer)
        await asyncio.sleep(0.1)

    run(context, finish_one())


@when(
    '"{name:Quoted}" finishes the request with outcome "{outcome:Quoted}" and answer '
    '"{body:Quoted}"'
)
def finish_with_answer(context, name, outcome, body):
    finish_as(context, name, outcome, body.encode())


@when(
    '"{name:Quoted}" finishes the request with outcome "{outcome:Quoted}" and an answer '
    "of {size:d} bytes"
)
def finish_with_size(context, name, outcome, size):
    finish_as(context, name, outcome, b"x" * size)


@when('"{name:Quoted}" closes its claims')
def close_claims(context, name):
    run(context, close(context.claim_stores[name]))


@when("{seconds:g} s pass")
def wait(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('"{name:Quoted}" looks up key "{key:Quoted}"')
def look_up_key(context, name, key):
    request = make_request(context, key)
    context.results[name] = run(context, look_up(context.claim_stores[name], request))


@when(
    '"b" looks up key "{key:Quoted}" and "a" finishes the request {seconds:g} s later'
)
def look_up_meanwhile(context, key, seconds):
    async def look_up_and_finish():
        request = make_request(context, key)
        task = asyncio.create_task(look_up(context.claim_stores["b"], request))
        await asyncio.sleep(seconds)
        answer = RecordedAnswer(outcome=Outcome.COMPLETED, status=200, body=b"1 cow")
        finish(context.claim_stores["a"], context.results["a"].claim, answer)
        return await task

    context.results["b"] = run(context, look_up_and_finish())


@when('after a first sweep and {days:d} days "{name:Quoted}" claims key "{key:Quoted}"')
def claim_later(context, days, name, key):
    run(context, sweep_hour(context.claim_stores[name], context.loop.time()))
    context.wall_clock_offset_s = days * DAY_S
    claim_key(context, name, key)


@when("both instances sweep until {days:d} days have passed")
def sweep(context, days):
    async def sweep_all():
        now_unix_s = context.loop.time() + days * DAY_S
        for _ in range(days * 24 + 2):
            await asyncio.gather(
                *(
                    sweep_hour(claim_store, now_unix_s)
                    for claim_store in context.claim_stores.values()
                )
            )

    run(context, sweep_all())


@then('"{name:Quoted}" holds the claim')
def check_taken(context, name):
    assert isinstance(context.results[name], ClaimTaken), context.results[name]


@then("exactly {count:d} attempt holds the claim")
def check_taken_count(context, count):
    taken = [
        result for result in context.many_results if isinstance(result, ClaimTaken)
    ]
    assert len(taken) == count, taken


@then(
    "{count:d} attempts hold their claims after at most {transactions:d} transactions"
)
def check_transactions(context, count, transactions):
    check_taken_count(context, count)
    assert context.platform.transactions <= transactions, context.platform.transactions


@then('"{name:Quoted}" is told that the key is claimed')
def check_held(context, name):
    assert isinstance(context.results[name], ClaimHeld), context.results[name]


@then('"{name:Quoted}" is told that the key can be claimed')
def check_free(context, name):
    assert context.results[name] is None, context.results[name]


@then('"{name:Quoted}" is told that the key was used for a different request')
def check_reused(context, name):
    assert isinstance(context.results[name], KeyReused), context.results[name]


@then('"{name:Quoted}" is refused for reason "{reason:Quoted}"')
def check_refused(context, name, reason):
    result = context.results[name]
    assert isinstance(result, Refusal) and result.reason == reason, result


@then('"{name:Quoted}" gets outcome "{outcome:Quoted}" and answer "{body:Quoted}"')
def check_answer(context, name, outcome, body):
    result = context.results[name]
    assert isinstance(result, ClaimFinished), result
    assert result.answer.outcome == outcome, result
    assert result.answer.body == body.encode(), result


@then('"{name:Quoted}" gets outcome "{outcome:Quoted}" and an answer of {size:d} bytes')
def check_size(context, name, outcome, size):
    check_answer(context, name, outcome, "x" * size)


@then("less than {seconds:g} s has passed")
def check_elapsed_time(context, seconds):
    assert context.loop.time() - context.started_s < seconds


@then("no row is larger than {size:d} bytes")
def check_row_sizes(context, size):
    rows = context.platform.tables["claims"].values()
    assert all(len(row.value) <= size for row in rows)


@then('only the row of key "{key:Quoted}" is left')
def check_only_row_left(context, key):
    expected = [digest_row_key("keepers", key, "returns")]
    assert list(context.platform.tables["claims"]) == expected


@then("the expiry tables have {count:d} row")
def check_expiry_entries(context, count):
    tables = context.platform.tables
    entries = [
        row
        for name in tables
        if name.startswith("claims-expiry-")
        for row in tables[name]
    ]
    assert len(entries) == count, entries


ANSWERS = st.builds(
    RecordedAnswer,
    outcome=st.sampled_from(Outcome),
    status=st.integers(100, 599),
    reason=st.one_of(
        st.none(), st.sampled_from(FailureReason), st.sampled_from(RefusalReason)
    ),
    headers=st.lists(st.tuples(st.text(), st.text())).map(tuple),
    body=st.binary(),
    is_streamed=st.booleans(),
)
ROWS = st.builds(
    ClaimRow,
    state=st.sampled_from(ClaimState),
    attempt_id=st.text(),
    instance=st.text(),
    fingerprint=st.text(),
    expires_hour=st.integers(0, 10**6),
    answer=st.one_of(st.none(), ANSWERS),
    object_name=st.text(),
)


@then("random rows are equal after encoding and decoding")
def check_codec(context):
    @settings(derandomize=True, database=None, max_examples=200, deadline=None)
    @given_drawn(ROWS)
    def check_one(row):
        assert decode_row(encode_row(row)) == row

    check_one()
