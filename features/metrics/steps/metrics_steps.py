from behave import given, then, when

from jujubenotch import metrics
from jujubenotch.invariants import assert_invariant, read_violations
from jujubenotch.outcomes import (
    ChangeRefusalReason,
    FailureReason,
    Outcome,
    RefusalReason,
    RetryReason,
)


def set_each_gauge(state):
    metrics.set_queued(state, 2, 7)
    metrics.set_slots_in_use(state, "engine-1", 5)
    metrics.set_peers_connected(state, 6)
    metrics.set_revision(state, 41)
    metrics.set_requests_in_progress(state, 9)
    metrics.set_lease(state, 17, 0.5)


def violate_invariant(state):
    if "metrics-feature" not in read_violations():
        assert_invariant(False, "metrics-feature")


EVENTS = {
    "an outcome": lambda state: metrics.count_outcome(state, Outcome.COMPLETED, "gate"),
    "a refusal": lambda state: metrics.count_refusal(
        state, RefusalReason.QUEUE_FULL, 3
    ),
    "an early refusal": lambda state: metrics.count_refusal(
        state, RefusalReason.AUTHENTICATION
    ),
    "a retry": lambda state: metrics.count_retry(state, RetryReason.SILENT),
    "a failure": lambda state: metrics.count_failure(
        state, FailureReason.STREAM_TRUNCATED
    ),
    "a rejected change": lambda state: metrics.count_configuration_rejection(
        state, ChangeRefusalReason.CONFLICT
    ),
    "a wrong key": lambda state: metrics.count_authentication_failure(
        state, "operators"
    ),
    "a violation": violate_invariant,
    "a first token": lambda state: metrics.observe_first_token(state, "gate", 1.1),
    "a pace": lambda state: metrics.observe_between_tokens(state, "gate", 0.03),
    "a lease that ended": lambda state: metrics.count_lease_end(state, "lost"),
    "a call to the API": lambda state: metrics.count_cloud_call(
        state, "autoscaling", "done"
    ),
    "a gauge of each": set_each_gauge,
}


@given("the metrics of one instance")
def make_one(context):
    context.metrics = metrics.make_metrics()


@given("the metrics of another instance")
def make_another(context):
    context.other_metrics = metrics.make_metrics()


@when("the metrics record {what}")
def record_event(context, what):
    EVENTS[what](context.metrics)


@when("the metrics are rendered")
def render(context):
    context.body, context.content_type = metrics.render(context.metrics)


@when('the metrics are rendered for the Accept header "{accept}"')
def render_for(context, accept):
    context.body, context.content_type = metrics.render(context.metrics, accept)


@then('the rendered text contains the line "{line}"')
def check_line(context, line):
    assert line in context.body.decode().splitlines(), context.body.decode()


@then("the counter of each retry reason and failure reason is 0")
def check_reasons(context):
    lines = set(context.body.decode().splitlines())
    for name, reasons in (("retries", RetryReason), ("failures", FailureReason)):
        expected = {
            f'jujubenotch_{name}_total{{reason="{reason}"}} 0' for reason in reasons
        }
        assert expected <= lines, expected - lines


@then("the outcomes of the other instance are still 0")
def check_other(context):
    labels = {"outcome": "completed", "service_class": "gate"}
    assert metrics.read_value(context.metrics.outcomes, **labels) == 1
    assert metrics.read_value(context.other_metrics.outcomes, **labels) == 0


@then('the content type is "{expected}"')
def check_content_type(context, expected):
    assert context.content_type == expected, context.content_type
