import asyncio
from unittest import mock

from behave import given, then, when

import features.claims.quoted  # noqa: F401
from features.claims.faulty_platform import FaultyPlatform
from features.claims.virtual_loop import VirtualLoop
from jujubenotch.admission import Grant
from jujubenotch.claims import CallClaims, close, make_claim_store
from jujubenotch.dispatch import (
    Answer,
    Call,
    Dispatcher,
    ExchangeRegistry,
    RetryBudget,
    dispatch,
)
from jujubenotch.dispatch.decide import AttemptResult
from jujubenotch.outcomes import Outcome
from jujubenotch.records import (
    Configuration,
    ServiceClass,
    Team,
    Upstream,
    UpstreamKind,
)

UPSTREAM = Upstream(
    name="returns-1",
    kind=UpstreamKind.SERVICE,
    data_centre="north",
    url="http://127.0.0.1:9",
    models=("returns",),
    slots=4,
)


def make_call(context, request_id, key, body=b"1 cow", deadline_s=60.0):
    return Call(
        request_id=request_id,
        target="returns",
        team=Team(name="keepers"),
        service_class=ServiceClass(
            name="gate", tier=0, first_token_target_s=1.0, deadline_s=deadline_s
        ),
        method="POST",
        path="/file",
        headers=(),
        body=body,
        arrived_s=context.loop.time(),
        is_idempotent=False,
        idempotency_key=key,
    )


class LimitedCapacity:
    """Grants a given number of slots and then raises an error."""

    def __init__(self, slots):
        self.slots = slots

    async def acquire(self, request):
        if not self.slots:
            raise RuntimeError("all slots were granted already")
        self.slots -= 1
        return Grant(grant_id="1", request_id=request.request_id, upstream="returns-1")

    def release(self, grant, report, now_s):
        pass


def make_dispatcher(context, name, slots, upstreams):
    return Dispatcher(
        capacity=LimitedCapacity(slots),
        connections=None,
        claims=context.call_claims[name],
        observer=mock.Mock(),
        retry_budget=RetryBudget(
            may_retry=lambda target, now_s: True,
            record_success=lambda target, now_s: None,
        ),
        read_configuration=lambda: Configuration(upstreams=upstreams),
        exchange_registry=ExchangeRegistry(idle_timeout_s=2.0),
    )


@given('the calls of instances "a" and "b" that share one platform')
def make_calls(context):
    context.loop = VirtualLoop()
    context.add_cleanup(context.loop.close)
    context.platform = FaultyPlatform()
    context.call_claims = {
        name: CallClaims(
            claim_store=make_claim_store(platform=context.platform, instance=name)
        )
        for name in ("a", "b")
    }
    context.calls_by_id = {}
    context.sent = []


@given('key "{key:Quoted}" is claimed by another call')
def claim_by_other_call(context, key):
    claim_call(context, "r0", key, "a")


@given('key "{key:Quoted}" was used for a different call')
def use_key_for_other_call(context, key):
    call = make_call(context, "r0", key, body=b"2 cows")
    context.loop.run_until_complete(context.call_claims["a"].claim(call))


@given("the platform is unavailable")
def stop_platform(context):
    context.platform.outages.append((0.0, float("inf")))


@when(
    'call "{request_id:Quoted}" with key "{key:Quoted}" is claimed at "{name:Quoted}"'
)
def claim_call(context, request_id, key, name):
    call = context.calls_by_id[request_id] = make_call(context, request_id, key)
    context.answer = context.loop.run_until_complete(
        context.call_claims[name].claim(call)
    )


@when(
    'call "{request_id:Quoted}" with key "{key:Quoted}" is looked up at "{name:Quoted}"'
)
def look_up(context, request_id, key, name):
    call = make_call(context, request_id, key)
    context.answer = context.loop.run_until_complete(
        context.call_claims[name].look_up(call)
    )


@when(
    'call "{request_id:Quoted}" ends at "{name:Quoted}" as "{outcome:Quoted}" '
    'with status {status:d} and body "{body:Quoted}"'
)
def finish(context, request_id, name, outcome, status, body):
    answer = Answer(
        outcome=Outcome(outcome),
        status=status,
        headers=(("Content-Type", "text/plain"), ("Set-Cookie", "secret")),
        body=body.encode(),
    )

    async def finish_and_close():
        context.call_claims[name].finish(context.calls_by_id[request_id], answer)
        await context.call_claims[name].close()

    context.loop.run_until_complete(finish_and_close())


