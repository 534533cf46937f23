from behave import given, then, when

from features.neighbours.histories import play


@given("drawn histories of {instances:d} instances from seed {first:d} to {last:d}")
def set_histories(context, instances, first, last):
    context.instances = instances
    context.seeds = range(first, last + 1)
    context.transfer_s = 0.0


@given("a configuration that takes {transfer_s:g} s to read")
def set_transfer(context, transfer_s):
    context.transfer_s = transfer_s


@when("changes come amid disturbances of the kinds {kinds}")
def play_histories(context, kinds):
    context.histories = {
        seed: play(seed, context.instances, kinds.split(","), context.transfer_s)
        for seed in context.seeds
    }


@then("each undisturbed instance has each change in force in time")
def check_histories(context):
    late = {
        seed: (history.late[0], len(history.late), history.events)
        for seed, history in context.histories.items()
        if history.late
    }
    assert not late, (len(late), late)


@then("none sends to an upstream that has said in time that it leaves")
def check_upstreams(context):
    in_use = {
        seed: (history.in_use[0], len(history.in_use), history.events)
        for seed, history in context.histories.items()
        if history.in_use
    }
    assert not in_use, (len(in_use), in_use)
