from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from jujubenotch.forwarding import Freshness, measure_age_s, record_store_response

CALLS = st.lists(st.tuples(st.floats(0, 2), st.floats(0, 2), st.floats(0, 2)))


@given("the store's clock is {offset_s:g} s behind")
def make_freshness(context, offset_s):
    context.freshness = Freshness()
    context.offset_s = offset_s


@when(
    "an answer sent at {sent_s:g} s arrives at {received_s:g} s with the "
    "store's time {store_s:g} s"
)
def record_store_answer(context, sent_s, received_s, store_s):
    record_store_response(
        context.freshness, sent_s=sent_s, received_s=received_s, store_s=store_s
    )


@when(
    "an answer of the next era sent at {sent_s:g} s arrives at {received_s:g} s with "
    "the store's time {store_s:g} s"
)
def record_answer_of_next_era(context, sent_s, received_s, store_s):
    record_store_response(
        context.freshness,
        sent_s=sent_s,
        received_s=received_s,
        store_s=store_s,
        era=context.freshness.era + 1,
    )


@then("the age at {now_s:g} s is at least {age_s:g} s")
def check_at_least(context, now_s, age_s):
    assert measure_age_s(context.freshness, now_s) >= age_s - 1e-9


@then("the age at {now_s:g} s is at most {age_s:g} s")
def check_at_most(context, now_s, age_s):
    assert measure_age_s(context.freshness, now_s) <= age_s + 1e-9


@then("for random answers the age is never less than the true age")
def check_randomly(context):
    @settings(derandomize=True, database=None, max_examples=200, deadline=None)
    @given_examples(CALLS)
    def check_one(calls):
        freshness = Freshness()
        now_s = 1000.0
        for pause_s, request_delay_s, answer_delay_s in calls:
            sent_s = now_s + pause_s
            answered_s = sent_s + request_delay_s
            now_s = answered_s + answer_delay_s
            record_store_response(
                freshness,
                sent_s=sent_s,
                received_s=now_s,
                store_s=answered_s - context.offset_s,
            )
            assert measure_age_s(freshness, now_s) >= now_s - answered_s - 1e-6

    check_one()
