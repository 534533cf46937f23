"""Plans an open-loop load from a seed: who asks for what, and when."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from jujubenotch.records import ServiceClass
from standins.answers import WORDS, expected_length

MEAN_SAMPLE = 400
PROMPT_GROUPS = 8
SHARED_PROMPT_RATIO = 0.75


@dataclass(frozen=True, kw_only=True)
class Phase:
    """A part of the run with one level of load.

    :param duration_s: How long it lasts, in seconds.
    :param load: Offered tokens relative to the capacity of all engines.
    """

    duration_s: float
    load: float


@dataclass(frozen=True, kw_only=True)
class ModelWork:
    """Requests of one class to a model.

    :param max_tokens: Bound on each answer; a quarter of it is the median.
    :param prompt_characters: Length of each prompt.
    :param stream_ratio: Share of the requests that ask for a stream.
    """

    service_class: ServiceClass
    model: str
    max_tokens: int
    prompt_characters: int
    phases: tuple[Phase, ...]
    stream_ratio: float = 0.9


@dataclass(frozen=True, kw_only=True)
class ServiceWork:
    """Non-idempotent calls of one class to a plain service.

    :param rate_per_s: Calls in a second.
    """

    service_class: ServiceClass
    service: str
    rate_per_s: float
    duration_s: float


@dataclass(frozen=True, kw_only=True)
class TeamShare:
    """A team, its weight and its share of the requests."""

    name: str
    weight: float
    load_share: float


@dataclass(frozen=True, kw_only=True)
class PlannedRequest:
    """One request of the plan.

    :param at_s: When it is sent, from the start of the run, in seconds.
    :param target: The model or plain service.
    :param body: The JSON body of a model request; ``None`` for a service.
    :param entry: Drawn for the choice of the instance that it is sent to.
    :param idempotency_key: Empty for a model request.
    """

    number: int
    at_s: float
    service_class: ServiceClass
    team: str
    target: str
    body: dict | None
    entry: int
    idempotency_key: str = ""


def plan_load(
    *,
    model_work: Sequence[ModelWork],
    service_work: Sequence[ServiceWork],
    teams: Sequence[TeamShare],
    capacity_tokens_per_s: float,
    seed: int,
) -> list[PlannedRequest]:
    """Plan a run.

    :param model_work: The requests to models.
    :param service_work: The calls of plain services.
    :param teams: Who asks.
    :param capacity_tokens_per_s: Tokens that all engines generate in a second
        with full batches.
    :param seed: Equal seeds give equal plans.
    :returns: The requests, in order of time.
    """
    planned = []
    for index, work in enumerate(model_work):
        generator = random.Random(f"{seed} model {index}")
        planned += _plan_model_work(work, teams, capacity_tokens_per_s, generator)
    for index, work in enumerate(service_work):
        generator = random.Random(f"{seed} service {index}")
        planned += _plan_service_work(work, teams, seed, generator)
    planned.sort(key=lambda request: request["at_s"])
    return [
        PlannedRequest(number=number, **request)
        for number, request in enumerate(planned)
    ]


def _plan_model_work(work, teams, capacity_tokens_per_s, generator):
    mean_tokens = _measure_mean_tokens(work, teams)
    begin_s = 0.0
    for phase in work.phases:
        rate = phase.load * capacity_tokens_per_s / mean_tokens
        for at_s in _draw_arrivals(rate, begin_s, phase.duration_s, generator):
            team = _draw_team(teams, generator)
            yield {
                "at_s": at_s,
                "service_class": work.service_class,
                "team": team,
                "target": work.model,
                "body": _draw_body(work, team, generator),
                "entry": generator.getrandbits(32),
            }
        begin_s += phase.duration_s


def _plan_service_work(work, teams, seed, generator):
    arrivals = _draw_arrivals(work.rate_per_s, 0.0, work.duration_s, generator)
    for number, at_s in enumerate(arrivals):
        yield {
            "at_s": at_s,
            "service_class": work.service_class,
            "team": _draw_team(teams, generator),
            "target": work.service,
            "body": None,
            "entry": generator.getrandbits(32),
            "idempotency_key": f"{work.service}-{seed}-{number}",
        }


def _draw_arrivals(rate, begin_s, duration_s, generator):
    if rate <= 0:
        return
    at_s = begin_s + generator.expovariate(rate)
    while at_s < begin_s + duration_s:
        yield at_s
        at_s += generator.expovariate(rate)


def _draw_team(teams, generator):
    weights = [team.load_share for team in teams]
    return generator.choices([team.name for team in teams], weights)[0]


def _draw_body(work, team, generator):
    # Requests of a group share the start of their prompts, as the pages of one
    # application do, and differ in the rest.
    group = generator.randrange(PROMPT_GROUPS)
    shared_length = int(work.prompt_characters * SHARED_PROMPT_RATIO)
    shared = _draw_text(random.Random(f"{team} {group}"), shared_length)
    own = _draw_text(generator, work.prompt_characters - shared_length)
    return {
        "model": work.model,
        "messages": [
            {"role": "system", "content": shared},
            {"role": "user", "content": f"{own} {generator.getrandbits(48)}"},
        ],
        "max_tokens": work.max_tokens,
        "stream": generator.random() < work.stream_ratio,
    }


def _draw_text(generator, length):
    words = generator.choices(WORDS, k=length // 6 + 1)
    return " ".join(words)[:length]


def _measure_mean_tokens(work, teams):
    generator = random.Random("mean")
    bodies = [_draw_body(work, teams[0].name, generator) for _ in range(MEAN_SAMPLE)]
    return sum(map(expected_length, bodies)) / MEAN_SAMPLE
