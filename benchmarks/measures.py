"""Sums up what callers were told: attainment, goodput, waste and fairness."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from benchmarks.callers import RequestRecord
from jujubenotch.records import ServiceClass

COMPLETED = "completed"
NOT_RUN = "not-run"
UNMET_DEMAND_RATIO = 0.95


@dataclass(frozen=True, kw_only=True)
class ClassMeasure:
    """How one class fared.

    :param attainment: Share of all offered requests that were answered wholly
        and rightly within the class's targets.
    :param attainment_of_admitted: The same share of those not refused.
    :param first_token_p95_s: Of the streams that gave a token; ``None`` when
        there is none.
    """

    name: str
    tier: int
    offered: int
    completed: int
    wrong: int
    refused: int
    attainment: float
    attainment_of_admitted: float
    first_token_p50_s: float | None
    first_token_p95_s: float | None
    between_tokens_p95_s: float | None
    outcomes: dict[str, int]
    reasons: dict[str, int]


@dataclass(frozen=True, kw_only=True)
class TeamMeasure:
    """How one team fared in the lowest tier.

    :param served_ratio: Tokens served, relative to tokens asked for.
    """

    name: str
    weight: float
    asked_tokens: int
    served_tokens: int
    served_ratio: float


@dataclass(frozen=True, kw_only=True)
class Measures:
    """All measures of one run.

    :param goodput_tokens_per_s: Tokens of whole and right answers, over the
        time from the first request to the last answer.
    :param wasted_ratio: Share of the generated tokens that are not part of a
        whole and right answer; ``None`` without the engines' statistics.
    :param fairness: Jain's index of tokens served by weight among the teams
        that did not get all they asked for; 1 is even.
    :param refusal_p95_s: Time that a refusal took.
    """

    elapsed_s: float
    classes: list[ClassMeasure]
    teams: list[TeamMeasure]
    goodput_tokens_per_s: float
    generated_tokens: int | None
    wasted_ratio: float | None
    fairness: float
    refusal_p95_s: float | None


def measure_run(
    records: Sequence[RequestRecord],
    *,
    classes: Sequence[ServiceClass],
    team_weights: Mapping[str, float],
    generated_tokens: int | None = None,
) -> Measures:
    """Sum up a run.

    :param records: What each caller was told.
    :param classes: The classes with their targets.
    :param team_weights: Weights by the team's name.
    :param generated_tokens: Tokens that all engines generated in the run.
    """
    useful = sum(each.tokens for each in records if is_good(each))
    elapsed_s = max((each.at_s + each.total_s for each in records), default=0.0)
    teams = _measure_teams(records, team_weights)
    refusals = [each.total_s for each in records if each.outcome == NOT_RUN]
    wasted = None
    if generated_tokens:
        wasted = 1 - useful / generated_tokens
    return Measures(
        elapsed_s=elapsed_s,
        classes=[_measure_class(records, each) for each in classes],
        teams=teams,
        goodput_tokens_per_s=useful / elapsed_s if elapsed_s else 0.0,
        generated_tokens=generated_tokens,
        wasted_ratio=wasted,
        fairness=compute_fairness(teams),
        refusal_p95_s=find_quantile(refusals, 0.95),
    )


def is_good(record: RequestRecord) -> bool:
    """Return whether a request was answered wholly and rightly.

    :param record: What its caller was told.
    """
    return record.outcome == COMPLETED and record.is_right


def meets_targets(record: RequestRecord, service_class: ServiceClass) -> bool:
    """Return whether a request was answered well and in time.

    A whole answer of a model shows no first token; it must come within the
    time that its tokens may take.

    :param record: What its caller was told.
    :param service_class: Its class.
    """
    if not is_good(record):
        return False
    first_target_s = service_class.first_token_target_s
    between_target_s = service_class.between_tokens_target_s
    if not record.is_stream:
        return record.total_s <= first_target_s + between_target_s * record.tokens
    between_s = record.between_tokens_s or 0.0
    return record.first_token_s <= first_target_s and between_s <= between_target_s


def compute_fairness(teams: Sequence[TeamMeasure]) -> float:
    """Compute Jain's index among teams that wanted more than they got.

    :param teams: The teams' measures.
    :returns: 1 when service by weight is even, or fewer than two wanted more.
    """
    shares = [
        team.served_tokens / team.weight
        for team in teams
        if team.asked_tokens and team.served_ratio < UNMET_DEMAND_RATIO
    ]
    squares = sum(share * share for share in shares)
    if len(shares) < 2 or squares == 0:
        return 1.0
    return sum(shares) ** 2 / (len(shares) * squares)


def find_quantile(values: Sequence[float], ratio: float) -> float | None:
    """Find a quantile; ``None`` of no values.

    :param values: In any order.
    :param ratio: Between 0 and 1.
    """
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]


def _measure_class(records, service_class):
    own = [each for each in records if each.service_class == service_class.name]
    refused = sum(each.outcome == NOT_RUN for each in own)
    met = sum(meets_targets(each, service_class) for each in own)
    first = [e.first_token_s for e in own if e.first_token_s is not None]
    between = [e.between_tokens_s for e in own if e.between_tokens_s is not None]
    completed = [each for each in own if each.outcome == COMPLETED]
    return ClassMeasure(
        name=service_class.name,
        tier=service_class.tier,
        offered=len(own),
        completed=len(completed),
        wrong=sum(not each.is_right for each in completed),
        refused=refused,
        attainment=met / len(own) if own else 1.0,
        attainment_of_admitted=met / (len(own) - refused) if len(own) > refused else 1,
        first_token_p50_s=find_quantile(first, 0.5),
        first_token_p95_s=find_quantile(first, 0.95),
        between_tokens_p95_s=find_quantile(between, 0.95),
        outcomes=dict(Counter(each.outcome for each in own)),
        reasons=dict(Counter(each.reason for each in own if each.reason)),
    )


def _measure_teams(records, team_weights):
    lowest = max((each.tier for each in records if not each.is_service), default=0)
    return [
        _measure_team(
            name,
            weight,
            [r for r in records if r.team == name and r.tier == lowest],
        )
        for name, weight in team_weights.items()
    ]


def _measure_team(name, weight, records):
    asked = sum(each.expected_tokens for each in records)
    served = sum(each.tokens for each in records if is_good(each))
    return TeamMeasure(
        name=name,
        weight=weight,
        asked_tokens=asked,
        served_tokens=served,
        served_ratio=served / asked if asked else 1.0,
    )
