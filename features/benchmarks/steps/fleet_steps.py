import asyncio
import tempfile
from pathlib import Path

from behave import given, then, when

from benchmarks import fleet as fleets
from benchmarks.callers import send_load
from benchmarks.controls import change_route, read_statistics
from benchmarks.deployments import make_demo
from benchmarks.layout import FleetPlan
from benchmarks.records import make_application_key
from benchmarks.workload import PlannedRequest

QUERY = make_demo().classes[0]
TEAM = make_demo().teams[0].name


@given("a running fleet with relays")
def run_fleet(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    plan = FleetPlan(deployment=make_demo(), has_relays=True)
    context.running = fleets.run_fleet(plan, Path(directory.name))
    context.fleet = context.runner.run(context.running.__aenter__())
    context.add_cleanup(stop_fleet, context)
    context.processes = [
        program.process for program in context.fleet.processes.running.values()
    ]


def stop_fleet(context):
    if context.running is not None:
        context.runner.run(context.running.__aexit__(None, None, None))
        context.running = None


def send_query(context, entry):
    body = {
        "model": "returns-model",
        "messages": [{"role": "user", "content": f"Query {entry}?"}],
        "max_tokens": 20,
        "stream": True,
    }
    planned = PlannedRequest(
        number=entry,
        at_s=0.0,
        service_class=QUERY,
        team=TEAM,
        target="returns-model",
        body=body,
        instance_draw=entry,
    )
    sending = send_load(
        [planned],
        instance_urls=context.fleet.instance_urls,
        get_key=lambda _: make_application_key(TEAM, QUERY.name),
    )
    return context.runner.run(sending)[0]


@then("each instance answers a query correctly")
def check_answers(context):
    for entry in range(len(context.fleet.instance_urls)):
        record = send_query(context, entry)
        assert record.outcome == "completed" and record.is_right, record


@when("the first instance is killed and started again")
def restart_instance(context):
    context.runner.run(fleets.kill_program(context.fleet, "demo-1"))
    context.runner.run(fleets.start(context.fleet, "demo-1"))
    process = context.fleet.processes.running["demo-1"].process
    context.processes.append(process)


@when("the route to the only engine in the second instance's data centre is cut")
def cut_second_engine(context):
    cut_route(context, "engine-2")


@when("the routes to all engines are cut")
def cut_all_engines(context):
    for engine in context.fleet.layout.plan.deployment.engines:
        cut_route(context, engine.name)


def cut_route(context, engine):
    context.runner.run(change_route(context.fleet, f"upstream-{engine}", mode="cut"))


@then("another data centre answers a query to the second instance correctly")
def check_diverted(context):
    engines = ("engine-1", "engine-3")
    before = count_requests(context, engines)
    record = send_query(context, 1)
    assert record.outcome == "completed" and record.is_right, record
    assert count_requests(context, engines) == before + 1


def count_requests(context, engines):
    return sum(
        context.runner.run(read_statistics(context.fleet, engine))["requests"]
        for engine in engines
    )


@then("a query to the second instance is refused and not executed")
def check_refused(context):
    record = send_query(context, 1)
    assert record.outcome == "not-run" and record.reason, record


@when("the fleet is stopped")
def end_fleet(context):
    stop_fleet(context)


@then("no process of the fleet is left running")
def check_ended(context):
    assert all(process.returncode is not None for process in context.processes)
