"""The deployments of both users, with their upstreams, teams and service classes."""

from dataclasses import dataclass, replace

from benchmarks.workload import TeamLoad
from jujubenotch.records import ServiceClass

MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True)
class EnginePlan:
    """A model engine of a deployment.

    :param step_ms: Duration of a decode step with an empty batch, in
        milliseconds.
    :param step_per_request_ms: Increase of that duration for each request in the
        batch, in milliseconds.
    """

    name: str
    data_centre: str
    models: tuple[str, ...]
    slots: int = 16
    step_ms: float = 12.0
    step_per_request_ms: float = 0.6
    watts_per_slot: float = 30.0

    @property
    def full_batch_tokens_per_s(self) -> float:
        """Tokens that the engine generates in a second when all slots are in use."""
        step_ms = self.step_ms + self.step_per_request_ms * self.slots
        return MS_PER_S * self.slots / step_ms


@dataclass(frozen=True, kw_only=True)
class ServicePlan:
    """A plain service of a deployment."""

    name: str
    data_centre: str
    service: str
    slots: int = 16


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """The instances, upstreams, teams and classes of one user.

    :param instances: The data centre of each instance.
    :param teams: The teams; each team has one application for each class.
    :param classes: The service classes, from the most to the least urgent tier.
    :param client_delay_ms: One-way delay between callers and instances, in
        milliseconds.
    """

    name: str
    data_centres: tuple[str, ...]
    instances: tuple[str, ...]
    engines: tuple[EnginePlan, ...]
    services: tuple[ServicePlan, ...]
    teams: tuple[TeamLoad, ...]
    classes: tuple[ServiceClass, ...]
    client_delay_ms: float


def make_partnership() -> Deployment:
    """Return the Partnership's deployment.

    :returns: A deployment with 3 data centres, 8 instances, 5 engines and 3
        plain services.
    """
    data_centres = ("central-1", "central-2", "central-3")
    engine_data_centres = (
        data_centres[0],
        data_centres[0],
        data_centres[1],
        data_centres[1],
        data_centres[2],
    )
    return Deployment(
        name="partnership",
        data_centres=data_centres,
        instances=_assign_round_robin(data_centres, 8),
        engines=_make_engines(engine_data_centres, "returns-model"),
        services=_make_services(data_centres, "returns"),
        teams=_make_teams("agents"),
        classes=_make_classes("gate-query", "holding-change", "census-draft"),
        client_delay_ms=1.0,
    )


def make_frigotehnica() -> Deployment:
    """Return Frigotehnica's deployment.

    :returns: A deployment with 3 data centres, 9 instances, 9 engines and 3
        plain services.
    """
    data_centres = ("cluj-1", "cluj-2", "cluj-3")
    return Deployment(
        name="frigotehnica",
        data_centres=data_centres,
        instances=_assign_round_robin(data_centres, 9),
        engines=_make_engines(data_centres * 3, "dispatch-model"),
        services=_make_services(data_centres, "dispatch"),
        teams=_make_teams("crew"),
        classes=_make_classes("door-query", "call-sorting", "fault-history"),
        client_delay_ms=15.0,
    )


def make_reference(deployment: Deployment) -> Deployment:
    """Make the reference of a deployment: one instance in front of all upstreams.

    The instance and all upstreams are in one data centre, so one queue receives
    all requests.

    :param deployment: The deployment to derive the reference from.
    :returns: A deployment with the same upstreams, teams and classes.
    """
    data_centre = deployment.data_centres[0]
    return replace(
        deployment,
        name=f"{deployment.name}-reference",
        data_centres=(data_centre,),
        instances=(data_centre,),
        engines=tuple(
            replace(engine, data_centre=data_centre) for engine in deployment.engines
        ),
        services=tuple(
            replace(service, data_centre=data_centre) for service in deployment.services
        ),
    )


def make_demo() -> Deployment:
    """Return a small deployment that serves the work of both users.

    :returns: A deployment with 2 data centres, 3 instances, 3 engines and 4
        plain services.
    """
    data_centres = ("north", "south")
    models = ("dispatch-model", "returns-model")
    engines = tuple(
        EnginePlan(name=f"engine-{number}", data_centre=data_centre, models=models)
        for number, data_centre in enumerate(
            _assign_round_robin(data_centres, 3), start=1
        )
    )
    partnership = make_partnership()
    frigotehnica = make_frigotehnica()
    return Deployment(
        name="demo",
        data_centres=data_centres,
        instances=_assign_round_robin(data_centres, 3),
        engines=engines,
        services=_make_services(data_centres, "returns")
        + _make_services(data_centres, "dispatch"),
        teams=partnership.teams[:3] + frigotehnica.teams[:3],
        classes=partnership.classes + frigotehnica.classes,
        client_delay_ms=0.0,
    )


DEPLOYMENTS = {"partnership": make_partnership, "frigotehnica": make_frigotehnica}


def _assign_round_robin(data_centres, count):
    return tuple(data_centres[number % len(data_centres)] for number in range(count))


def _make_engines(data_centres, model):
    return tuple(
        EnginePlan(name=f"engine-{number}", data_centre=data_centre, models=(model,))
        for number, data_centre in enumerate(data_centres, start=1)
    )


def _make_services(data_centres, name):
    return tuple(
        ServicePlan(name=f"{name}-{number}", data_centre=data_centre, service=name)
        for number, data_centre in enumerate(data_centres, start=1)
    )


def _make_teams(prefix):
    shares = (0.3, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05)
    return tuple(
        TeamLoad(
            name=f"{prefix}-{number}",
            weight=2.0 if share >= 0.15 else 1.0,
            load_share=share,
        )
        for number, share in enumerate(shares, start=1)
    )


def _make_classes(query, sorting, draft):
    return (
        ServiceClass(
            name=query,
            tier=0,
            first_token_target_s=1.2,
            between_tokens_target_s=0.032,
            deadline_s=20.0,
            max_wait_s=5.0,
        ),
        ServiceClass(
            name=sorting,
            tier=1,
            first_token_target_s=3.0,
            between_tokens_target_s=0.05,
            deadline_s=30.0,
            max_wait_s=10.0,
        ),
        ServiceClass(
            name=draft,
            tier=3,
            first_token_target_s=30.0,
            between_tokens_target_s=0.1,
            deadline_s=120.0,
            max_wait_s=30.0,
        ),
    )
