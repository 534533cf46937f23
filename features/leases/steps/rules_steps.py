import math

from behave import given, then, when

from jujubenotch.leases import (
    ApiResult,
    Lease,
    LeaseRow,
    LeaseState,
    LeaseTerms,
    Tenure,
    choose_step,
    choose_token,
    end,
    find_call_time_s,
    may_act,
    may_release,
    record_api_result,
    record_row,
)

NOW_S = 1000.0


def make_lease(**others):
    fields = {
        "holder": "another",
        "nonce": "n",
        "address": "",
        "token": 7,
        "era": 1,
        "serial": 1,
    }
    return Lease(**{**fields, **others})


ROWS = {
    "no row": (None, 0, 0),
    "no row in a new era": (None, 0, 1),
    "a released row": (make_lease(is_released=True), 20, 1),
    "a row released in an earlier era": (make_lease(is_released=True, era=0), 20, 1),
    "a held row": (make_lease(), 20, 1),
    "a row of a later version": (None, 20, 1),
}


def make_state(age_s=60.0, **terms):
    return LeaseState(
        name="own",
        nonce="own-1",
        address="",
        terms=LeaseTerms(lease_s=3.0, **terms),
        last_act_s=NOW_S - age_s,
        jitter=0.5,
    )


@given(
    "a row of era {row_era:d} with token {token:d} at revision {revision:d}, read in "
    "era {era:d}"
)
def make_row(context, row_era, token, revision, era):
    lease = make_lease(era=row_era, token=token)
    context.row = LeaseRow(lease=lease, revision=revision, store_time_s=0.0, era=era)


@then("a token above {above:d} is chosen")
def check_token(context, above):
    assert choose_token(context.row) > above, choose_token(context.row)


@given(
    "a candidate that has run for {age:d} s and read {row} at {store_s:d} s of the "
    "store's clock"
)
def make_candidate(context, age, row, store_s):
    context.state = make_state(age)
    context.kind = row
    read_row(context, store_s)


@when("it reads the row again at {store_s:g} s of the store's clock")
def read_row(context, store_s):
    lease, revision, era = ROWS[context.kind]
    row = LeaseRow(lease=lease, revision=revision, store_time_s=store_s, era=era)
    record_row(context.state, row, NOW_S, NOW_S)


@then("its next step is {step}")
def check_step(context, step):
    found, _ = choose_step(context.state, NOW_S, is_candidate=True)
    assert found == step, found


def make_holder(age_s, **terms):
    state = make_state(**terms)
    lease = make_lease(nonce="own-1")
    row = LeaseRow(lease=lease, revision=20, store_time_s=100.0, era=1)
    record_row(state, row, NOW_S - age_s, NOW_S)
    state.tenure = Tenure(token=7, era=1, sent_s=NOW_S - age_s)
    return state


@given("a holder whose last confirmed renewal was sent {age:g} s ago")
def make_renewed_holder(context, age):
    context.state = make_holder(age)


@then("it may act: {acts}, and a call may take {limit:g} s at most")
def check_acts(context, acts, limit):
    assert may_act(context.state, NOW_S) == (acts == "yes")
    assert math.isclose(find_call_time_s(context.state, NOW_S), limit, abs_tol=1e-6)


@when("its calls to the API have failed for {length:g} s")
def fail_calls(context, length):
    record_api_result(context.state, ApiResult.NOT_DONE, NOW_S - length)
    record_api_result(context.state, ApiResult.UNKNOWN, NOW_S)


@when('a call was answered with "{result}"')
def answer_call(context, result):
    record_api_result(context.state, ApiResult(result), NOW_S)


@when("the lease is given up")
def give_up(context):
    end(context.state, "api-failing", NOW_S)


@then("it does not take the lease for {length:d} s")
def check_rest(context, length):
    state = context.state
    assert choose_step(state, NOW_S + length - 0.1, is_candidate=True)[0] != "take"
    assert choose_step(state, NOW_S + length + 0.1, is_candidate=True)[0] == "take"


@given("a holder without fencing whose last call had no response")
def make_unanswered(context):
    context.state = make_holder(0.1, is_fenced=False)
    record_api_result(context.state, ApiResult.UNKNOWN, NOW_S)


@then("it may not give up the lease before it expires")
def check_release(context):
    assert not may_release(context.state, NOW_S + 2.9)
    assert may_release(context.state, NOW_S + 3.1)
