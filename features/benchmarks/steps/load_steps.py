from behave import given, then, when

from benchmarks.callers import (
    ReceivedStream,
    RequestRecord,
    read_event,
    summarise_stream,
)
from benchmarks.measures import TeamMeasure, compute_fairness, measure_run
from benchmarks.workload import ModelWork, Phase, TeamLoad, plan_load
from jujubenotch.records import ServiceClass
from standins.answers import count_expected_tokens
from standins.openai_format import END_EVENT, make_events

DRAFT = ServiceClass(
    name="draft", tier=3, first_token_target_s=1.0, between_tokens_target_s=0.1
)
TEAMS = (
    TeamLoad(name="a", weight=1.0, load_share=0.7),
    TeamLoad(name="b", weight=1.0, load_share=0.3),
)
BODY = {
    "model": "m",
    "messages": [{"role": "user", "content": "hello"}],
    "max_tokens": 80,
    "stream": True,
}


def make_plan(seed, load, duration_s, capacity):
    work = ModelWork(
        service_class=DRAFT,
        model="m",
        max_tokens=400,
        prompt_characters=100,
        phases=(Phase(duration_s=duration_s, load=load),),
    )
    return plan_load(
        model_work=[work],
        service_work=[],
        teams=TEAMS,
        capacity_tokens_per_s=capacity,
        seed=seed,
    )


@then("two plans with seed 1 are equal and a plan with seed 2 differs")
def check_seed(context):
    plan = make_plan(1, 1.0, 20, 500)
    assert plan
    assert plan == make_plan(1, 1.0, 20, 500)
    assert plan != make_plan(2, 1.0, 20, 500)


@when("a burst of {load:d} times {capacity:d} tokens/s is planned for {seconds:d} s")
def plan_burst(context, load, capacity, seconds):
    plan = make_plan(1, load, seconds, capacity)
    context.rate = sum(count_expected_tokens(each.body) for each in plan) / seconds


@then("the tokens requested per second are within 15% of {expected:d}")
def check_rate(context, expected):
    assert abs(context.rate / expected - 1) < 0.15, context.rate


def change_events(events, change):
    if change == "with its second event twice":
        events.insert(2, events[1])
    if change == "without its second event":
        del events[1]
    if change != "without its end marker":
        events.append(END_EVENT)
    return events


@given("the stream of a response {change}")
def read_stream(context, change):
    stream = ReceivedStream()
    for number, event in enumerate(change_events(make_events(BODY), change)):
        read_event(stream, event.decode().strip(), float(number))
    context.record = make_record(expected_tokens=len(make_events(BODY)))
    summarise_stream(stream, BODY, context.record, 0.0)


@then("the recorded outcome is {outcome} and the response is {verdict}")
def check_stream(context, outcome, verdict):
    assert context.record.outcome == outcome, context.record
    assert context.record.is_right == (verdict == "right"), context.record


def make_record(**fields):
    defaults = {
        "number": 0,
        "service_class": "draft",
        "tier": 3,
        "team": "a",
        "is_stream": True,
        "is_service": False,
        "at_s": 0.0,
        "outcome": "cut",
        "total_s": 2.0,
        "tokens": 10,
        "first_token_s": 0.5,
        "between_tokens_s": 0.05,
    }
    return RequestRecord(**{**defaults, **fields})


@given("4 requests: one within its targets, one late, one refused, one incorrect")
def make_records(context):
    good = {"outcome": "completed", "is_right": True}
    records = [
        make_record(**good),
        make_record(**good, first_token_s=1.5),
        make_record(outcome="not-run", tokens=0, reason="queue-full"),
        make_record(outcome="completed"),
    ]
    context.measures = measure_run(
        records, classes=[DRAFT], team_weights={"a": 1.0}, generated_tokens=40
    )


@then("attainment is 25%, 33% of admitted requests, and 1 response is incorrect")
def check_attainment(context):
    measure = context.measures.classes[0]
    assert measure.attainment == 0.25
    assert round(measure.attainment_of_admitted, 2) == 0.33
    assert measure.wrong == 1
    assert measure.reasons == {"queue-full": 1}


@then("tokens that are not part of a correct response are counted as wasted")
def check_wasted(context):
    assert context.measures.wasted_ratio == 0.5
    assert context.measures.goodput_tokens_per_s == 10.0


def make_team(served, ratio):
    return TeamMeasure(
        name="t", weight=1.0, asked_tokens=100, served_tokens=served, served_ratio=ratio
    )


@then("10, 10 and 40 served tokens per weight give the index 0.667")
def check_fairness(context):
    teams = [make_team(served, 0.1) for served in (10, 10, 40)]
    assert round(compute_fairness(teams), 3) == 0.667


@then("a team whose demand was met does not lower the index")
def check_met_demand(context):
    teams = [make_team(10, 0.1), make_team(10, 0.1), make_team(1, 1.0)]
    assert compute_fairness(teams) == 1.0
