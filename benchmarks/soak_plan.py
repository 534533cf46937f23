"""Plans the fleet and the load of a randomised run.

The load is the work of both users, scaled down.
"""

import random
from dataclasses import replace

from benchmarks.deployments import (
    Deployment,
    EnginePlan,
    ServicePlan,
    make_frigotehnica,
    make_partnership,
)
from benchmarks.layout import FleetPlan
from benchmarks.mixed_load import MixedLoad, plan_model_work, plan_submissions
from benchmarks.schedule import FaultTargets
from benchmarks.workload import PlannedRequest, plan_load

DATA_CENTRES = ("north", "middle", "south")
INSTANCES = 9
ENGINES = 6
ENGINE_SLOTS = 4
SERVICE_SLOTS = 4
CLASSES_PER_USER = 3
TEAMS_PER_USER = 3
MAX_DEADLINE_S = 12.0
MAX_WAIT_S = 4.0
MAX_FIRST_TOKEN_TARGET_S = 6.0
CAPACITY_SHARE = 0.4
SUBMISSIONS_PER_S = 4.0
DRAFT_MAX_TOKENS = 400
BURST_DRAFT_LOAD = 2.0
COPY_RATIO = 0.3
MAX_COPIES = 2
MAX_COPY_DELAY_S = 2.5


def make_deployment() -> Deployment:
    """Make the deployment: 9 instances in 3 data centres, in front of 12 upstreams.

    :returns: The deployment. Its deadlines are short, so that a run ends soon
        after the last request.
    """
    partnership = make_partnership()
    frigotehnica = make_frigotehnica()
    models = ("dispatch-model", "returns-model")
    engines = tuple(
        EnginePlan(
            name=f"engine-{number + 1}",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            models=models,
            slots=ENGINE_SLOTS,
        )
        for number in range(ENGINES)
    )
    services = tuple(
        ServicePlan(
            name=f"{service}-{number}",
            data_centre=data_centre,
            service=service,
            slots=SERVICE_SLOTS,
        )
        for service in ("returns", "dispatch")
        for number, data_centre in enumerate(DATA_CENTRES, start=1)
    )
    return Deployment(
        name="soak",
        data_centres=DATA_CENTRES,
        instances=tuple(
            DATA_CENTRES[number % len(DATA_CENTRES)] for number in range(INSTANCES)
        ),
        engines=engines,
        services=services,
        teams=partnership.teams[:TEAMS_PER_USER] + frigotehnica.teams[:TEAMS_PER_USER],
        classes=tuple(
            _cap_times(each) for each in partnership.classes + frigotehnica.classes
        ),
        client_delay_ms=0.0,
    )


def make_fleet_plan(deployment: Deployment, seed: int) -> FleetPlan:
    """Make the plan of the fleet, with relays, journals and JSON logs.

    :param deployment: The deployment.
    :param seed: The seed of the stand-ins' random generators.
    """
    return FleetPlan(
        deployment=deployment,
        seed=seed,
        has_relays=True,
        has_journals=True,
        sections={"logs": {"format": "json"}},
    )


def make_fault_targets(deployment: Deployment) -> FaultTargets:
    """List the targets that faults can be injected into.

    :param deployment: The deployment.
    """
    return FaultTargets(
        instances={
            f"{deployment.name}-{number}": data_centre
            for number, data_centre in enumerate(deployment.instances, start=1)
        },
        engines=tuple(engine.name for engine in deployment.engines),
        services=tuple(service.name for service in deployment.services),
    )


def make_load(
    deployment: Deployment, seed: int, duration_s: float
) -> list[PlannedRequest]:
    """Plan the requests of both users, and copies of some submissions.

    A copy has the idempotency key of its original and goes to a randomly drawn
    instance, as if the caller had retried before it received the answer.

    :param deployment: The deployment.
    :param seed: Equal seeds give equal plans.
    :param duration_s: How long requests are sent.
    :returns: The requests, in order of time.
    """
    load = MixedLoad(
        duration_s=duration_s,
        burst_begin_s=duration_s / 4,
        burst_end_s=duration_s * 3 / 4,
        burst_draft_load=BURST_DRAFT_LOAD,
        submissions_per_s=SUBMISSIONS_PER_S,
        draft_max_tokens=DRAFT_MAX_TOKENS,
    )
    model_work = []
    service_work = []
    users = (
        (deployment.classes[:CLASSES_PER_USER], "returns"),
        (deployment.classes[CLASSES_PER_USER:], "dispatch"),
    )
    for classes, service in users:
        model_work += plan_model_work(load, classes, f"{service}-model")
        service_work.append(plan_submissions(load, classes, service))
    capacity = sum(engine.full_batch_tokens_per_s for engine in deployment.engines)
    planned = plan_load(
        model_work=model_work,
        service_work=service_work,
        teams=deployment.teams,
        capacity_tokens_per_s=capacity * CAPACITY_SHARE,
        seed=seed,
    )
    copies = list(_draw_copies(planned, random.Random(f"copies {seed}")))
    return sorted(planned + copies, key=lambda request: request.at_s)


def _draw_copies(planned, generator):
    for request in planned:
        if not request.idempotency_key:
            continue
        for _ in range(MAX_COPIES):
            if generator.random() >= COPY_RATIO:
                break
            yield replace(
                request,
                at_s=request.at_s + generator.uniform(0, MAX_COPY_DELAY_S),
                instance_draw=generator.getrandbits(32),
            )


def _cap_times(service_class):
    return replace(
        service_class,
        first_token_target_s=min(
            service_class.first_token_target_s, MAX_FIRST_TOKEN_TARGET_S
        ),
        deadline_s=min(service_class.deadline_s, MAX_DEADLINE_S),
        max_wait_s=min(service_class.max_wait_s, MAX_WAIT_S),
    )
