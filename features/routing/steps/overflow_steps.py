from behave import given, then

from jujubenotch.routing import RemoteGroup, choose_data_centre
from jujubenotch.work import PoolSummary, WorkRequest


def make_summary(wait_s, *, free=0, running=0, drafts=0):
    return PoolSummary(
        queued=(0, 0, 0, drafts),
        in_progress=(running, 0, 0, drafts),
        free_slots=free,
        wait_s=(wait_s,) * 4,
    )


def choose(context, request_id="r1"):
    request = WorkRequest(
        request_id=request_id,
        target="m",
        team="team",
        team_weight=1.0,
        team_limit=0,
        service_class="class",
        tier=0,
        arrived_s=0.0,
        first_token_by_s=1.0,
        deadline_s=60.0,
        max_wait_s=30.0,
        expected_tokens=100,
    )
    return choose_data_centre(request, context.local, context.remotes)


@given("a local wait of {wait_s:g} seconds")
def set_local_wait(context, wait_s):
    context.local = make_summary(wait_s)


@given("other data centres")
def list_remotes(context):
    context.remotes = [
        RemoteGroup(
            data_centre=row["name"],
            summary=make_summary(
                float(row["wait_s"]),
                free=int(row["free"]),
                running=int(row.get("running", 0)),
                drafts=int(row.get("drafts", 0)),
            ),
            age_s=float(row["age_s"]),
            delay_s=float(row["delay_s"]),
        )
        for row in context.table
    ]


@then('the request overflows to "{data_centre}"')
def check_overflow(context, data_centre):
    assert choose(context) == data_centre, choose(context)


@then("the request waits locally")
def check_local(context):
    assert choose(context) == "", choose(context)


@then("{least:d} to {most:d} of {count:d} requests overflow")
def check_sample(context, least, most, count):
    context.choices = [choose(context, f"r{number}") for number in range(count)]
    overflowed = sum(map(bool, context.choices))
    assert least <= overflowed <= most, overflowed


@then("the same choice is made again for each request")
def check_repeatable(context):
    again = [choose(context, f"r{n}") for n in range(len(context.choices))]
    assert again == context.choices
