from collections import defaultdict
from itertools import pairwise

from behave import given, then

from benchmarks.schedule import (
    DATA_CENTRE_FAULTS,
    PLATFORM_FAULTS,
    PROCESS_FAULTS,
    FaultKind,
    plan_faults,
)
from benchmarks.soak_plan import make_deployment, make_fault_targets

TARGETS = make_fault_targets(make_deployment())


def draw(seed, duration_s=100.0):
    return plan_faults(seed=seed, duration_s=duration_s, targets=TARGETS)


@then("seed 7 draws the same faults twice, and seed 8 draws different faults")
def check_seeds(context):
    assert draw(7) == draw(7)
    assert draw(7) != draw(8)


@given("the faults that seeds 1 to 20 draw for 100 s")
def draw_many(context):
    context.plans = [draw(seed) for seed in range(1, 21)]


@then("each kind is drawn for each seed")
def check_kinds(context):
    for plan in context.plans:
        assert {event.kind for event in plan} == set(FaultKind)


@then("no fault begins in the first tenth or ends in the last tenth")
def check_fault_free(context):
    for plan in context.plans:
        assert all(event.at_s >= 10 and event.end_s <= 90 for event in plan)


@then("some faults begin at the same time, and some are repeated at one target")
def check_repeats(context):
    for plan in context.plans:
        times = [event.at_s for event in plan]
        assert len(set(times)) < len(times)
        targets = [(event.kind, event.target) for event in plan]
        assert len(set(targets)) < len(targets)


@then("no process has a fault before its earlier fault has ended")
def check_no_overlap(context):
    for plan in context.plans:
        by_target = defaultdict(list)
        for event in plan:
            if event.kind in PROCESS_FAULTS or event.kind is FaultKind.CRASH_UPSTREAM:
                by_target[event.target].append(event)
        for events in by_target.values():
            assert all(before.end_s < after.at_s for before, after in pairwise(events))


@then("each fault has a target that its kind applies to")
def check_targets(context):
    for event in [event for plan in context.plans for event in plan]:
        if event.kind in DATA_CENTRE_FAULTS:
            assert event.target in TARGETS.instances.values()
        elif event.kind in PLATFORM_FAULTS:
            assert event.target == "platform"
        elif event.kind in PROCESS_FAULTS:
            assert event.target in TARGETS.instances
        elif event.kind is FaultKind.SHORT_STREAMS:
            assert event.target in TARGETS.engines


@then("each pause lasts 1 to 30 s")
def check_pauses(context):
    for event in [event for plan in context.plans for event in plan]:
        if event.kind is FaultKind.PAUSE_INSTANCE and event.end_s < 89:
            assert 1 <= event.duration_s <= 30
