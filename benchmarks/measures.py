"""Computes attainment, goodput, wasted work and fairness from request records."""

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
    """The measures of one service class.

    :param offered: Number of requests sent.
    :param wrong: Number of completed requests with an incorrect response.
    :param attainment: Share of all offered requests that received a complete and
        correct response within the targets of the class.
    :param attainment_of_admitted: The same share of the requests that were not
        refused.
    :param first_token_p95_s: 95th percentile over the streams that received a
        token; ``None`` if there are none.
    :param outcomes: Number of requests by outcome.
    :param reasons: Number of requests by the reason for a refusal or failure.
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
    """The measures of one team in the lowest tier.

    :param asked_tokens: Number of tokens in the correct responses to all requests.
    :param served_tokens: Number of tokens in complete and correct responses.
    :param served_ratio: Tokens served divided by tokens requested.
    """

    name: str
    weight: float
    asked_tokens: int
    served_tokens: int
    served_ratio: float


@dataclass(frozen=True, kw_only=True)
class Measures:
    """All measures of one run.

    :param elapsed_s: Time from the start of the run to the last response, in
        seconds.
    :param goodput_tokens_per_s: Tokens of complete and correct responses divided
        by the elapsed time.
    :param wasted_ratio: Share of the generated tokens that are not part of a
        complete and correct response; ``None`` if the number of generated tokens
        is unknown or 0.
    :param fairness: Jain's index of the served tokens divided by weight, among
        the teams whose demand was not met; 1 means an even share.
    :param refusal_p95_s: 95th percentile of the time from the planned time of a
        request to its refusal, in seconds; ``None`` without refusals.
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
    """Compute all measures of one run.

    :param records: The records of all requests.
    :param classes: The service classes with their targets.
    :param team_weights: The weight of each team, by the name of the team.
    :param generated_tokens: Number of tokens that all engines generated during the
        run; ``None`` if it is unknown.
    """
    useful_tokens = sum(each.tokens for each in records if is_completed_correctly(each))
    elapsed_s = max((each.at_s + each.total_s for each in records), default=0.0)
    teams = _measure_teams(records, team_weights)
    refusals = [each.total_s for each in records if each.outcome == NOT_RUN]
    wasted_ratio = None
    if generated_tokens:
        wasted_ratio = 1 - useful_tokens / generated_tokens
    return Measures(
        elapsed_s=elapsed_s,
        classes=[_measure_class(records, each) for each in classes],
        teams=teams,
        goodput_tokens_per_s=useful_tokens / elapsed_s if elapsed_s else 0.0,
        generated_tokens=generated_tokens,
        wasted_ratio=wasted_ratio,
        fairness=compute_fairness(teams),
        refusal_p95_s=find_quantile(refusals, 0.95),
    )


def is_completed_correctly(record: RequestRecord) -> bool:
    """Return whether a request received a complete and correct response.

    :param record: The record of the request.
    """
    return record.outcome == COMPLETED and record.is_right


def meets_targets(record: RequestRecord, service_class: ServiceClass) -> bool:
    """Return whether a request received a correct response within its targets.

    The time of the first token is unknown for a response that is not streamed.
    Such a response must arrive within the first-token target plus the
    between-tokens target for each of its tokens.

    :param record: The record of the request.
    :param service_class: The class of the request.
    """
    if not is_completed_correctly(record):
        return False
    first_target_s = service_class.first_token_target_s
    between_target_s = service_class.between_tokens_target_s
    if not record.is_stream:
        return record.total_s <= first_target_s + between_target_s * record.tokens
    between_s = record.between_tokens_s or 0.0
    return record.first_token_s <= first_target_s and between_s <= between_target_s


def compute_fairness(teams: Sequence[TeamMeasure]) -> float:
    """Compute Jain's fairness index among the teams whose demand was not met.

    :param teams: The measures of all teams.
    :returns: The index of the served tokens divided by weight; 1 when these are
        equal, or when the demand of fewer than two teams was not met.
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
    """Find a quantile of some values.

    :param values: The values, in any order.
    :param ratio: The quantile to find, between 0 and 1.
    :returns: The quantile, or ``None`` if there are no values.
    """
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]


def _measure_class(records, service_class):
    class_records = [
        each for each in records if each.service_class == service_class.name
    ]
    refused = sum(each.outcome == NOT_RUN for each in class_records)
    met = sum(meets_targets(each, service_class) for each in class_records)
    first = [
        each.first_token_s for each in class_records if each.first_token_s is not None
    ]
    between = [
        each.between_tokens_s
        for each in class_records
        if each.between_tokens_s is not None
    ]
    completed = [each for each in class_records if each.outcome == COMPLETED]
    return ClassMeasure(
        name=service_class.name,
        tier=service_class.tier,
        offered=len(class_records),
        completed=len(completed),
        wrong=sum(not each.is_right for each in completed),
        refused=refused,
        attainment=met / len(class_records) if class_records else 1.0,
        attainment_of_admitted=met / (len(class_records) - refused)
        if len(class_records) > refused
        else 1,
        first_token_p50_s=find_quantile(first, 0.5),
        first_token_p95_s=find_quantile(first, 0.95),
        between_tokens_p95_s=find_quantile(between, 0.95),
        outcomes=dict(Counter(each.outcome for each in class_records)),
        reasons=dict(Counter(each.reason for each in class_records if each.reason)),
    )


def _measure_teams(records, team_weights):
    lowest_tier = max((each.tier for each in records if not each.is_service), default=0)
    return [
        _measure_team(
            name,
            weight,
            [
                each
                for each in records
                if each.team == name and each.tier == lowest_tier
            ],
        )
        for name, weight in team_weights.items()
    ]


def _measure_team(name, weight, records):
    asked_tokens = sum(each.expected_tokens for each in records)
    served_tokens = sum(each.tokens for each in records if is_completed_correctly(each))
    return TeamMeasure(
        name=name,
        weight=weight,
        asked_tokens=asked_tokens,
        served_tokens=served_tokens,
        served_ratio=served_tokens / asked_tokens if asked_tokens else 1.0,
    )