@when(
    'call "{request_id:Quoted}" with key "{key:Quoted}" is dispatched at '
    '"{name:Quoted}" and its second request for a slot raises an error'
)
def dispatch_failing(context, request_id, key, name):
    async def dispatch_and_close():
        dispatcher = make_dispatcher(context, name, slots=1, upstreams={})
        call = make_call(context, request_id, key)
        try:
            await dispatch(dispatcher, call, sink=mock.Mock())
        except RuntimeError as error:
            context.error = error
        await close(context.call_claims[name].claim_store)

    context.error = None
    context.loop.run_until_complete(dispatch_and_close())


@when(
    'calls "{first:Quoted}" and "{second:Quoted}" with key "{key:Quoted}" are '
    'dispatched at "{one:Quoted}" and "{other:Quoted}" at the same time'
)
def dispatch_both(context, first, second, key, one, other):
    async def send(
        connections, protocol, upstream, call, progress, attempt, sink, *hooks
    ):
        context.sent.append(call.body)
        await asyncio.sleep(5.0)
        attempt.end = AttemptResult.COMPLETED
        attempt.answer = Answer(outcome=Outcome.COMPLETED, status=200, body=b"filed")

    async def dispatch_all():
        upstreams = {UPSTREAM.name: UPSTREAM}
        calls = [
            dispatch(
                make_dispatcher(context, name, slots=9, upstreams=upstreams),
                make_call(context, request_id, key),
                sink=mock.Mock(),
            )
            for name, request_id in ((one, first), (other, second))
        ]
        return await asyncio.gather(*calls)

    with mock.patch("jujubenotch.dispatch.slot_attempt.run_attempt", send):
        context.answers = context.loop.run_until_complete(dispatch_all())


@then("the call may be sent")
def check_taken(context):
    assert context.answer is None, context.answer


@then("the dispatcher raises the error")
def check_error(context):
    assert context.error is not None


@then(
    'the answer is "{outcome:Quoted}" with status {status:d} and body "{body:Quoted}"'
)
def check_answer(context, outcome, status, body):
    answer = context.answer
    actual = (answer.outcome, answer.status, answer.body.decode())
    assert actual == (outcome, status, body), answer


@then(
    'the answer is "{outcome:Quoted}" with status {status:d} for reason '
    '"{reason:Quoted}"'
)
def check_reason(context, outcome, status, reason):
    answer = context.answer
    actual = (answer.outcome, answer.status, answer.reason)
    assert actual == (outcome, status, reason), answer
    assert answer.retry_after_s > 0 or reason == "key-reused", answer


@then('the headers of the answer are "{names:Quoted}"')
def check_headers(context, names):
    assert ", ".join(name for name, _ in context.answer.headers) == names


@then('both answers are "{outcome:Quoted}" with body "{body:Quoted}"')
def check_both(context, outcome, body):
    actual = [(answer.outcome, answer.body.decode()) for answer in context.answers]
    assert actual == [(outcome, body)] * 2, context.answers


@then("only one of the calls was sent")
def check_sent_once(context):
    assert len(context.sent) == 1, context.sent


@given("the platform never answers {what}")
def make_platform_hang(context, what):
    if what == "a claim":
        context.platform.script.append("hang")
    else:
        context.platform.read_script.append("hang")


@when(
    'call "{request_id:Quoted}" with key "{key:Quoted}" and a deadline in '
    '{left_s:d} s is dispatched at "{name:Quoted}"'
)
def dispatch_with_deadline(context, request_id, key, left_s, name):
    async def dispatch_and_close():
        dispatcher = make_dispatcher(context, name, slots=1, upstreams={})
        call = make_call(context, request_id, key, deadline_s=float(left_s))
        context.answer = await dispatch(dispatcher, call, sink=mock.Mock())
        context.lateness_s = context.loop.time() - call.deadline_s
        await close(context.call_claims[name].claim_store)

    context.loop.run_until_complete(dispatch_and_close())


@then("the answer came at the call's deadline")
def check_answer_time(context):
    assert 0 <= context.lateness_s < 0.1, context.lateness_s
