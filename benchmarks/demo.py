"""Runs a small fleet under a burst of both users' work, and ends by itself.

Usage:
    demo [options]

Options:
    --duration-s=S  How long requests are sent, at most 16 [default: 14].
    --seed=N        Equal seeds send equal requests [default: 1].
    --output=DIR    Where logs, journals and a plot go [default: build/demo].
"""

import asyncio
import signal
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path

import uvloop
from docopt import docopt

from benchmarks.callers import RequestRecord, send_load
from benchmarks.controls import read_generated_tokens
from benchmarks.deployments import Deployment, make_demo
from benchmarks.fleet import Fleet, FleetError, run_fleet
from benchmarks.layout import FleetPlan
from benchmarks.measures import Measures, measure_run
from benchmarks.mixed_load import MixedLoad, plan_model_work, plan_submissions
from benchmarks.processes import ProcessError
from benchmarks.records import make_application_key
from benchmarks.report import format_tables, plot_attainment
from benchmarks.workload import PlannedRequest, plan_load
from standins.journal import read_journal

MAX_DURATION_S = 16.0
RUN_TIMEOUT_S = 40.0
MAX_TARGET_S = 10.0
MAX_DEADLINE_S = 16.0
CLASSES_PER_USER = 3
CAPACITY_SHARE = 0.5
SUBMISSIONS_PER_S = 3.0
DRAFT_MAX_TOKENS = 600
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130


def make_deployment() -> Deployment:
    """Make the deployment of the demo.

    Targets and deadlines are shortened so that the demo ends before its timeout.

    :returns: The deployment.
    """
    deployment = make_demo()
    classes = tuple(
        replace(
            each,
            first_token_target_s=min(each.first_token_target_s, MAX_TARGET_S),
            deadline_s=min(each.deadline_s, MAX_DEADLINE_S),
        )
        for each in deployment.classes
    )
    return replace(deployment, classes=classes)


def make_plan(
    deployment: Deployment, duration_s: float, seed: int
) -> list[PlannedRequest]:
    """Plan the load of both users.

    The load of each user is planned relative to half of the engines' capacity.

    :param deployment: The deployment that receives the load.
    :param duration_s: The time during which requests are sent, in seconds.
    :param seed: Equal seeds give equal plans.
    :returns: The requests, ordered by planned time.
    """
    load = MixedLoad(
        duration_s=duration_s,
        burst_begin_s=duration_s / 4,
        burst_end_s=duration_s * 3 / 4,
        submissions_per_s=SUBMISSIONS_PER_S,
        draft_max_tokens=DRAFT_MAX_TOKENS,
    )
    users = (
        (deployment.classes[:CLASSES_PER_USER], "returns"),
        (deployment.classes[CLASSES_PER_USER:], "dispatch"),
    )
    model_work = []
    service_work = []
    for classes, service in users:
        model_work += plan_model_work(load, classes, f"{service}-model")
        service_work.append(plan_submissions(load, classes, service))
    capacity = sum(engine.full_batch_tokens_per_s for engine in deployment.engines)
    return plan_load(
        model_work=model_work,
        service_work=service_work,
        teams=deployment.teams,
        capacity_tokens_per_s=capacity * CAPACITY_SHARE,
        seed=seed,
    )


def count_executions(fleet: Fleet) -> Counter[str]:
    """Count how often each non-idempotent submission was executed.

    :param fleet: The fleet; its plain services write journals.
    :returns: The number of executions by idempotency key.
    """
    executions = Counter()
    for service in fleet.layout.plan.deployment.services:
        path = fleet.layout.directory / f"{service.name}.jsonl"
        for event in read_journal(path):
            if event["event"] == "started":
                executions[event["idempotency_key"]] += 1
    return executions


async def run(arguments: dict[str, str]) -> None:
    """Run the demo and print its tables.

    :param arguments: The command-line options as parsed by docopt.
    """
    deployment = make_deployment()
    duration_s = min(MAX_DURATION_S, float(arguments["--duration-s"]))
    plan = make_plan(deployment, duration_s, int(arguments["--seed"]))
    output = Path(arguments["--output"]).resolve()
    fleet_plan = FleetPlan(deployment=deployment, has_journals=True)
    _remove_earlier_run(output)
    _print_plan(deployment, plan, duration_s)
    # The timeout is the inner context, so that it cannot interrupt the shutdown of
    # the fleet.
    async with run_fleet(fleet_plan, output) as fleet, asyncio.timeout(RUN_TIMEOUT_S):
        records = await _send(fleet, plan)
        measures = measure_run(
            records,
            classes=deployment.classes,
            team_weights={team.name: team.weight for team in deployment.teams},
            generated_tokens=await read_generated_tokens(fleet),
        )
        executions = count_executions(fleet)
    print(format_tables({"demo": measures}))
    print(_describe_submissions(records, executions))
    _plot(output, measures)


def _remove_earlier_run(output):
    # Journals are opened for appending, so events of an earlier run in the same
    # directory would be counted again.
    for pattern in ("*.jsonl", "*.log"):
        for path in output.glob(pattern):
            path.unlink()


async def _send(fleet, plan):
    def get_key(planned):
        return make_application_key(planned.team, planned.service_class.name)

    return await send_load(plan, instance_urls=fleet.instance_urls, get_key=get_key)


def _print_plan(deployment, plan, duration_s):
    print(
        f"{len(deployment.instances)} instances, {len(deployment.engines)} engines "
        f"and {len(deployment.services)} plain services in "
        f"{len(deployment.data_centres)} data centres: {len(plan)} requests in "
        f"{duration_s:.0f} s, drafting at 3 times capacity in the middle half",
        flush=True,
    )


def _describe_submissions(
    records: list[RequestRecord], executions: Counter[str]
) -> str:
    submitted = [each for each in records if each.is_service]
    completed = sum(each.outcome == "completed" for each in submitted)
    repeated = sum(count > 1 for count in executions.values())
    return (
        f"\nNon-idempotent submissions: {len(submitted)} sent, {completed} completed, "
        f"{len(executions)} run, {repeated} run more than once"
    )


def _plot(output: Path, measures: Measures) -> None:
    path = output / "attainment.png"
    plot_attainment(path, {"demo": measures})
    print(f"Plot: {path}")


async def _run_until_signalled(arguments):
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    await run(arguments)


def main() -> int:
    """Run the demo from the command line.

    :returns: The exit code: 0 after a complete run, 130 after SIGINT or SIGTERM,
        1 after a failure.
    """
    arguments = docopt(__doc__)
    uvloop.install()
    try:
        asyncio.run(_run_until_signalled(arguments))
    except asyncio.CancelledError:
        print("interrupted; all processes are stopped", file=sys.stderr)
        return EXIT_INTERRUPTED
    except (FleetError, ProcessError, TimeoutError) as error:
        print(f"the demo failed: {error!r}", file=sys.stderr)
        return EXIT_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main())
