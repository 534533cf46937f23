from behave import then, when
from hypothesis import given as given_drawn
from hypothesis import settings

from features.claims.interleaving import KEYS, PLANS, play
from jujubenotch.claims import ClaimFinished, ClaimTaken
from jujubenotch.invariants import read_violations
from jujubenotch.outcomes import Outcome


def find_double_sends(run):
    return {key: numbers for key, numbers in run.sent.items() if len(numbers) > 1}


def find_unexpected_answers(run):
    for key, answer in run.recorded_answers:
        bodies = [f"answer {number}".encode() for number in run.sent.get(key, [])]
        if answer.body not in bodies:
            yield key, answer


def find_false_not_run(run):
    for numbers in run.sent.values():
        yield from (
            number
            for number in numbers
            if run.told_outcomes.get(number) is Outcome.NOT_RUN
        )
    yield from (
        entry for entry in run.recorded_answers if entry[1].outcome is Outcome.NOT_RUN
    )


def find_blocked_keys(run):
    for key in KEYS:
        is_free = key not in run.crashed and not run.sent.get(key)
        if is_free and not isinstance(run.last_results[key], ClaimTaken):
            yield key, run.last_results[key]


def find_lost_outcomes(run):
    for key in KEYS:
        is_recorded = key not in run.crashed and run.sent.get(key)
        if is_recorded and not isinstance(run.last_results[key], ClaimFinished):
            yield key, run.last_results[key]


CHECKS = {
    "double sends": find_double_sends,
    "unexpected answers": find_unexpected_answers,
    "false reports of not run": find_false_not_run,
    "blocked keys": find_blocked_keys,
    "lost outcomes": find_lost_outcomes,
}


@when("{count:d} random runs of up to 10 requests with 2 keys at 3 instances are made")
def make_runs(context, count):
    context.found = {name: [] for name in CHECKS}
    context.sent = 0

    @settings(derandomize=True, database=None, max_examples=count, deadline=None)
    @given_drawn(PLANS)
    def make_one(plan):
        run = play(plan)
        context.sent += len(run.sent)
        for name, find in CHECKS.items():
            found = list(find(run))
            context.found[name] += [(entry, plan) for entry in found]
            assert not found, (name, found)

    context.failure = None
    try:
        make_one()
    except BaseException as error:
        context.failure = error


def check_none(context, name):
    found = context.found[name]
    assert not found, f"found {len(found)}; the last one: {found[-1]}"


@then("at most one request was sent for each key")
def check_double_sends(context):
    assert context.sent > 0
    check_none(context, "double sends")


@then("every repeat that got an answer got the answer of the request that was sent")
def check_answers(context):
    check_none(context, "unexpected answers")


@then("no request that was sent is reported as not run")
def check_not_run(context):
    check_none(context, "false reports of not run")


@then("no claim was taken over")
def check_takeovers(context):
    assert "claim-not-taken-over" not in read_violations(), read_violations()


@then("no key whose request was never sent is blocked after the faults")
def check_blocked_keys(context):
    check_none(context, "blocked keys")


@then("each recorded outcome is returned after the faults")
def check_lost_outcomes(context):
    check_none(context, "lost outcomes")
    assert context.failure is None, context.failure
