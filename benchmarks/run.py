"""Runs one variant of the experiment: a fleet under a load, with faults if any."""

import asyncio
import os
import resource
import time
from dataclasses import dataclass, field, replace
from pathlib import Path

from benchmarks.callers import RequestRecord, send_load
from benchmarks.controls import read_generated_tokens, read_statistics, set_faults
from benchmarks.deployments import Deployment, make_reference
from benchmarks.diversion import Diversion, measure_diversion
from benchmarks.fleet import Fleet, kill_program, list_exited, run_fleet, start
from benchmarks.layout import MS_PER_S, FleetPlan
from benchmarks.measures import Measures, find_quantile, measure_run
from benchmarks.mixed_load import MixedLoad, plan_model_work, plan_submissions
from benchmarks.records import make_application_key
from benchmarks.waits import measure_longest_waits_s
from benchmarks.workload import PlannedRequest, plan_load

BURST_BEGIN_RATIO = 0.25
BURST_END_RATIO = 0.75
SLOW_ENGINE = "engine-1"
SILENT_ENGINE = "engine-2"
CRASHED_ENGINE = "engine-4"
SLOWDOWN_FACTOR = 3.0
DEADLINE_PASSED = "deadline-passed"


@dataclass(frozen=True, kw_only=True)
class Variant:
    """One way to run a deployment.

    :param division: How instances divide the capacity, as in their settings.
    :param load_lag_s: Age of the load reports, in seconds.
    :param has_faults: Whether one engine slows down, one crashes and one falls
        silent during the run.
    :param is_reference: Whether a single instance serves all upstreams.
    """

    name: str
    division: str = "home"
    load_lag_s: float = 0.0
    has_faults: bool = False
    is_reference: bool = False


@dataclass(kw_only=True)
class RunResult:
    """The results of one run.

    :param useful_tokens: Number of tokens in complete and correct responses.
    :param longest_wait_s: For each class, the longest time during which requests
        of one data centre waited and none of them received its first token.
    :param diversion: The diversion from the silent engine; ``None`` without faults.
    :param refusal_lateness_p95_s: 95th percentile of the time from the deadline
        to the refusal, among the requests refused because of the deadline;
        ``None`` if there are none.
    :param ended: Exit codes of the processes that exited without being stopped.
    :param load_average: The load average of the machine at the start and at the
        end of the run.
    :param cpu_s: Processor time of this process and of the fleet.
    """

    variant: Variant
    measures: Measures
    useful_tokens: int
    longest_wait_s: dict[str, float]
    diversion: Diversion | None
    refusal_lateness_p95_s: float | None
    ended: dict[str, int]
    load_average: tuple[float, float]
    cpu_s: float
    records: list[RequestRecord] = field(repr=False, default_factory=list)


@dataclass(kw_only=True)
class _FaultObservations:
    """Data about the injected faults that the measures need after the run.

    :param silent_at_s: When the engine fell silent, as wall-clock time in seconds.
    :param lost_tokens: Tokens that the crashed engine generated before its crash;
        its statistics start again from 0.
    """

    silent_at_s: float | None = None
    lost_tokens: int = 0


def make_load(duration_s: float, draft_load: float) -> MixedLoad:
    """Make the load of the experiment, with a drafting burst in the middle half.

    :param duration_s: The time during which requests are sent, in seconds.
    :param draft_load: The drafting load during the burst, relative to the capacity.
    """
    return MixedLoad(
        duration_s=duration_s,
        burst_begin_s=BURST_BEGIN_RATIO * duration_s,
        burst_end_s=BURST_END_RATIO * duration_s,
        burst_draft_load=draft_load,
    )


def shorten_deadlines(deployment: Deployment, max_deadline_s: float) -> Deployment:
    """Limit the deadlines of all classes, so that a run ends sooner.

    :param deployment: The deployment to derive the result from.
    :param max_deadline_s: The upper limit of the deadlines, in seconds.
    """
    classes = tuple(
        replace(each, deadline_s=min(each.deadline_s, max_deadline_s))
        for each in deployment.classes
    )
    return replace(deployment, classes=classes)


def plan_deployment_load(
    deployment: Deployment, load: MixedLoad, seed: int
) -> list[PlannedRequest]:
    """Plan the requests that a deployment receives.

    :param deployment: The deployment.
    :param load: The load of each kind of work.
    :param seed: Equal seeds give equal plans.
    """
    model = deployment.engines[0].models[0]
    service = deployment.services[0].service
    return plan_load(
        model_work=plan_model_work(load, deployment.classes, model),
        service_work=[plan_submissions(load, deployment.classes, service)],
        teams=deployment.teams,
        capacity_tokens_per_s=sum(
            engine.full_batch_tokens_per_s for engine in deployment.engines
        ),
        seed=seed,
    )


