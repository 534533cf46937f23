"""Plans the mixed work of a user: queries, sorting, drafting and submissions."""

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
    """How much of each kind of work comes, and when.

    Loads are tokens relative to the capacity of all engines.

    :param burst_begin_s: When drafting rises from its base to its burst.
    :param burst_end_s: When it falls again.
    :param submissions_per_s: Non-idempotent calls of the plain service.
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
    """Plan a user's requests to its model.

    :param load: How much comes.
    :param classes: Its classes of queries, sorting and drafting.
    :param model: The model.
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
    """Plan a user's non-idempotent submissions.

    :param load: How much comes.
    :param classes: Its classes of queries, sorting and drafting.
    :param service: The plain service.
    """
    _, sorting, _ = classes
    return ServiceWork(
        service_class=sorting,
        service=service,
        rate_per_s=load.submissions_per_s,
        duration_s=load.duration_s,
    )
