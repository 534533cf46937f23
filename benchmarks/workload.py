"""Plans an open-loop load from a seed: the time, team and content of each request."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from jujubenotch.records import ServiceClass
from standins.answers import WORDS, count_expected_tokens

MEAN_SAMPLE_SIZE = 400
PROMPT_GROUPS = 8
SHARED_PROMPT_RATIO = 0.75


@dataclass(frozen=True, kw_only=True)
class Phase:
    """A part of the run with a constant load.

    :param duration_s: The duration of the phase, in seconds.
    :param load: Rate of requested tokens divided by the capacity of all engines.
    """

    duration_s: float
    load: float


@dataclass(frozen=True, kw_only=True)
class ModelWork:
    """Requests of one class to a model.

    :param max_tokens: Upper bound on the length of a response; the median length
        is a quarter of it.
    :param prompt_characters: The length of each prompt.
    :param phases: The phases of the load, one after another.
    :param stream_ratio: Share of the requests that ask for a streamed response.
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

    :param rate_per_s: The mean rate of calls per second.
    :param duration_s: The time during which calls are sent, in seconds.
    """

    service_class: ServiceClass
    service: str
    rate_per_s: float
    duration_s: float


@dataclass(frozen=True, kw_only=True)
class TeamLoad:
    """A team with its weight and its share of the requests."""

    name: str
    weight: float
    load_share: float


@dataclass(frozen=True, kw_only=True)
class PlannedRequest:
    """One request of the plan.

    :param at_s: When to send the request, in seconds from the start of the run.
    :param target: The name of the model or of the plain service.
    :param body: The JSON body of a model request; ``None`` for a plain service.
    :param instance_draw: A random number; modulo the number of instances, it
        selects the instance that receives the request.
    :param idempotency_key: The idempotency key; empty for a model request.
    """

    number: int
    at_s: float
    service_class: ServiceClass
    team: str
    target: str
    body: dict | None
    instance_draw: int
    idempotency_key: str = ""


def plan_load(
    *,
    model_work: Sequence[ModelWork],
    service_work: Sequence[ServiceWork],
    teams: Sequence[TeamLoad],
    capacity_tokens_per_s: float,
    seed: int,
) -> list[PlannedRequest]:
    """Plan all requests of a run.

    :param model_work: The requests to models.
    :param service_work: The calls to plain services.
    :param teams: The teams that send the requests.
    :param capacity_tokens_per_s: Tokens that all engines together generate in a
        second with full batches.
    :param seed: Equal seeds give equal plans.
    :returns: The requests, ordered by planned time.
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
                "instance_draw": generator.getrandbits(32),
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
            "instance_draw": generator.getrandbits(32),
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
    # Prompts of one group start with the same text, as prompts from the pages of one
    # application do. The rest of each prompt is different.
    group = generator.randrange(PROMPT_GROUPS)
    shared_length = int(work.prompt_characters * SHARED_PROMPT_RATIO)
    shared = _draw_text(random.Random(f"{team} {group}"), shared_length)
    unique = _draw_text(generator, work.prompt_characters - shared_length)
    return {
        "model": work.model,
        "messages": [
            {"role": "system", "content": shared},
            {"role": "user", "content": f"{unique} {generator.getrandbits(48)}"},
        ],
        "max_tokens": work.max_tokens,
        "stream": generator.random() < work.stream_ratio,
    }


def _draw_text(generator, length):
    words = generator.choices(WORDS, k=length // 6 + 1)
    return " ".join(words)[:length]


def _measure_mean_tokens(work, teams):
    generator = random.Random("mean")
    bodies = [
        _draw_body(work, teams[0].name, generator) for _ in range(MEAN_SAMPLE_SIZE)
    ]
    return sum(map(count_expected_tokens, bodies)) / MEAN_SAMPLE_SIZE