async def run_variant(
    deployment: Deployment,
    variant: Variant,
    load: MixedLoad,
    *,
    seed: int,
    directory: Path,
) -> RunResult:
    """Run one variant of the experiment and compute its measures.

    :param deployment: The deployment of the user; its reference is derived here if
        the variant asks for it.
    :param variant: The variant to run.
    :param load: The load of each kind of work.
    :param seed: Equal seeds send equal requests.
    :param directory: The directory for settings, journals and logs.
    """
    plan = plan_deployment_load(deployment, load, seed)
    if variant.is_reference:
        deployment = make_reference(deployment)
    fleet_plan = FleetPlan(
        deployment=deployment,
        seed=seed,
        load_lag_s=variant.load_lag_s,
        has_journals=True,
        sections={"capacity": {"division": variant.division}},
    )
    observations = _FaultObservations()
    initial_load_average = os.getloadavg()[0]
    initial_cpu_s = _read_cpu_s()
    async with run_fleet(fleet_plan, directory) as fleet:
        records = await _send(fleet, plan, load, variant, observations)
        generated_tokens = await read_generated_tokens(fleet) + observations.lost_tokens
        ended = list_exited(fleet)
    measures = measure_run(
        records,
        classes=deployment.classes,
        team_weights={team.name: team.weight for team in deployment.teams},
        generated_tokens=generated_tokens,
    )
    data_centres = {
        planned.number: deployment.instances[
            planned.instance_draw % len(deployment.instances)
        ]
        for planned in plan
    }
    return RunResult(
        variant=variant,
        measures=measures,
        useful_tokens=round(generated_tokens * (1 - measures.wasted_ratio)),
        longest_wait_s=measure_longest_waits_s(records, data_centres),
        diversion=_measure_diversion(fleet, observations),
        refusal_lateness_p95_s=_measure_lateness(records, deployment),
        ended=ended,
        load_average=(initial_load_average, os.getloadavg()[0]),
        cpu_s=_read_cpu_s() - initial_cpu_s,
        records=records,
    )


async def _send(fleet, plan, load, variant, observations):
    def get_key(planned):
        return make_application_key(planned.team, planned.service_class.name)

    sending = send_load(
        plan,
        instance_urls=fleet.instance_urls,
        get_key=get_key,
        delay_s=fleet.layout.plan.deployment.client_delay_ms / MS_PER_S,
    )
    if not variant.has_faults:
        return await sending
    async with asyncio.TaskGroup() as group:
        records = group.create_task(sending)
        group.create_task(_slow_down_engine(fleet, load.duration_s))
        group.create_task(_crash_engine(fleet, load.duration_s, observations))
        group.create_task(_silence_engine(fleet, load.duration_s, observations))
    return records.result()


async def _slow_down_engine(fleet, duration_s):
    await asyncio.sleep(0.3 * duration_s)
    await set_faults(fleet, SLOW_ENGINE, slowdown=SLOWDOWN_FACTOR)
    await asyncio.sleep(0.25 * duration_s)
    await set_faults(fleet, SLOW_ENGINE)


async def _crash_engine(fleet, duration_s, observations):
    await asyncio.sleep(0.4 * duration_s)
    statistics = await read_statistics(fleet, CRASHED_ENGINE)
    observations.lost_tokens = statistics["tokens_generated"]
    await kill_program(fleet, CRASHED_ENGINE)
    await asyncio.sleep(0.25 * duration_s)
    await start(fleet, CRASHED_ENGINE)


async def _silence_engine(fleet, duration_s, observations):
    await asyncio.sleep(0.6 * duration_s)
    observations.silent_at_s = time.time()
    await set_faults(fleet, SILENT_ENGINE, is_silent=True)
    await asyncio.sleep(0.25 * duration_s)
    await set_faults(fleet, SILENT_ENGINE)


def _measure_diversion(fleet: Fleet, observations):
    if observations.silent_at_s is None:
        return None
    engines = [engine.name for engine in fleet.layout.plan.deployment.engines]
    paths = {name: fleet.layout.directory / f"{name}.jsonl" for name in engines}
    return measure_diversion(paths, SILENT_ENGINE, observations.silent_at_s)


def _measure_lateness(records, deployment):
    deadlines_s = {each.name: each.deadline_s for each in deployment.classes}
    lateness_s = [
        each.total_s - deadlines_s[each.service_class]
        for each in records
        if each.outcome == "not-run" and each.reason == DEADLINE_PASSED
    ]
    return find_quantile(lateness_s, 0.95)


def _read_cpu_s():
    usages = [
        resource.getrusage(who)
        for who in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)
    ]
    return sum(usage.ru_utime + usage.ru_stime for usage in usages)
