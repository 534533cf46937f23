from behave import given, then, when
from hypothesis import given as given_drawn
from hypothesis import settings
from hypothesis import strategies as st

from jujubenotch.dispatch import RetryHistory, may_retry, record_success
from jujubenotch.dispatch.budget import BUCKET_S, WINDOW_S
from jujubenotch.records import Limits

EVENTS = st.lists(
    st.tuples(st.sampled_from(["success", "retry"]), st.floats(0, 4)), max_size=200
)


@given("a retry budget of {ratio:g} for each success and a minimum of {minimum:d}")
def make_budget(context, ratio, minimum):
    context.history = RetryHistory()
    context.limits = Limits(retry_budget_ratio=ratio, retry_budget_min=minimum)
    context.allowed = 0


@when("{count:d} successes are recorded at {now_s:g} s")
def record_successes(context, count, now_s):
    for _ in range(count):
        record_success(context.history, now_s)


@when("{count:d} retries are requested at {now_s:g} s")
def request_retries(context, count, now_s):
    for _ in range(count):
        context.allowed += may_retry(context.history, context.limits, now_s)


@then("{count:d} retries were allowed")
def check_allowed_retries(context, count):
    assert context.allowed == count, context.allowed


@then("random successes and retries never exceed the budget in any window")
def check_random_events(context):
    @settings(derandomize=True, database=None, max_examples=200, deadline=None)
    @given_drawn(EVENTS, st.integers(0, 3))
    def check_one(events, minimum):
        history = RetryHistory()
        limits = Limits(retry_budget_ratio=0.5, retry_budget_min=minimum)
        now_s, successes, retries = 50.0, [], []
        for kind, pause_s in events:
            now_s += pause_s
            if kind == "success":
                record_success(history, now_s)
                successes.append(now_s)
            elif may_retry(history, limits, now_s):
                retries.append(now_s)
                recent = sum(time_s > now_s - WINDOW_S for time_s in successes)
                # The ring drops one bucket at a time, and drops retries no earlier
                # than successes. The bound therefore holds exactly for retries
                # within a window that is shorter by one bucket.
                spent = sum(time_s > now_s - WINDOW_S + BUCKET_S for time_s in retries)
                assert spent <= minimum + 0.5 * recent

    check_one()
