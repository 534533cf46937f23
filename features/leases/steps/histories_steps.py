import dataclasses
from unittest import mock

from behave import given, then, when

from features.leases import simulation
from jujubenotch.leases import rules, update

FIRST_SEED = 4000
FAULTS = {
    "all faults": simulation.FAULT_KINDS,
    "planned stops": ("stop",),
    "restores of the store": ("restore", "freeze"),
    "stops and restores": ("restore", "restore", "stop"),
    "no faults": (),
}


def _choose_without_era(row):
    return row.lease.token + 1 if row.lease else 1


def _is_released(row):
    return row.lease is not None and row.lease.is_released


def _is_own_by_name(state, row):
    return row.lease is not None and row.lease.holder == state.name


def _record_any_era(state, attempt, result, now_s):
    row = dataclasses.replace(result.row, era=attempt.lease.era)
    result = dataclasses.replace(result, row=row)
    return update.record_write(state, attempt, result, now_s)


LEFT_OUT = {
    "act for longer than a candidate waits": [(rules, "ACT_SHARE", 1.2)],
    "do not raise the token in a new era": [
        (update, "choose_token", _choose_without_era)
    ],
    "take a lease that was released in an earlier era": [
        (rules, "_is_released", _is_released)
    ],
    "take a lease that is missing in a new era": [
        (rules, "_was_never_held", lambda row: row.revision == 0)
    ],
    "take a response of another era for a confirmation": [
        (simulation, "record_write", _record_any_era)
    ],
    "take the row of an earlier process for their own": [
        (module, "is_own", _is_own_by_name) for module in (rules, update, simulation)
    ],
    "take the lease again without a rest": [(rules, "REST_SHARE", 0.0)],
}


@given("instances that {fault}")
def leave_out(context, fault):
    for module, name, value in LEFT_OUT[fault]:
        context.stack.enter_context(mock.patch.object(module, name, value))


@when("{count:d} histories of {faults} are played with and without fencing")
def play_histories(context, count, faults):
    context.histories = {
        (FIRST_SEED + number, is_fenced): simulation.play(
            FIRST_SEED + number, is_fenced, FAULTS[faults]
        )
        for number in range(count)
        for is_fenced in (True, False)
    }


@when("up to {count:d} histories of {faults} are played")
def play_until_broken(context, count, faults):
    context.histories = {}
    for number in range(count):
        history = simulation.play(FIRST_SEED + number, bool(number % 2), FAULTS[faults])
        context.histories[number] = history
        if history.broken:
            return


@then("no rule of the lease is broken")
def check_none_broken(context):
    broken = {
        key: history.broken
        for key, history in context.histories.items()
        if history.broken
    }
    assert not broken, list(broken.items())[:5]


@then("a rule of the lease is broken")
def check_broken(context):
    assert any(history.broken for history in context.histories.values())


@then("at least {calls:d} calls were executed under at least {tokens:d} tokens")
def check_work(context, calls, tokens):
    histories = context.histories.values()
    executed = sum(history.executed for history in histories)
    used = sum(len({act.token for act in history.acts}) for history in histories)
    assert executed >= calls and used >= tokens, (executed, used)
