from behave import then, when

from jujubenotch.outcomes import Outcome


@when("the outcomes are listed")
def list_outcomes(context):
    context.outcomes = ", ".join(Outcome)


@then('the outcomes are "{expected}"')
def check_outcomes(context, expected):
    assert context.outcomes == expected, context.outcomes
