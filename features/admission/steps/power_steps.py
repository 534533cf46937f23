from dataclasses import replace

from behave import then, when
from pool_steps import configure, expire_and_grant


@when("the power cap becomes {watts:g} watts")
def change_cap(context, watts):
    context.power_watts = watts
    configure(context)


@when("every upstream takes {watts:g} watts per slot")
def change_watts(context, watts):
    context.upstreams = [
        replace(upstream, watts_per_slot=watts) for upstream in context.upstreams
    ]
    configure(context)


@then("{watts:g} watts are in use")
def check_watts(context, watts):
    assert context.pool.watts_in_use == watts, context.pool.watts_in_use


@then('{watts:g} watts are in use before "{request_id}" is granted on "{upstream}"')
def check_watts_before_grant(context, watts, request_id, upstream):
    check_watts(context, watts)
    expire_and_grant(context)
    assert context.grants[request_id].upstream == upstream, context.grants
