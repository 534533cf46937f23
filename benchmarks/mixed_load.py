"""Plans the mixed load of one user: queries, sorting, drafting and submissions."""

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.workload import ModelWork, Phase, ServiceWork
from jujubenotch.records import ServiceClass

QUERY_MAX_TOKENS = 200
SORTING_MAX_TOKENS = 80
QUERY_PROMPT_CHARACTERS = 800
SORTING_PROMPT_CHARACTERS = 1200
DRAFT_PROMPT_CHARACTERS = 4000
SORTING_STREAM_RATIO = 0.5


@dataclass(frozen=True, kw_only=True)
class MixedLoad:
    """The load of each kind of work over time.

    Each load is the rate of requested tokens divided by the capacity of all
    engines.

    :param duration_s: The time during which requests are sent, in seconds.
    :param burst_begin_s: When the drafting load rises from the base level to the
        burst level, in seconds from the start of the run.
    :param burst_end_s: When the drafting load falls back to the base level.
    :param submissions_per_s: Rate of non-idempotent calls to the plain service.
    :param draft_max_tokens: Upper bound on the length of a draft.
    """

    duration_s: float
    burst_begin_s: float
    burst_end_s: float
    query_load: float = 0.4
    sorting_load: float = 0.1
    base_draft_load: float = 0.3
    burst_draft_load: float = 3.0
    submissions_per_s: float = 5.0
    draft_max_tokens: int = 1600


def plan_model_work(
    load: MixedLoad, classes: Sequence[ServiceClass], model: str
) -> list[ModelWork]:
    """Plan the requests of one user to its model.

    :param load: The load of each kind of work.
    :param classes: The user's classes for queries, sorting and drafting.
    :param model: The name of the model.
    """
    query, sorting, draft = classes
    burst_s = load.burst_end_s - load.burst_begin_s
    return [
        ModelWork(
            service_class=query,
            model=model,
            max_tokens=QUERY_MAX_TOKENS,
            prompt_characters=QUERY_PROMPT_CHARACTERS,
            phases=(Phase(duration_s=load.duration_s, load=load.query_load),),
        ),
        ModelWork(
            service_class=sorting,
            model=model,
            max_tokens=SORTING_MAX_TOKENS,
            prompt_characters=SORTING_PROMPT_CHARACTERS,
            phases=(Phase(duration_s=load.duration_s, load=load.sorting_load),),
            stream_ratio=SORTING_STREAM_RATIO,
        ),
        ModelWork(
            service_class=draft,
            model=model,
            max_tokens=load.draft_max_tokens,
            prompt_characters=DRAFT_PROMPT_CHARACTERS,
            phases=(
                Phase(duration_s=load.burst_begin_s, load=load.base_draft_load),
                Phase(duration_s=burst_s, load=load.burst_draft_load),
                Phase(
                    duration_s=load.duration_s - load.burst_end_s,
                    load=load.base_draft_load,
                ),
            ),
        ),
    ]


def plan_submissions(
    load: MixedLoad, classes: Sequence[ServiceClass], service: str
) -> ServiceWork:
    """Plan the non-idempotent submissions of one user.

    :param load: The load of each kind of work.
    :param classes: The user's classes for queries, sorting and drafting.
    :param service: The name of the plain service.
    """
    _, sorting, _ = classes
    return ServiceWork(
        service_class=sorting,
        service=service,
        rate_per_s=load.submissions_per_s,
        duration_s=load.duration_s,
    )
