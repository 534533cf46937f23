from behave import given, then, when

from jujubenotch.dispatch import AttemptResult, Call, GiveUp, decide_next
from jujubenotch.dispatch.call import Progress
from jujubenotch.dispatch.decide import record_attempt, record_send
from jujubenotch.records import ServiceClass, Team


def make_call(*, is_idempotent):
    return Call(
        request_id="a-1",
        target="model",
        team=Team(name="agents"),
        service_class=ServiceClass(
            name="gate", tier=0, first_token_target_s=1.2, deadline_s=10.0
        ),
        method="POST",
        path="/v1/completions",
        headers=(),
        body=b"{}",
        arrived_s=0.0,
        is_idempotent=is_idempotent,
    )


@given("a request that is {kind}")
def give_request(context, kind):
    context.call = make_call(is_idempotent=kind == "idempotent")
    context.progress = Progress(attempts=1)
    context.has_budget = True
    context.can_resume = False
    context.now_s = 1.0


@given("no retry budget")
def give_no_budget(context):
    context.has_budget = False


@given("an earlier attempt that ended as {end}")
def give_attempt(context, end):
    record_send(context.progress)
    record_attempt(context.progress, AttemptResult(end))
    context.progress.attempts += 1


@given("a started stream")
def give_stream(context):
    context.progress.is_stream_started = True


@given("a started stream that can be resumed")
def give_resumable_stream(context):
    context.progress.is_stream_started = True
    context.can_resume = True


@given("the deadline has passed")
def pass_deadline(context):
    context.now_s = context.call.deadline_s


@when("an attempt ends as {end}")
def end_attempt(context, end):
    record_send(context.progress)
    record_attempt(context.progress, AttemptResult(end))
    context.decision = decide_next(
        context.call,
        context.progress,
        AttemptResult(end),
        can_resume=context.can_resume,
        has_budget=context.has_budget,
        now_s=context.now_s,
    )


@then("the decision is {expected}")
def check_decision(context, expected):
    decision = context.decision
    if isinstance(decision, GiveUp):
        found = f"give up as {decision.outcome} for {decision.reason}"
    else:
        found = f"retry for {decision.reason}"
    assert found == expected, found
