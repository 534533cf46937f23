"""Places requests by what is learned about upstreams that report their pace."""

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from jujubenotch.forwarding.division import rank_names
from jujubenotch.forwarding.placement import (
    REPORT_HALF_LIFE_S,
    Choice,
    UpstreamState,
)
from jujubenotch.logs import log_event
from jujubenotch.pace import (
    Candidate,
    FirstToken,
    Need,
    ServicePace,
    choose_by_wait,
    clip_pace,
    is_credit,
    is_learned,
    rank_fastest_first,
    read_limit,
    read_slowness,
    record_first_token,
    record_pace,
    record_stream,
)
from jujubenotch.work import (
    ChoiceBasis,
    LoadReport,
    WorkReport,
    WorkRequest,
    WorkResult,
)

logger = logging.getLogger(__name__)

# Reports older than this hardly count for the service's mean load.
MEAN_HALF_LIFE_S = 3.0
# Long prompts may use an upstream for short ones that has at most this ratio of
# requests to its limit; the rest stays free for short prompts.
SPARE_FILL = 0.5
# They do so from this mean ratio on at their own upstreams.
SPILL_FILL = 0.8


@dataclass(kw_only=True)
class LearnedServices:
    """What is learned, by service; services that report no pace are not in it."""

    services: dict[str, ServicePace] = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class Observation:
    """What was observed of one request so far.

    :param read_tokens: The tokens that the upstream was expected to read.
    :param fill: The requests on the upstream at the first token, as a multiple of its
        slots; ``None`` before.
    :param credit: The first token, while it still has to be shown that the stream
        doesn't fail.
    """

    read_tokens: float
    fill: float | None = None
    credit: FirstToken | None = None


def find_learned(
    learned: LearnedServices, service: str, now_s: float
) -> ServicePace | None:
    """Return what is learned about a service.

    :param learned: What is learned.
    :param service: The service's name.
    :param now_s: The present monotonic time, in seconds.
    :returns: ``None`` when the service's upstreams don't report their pace.
    """
    found = learned.services.get(service)
    return found if found is not None and is_learned(found, now_s) else None


def record_learned_report(
    learned: LearnedServices, service: str, name: str, report: LoadReport, now_s: float
) -> None:
    """Record the pace in an upstream's load report, if there is one.

    :param learned: What is learned; changed in place.
    :param service: The upstream's service.
    :param name: The upstream's name.
    :param report: The report.
    :param now_s: The present monotonic time, in seconds.
    """
    if report.pace is None:
        return
    if service not in learned.services:
        learned.services[service] = ServicePace()
        log_event(logger, logging.INFO, "capacity-learned", service=service)
    found = learned.services[service]
    record_pace(found, name, report.pace, now_s - report.age_s, now_s)


def forget_learned(learned: LearnedServices, names: Iterable[str]) -> None:
    """Discard what was learned about upstreams that are no longer listed.

    :param learned: What is learned; changed in place.
    :param names: The upstreams' names.
    """
    for service in learned.services.values():
        for name in names:
            service.upstreams.pop(name, None)


def rank_for_short(
    learned: LearnedServices, service: str, names: Sequence[str], now_s: float
) -> list[str] | None:
    """Rank upstreams for short prompts, whose streams must not pause; fast ones first.

    :param learned: What is learned.
    :param service: The service's name.
    :param names: The upstreams' names.
    :param now_s: The present monotonic time, in seconds.
    :returns: The ranking; ``None`` when nothing is learned about the service.
    """
    found = find_learned(learned, service, now_s)
    return None if found is None else rank_fastest_first(found, rank_names(names))


def estimate_present_load(
    state: UpstreamState, mean_fill: float, now_s: float
) -> float:
    """Estimate the requests of all instances on an upstream.

    With the age of the report the part of the other instances moves towards their mean
    on the service's upstreams, not towards nothing: where each instance sees few
    responses, an upstream whose report is old would otherwise look idle.

    :param state: The upstream's state.
    :param mean_fill: The other instances' requests as a multiple of the slots, mean of
        the service.
    :param now_s: The present monotonic time, in seconds.
    """
    mean = mean_fill * state.slots
    if state.reported_s is None:
        return state.running + mean
    others = max(0, state.reported - state.running_at_report)
    share = 0.5 ** (max(0.0, now_s - state.reported_s) / REPORT_HALF_LIFE_S)
    return state.running + mean + (others - mean) * share


def find_mean_fill(states: Sequence[UpstreamState], now_s: float) -> float:
    """Return the mean of the other instances' requests by slots.

    :param states: The states of the service's upstreams.
    :param now_s: The present monotonic time, in seconds.
    """
    requests = slots = 0.0
    for state in states:
        if state.reported_s is not None:
            age_s = max(0.0, now_s - state.reported_s)
            weight = 0.5 ** (age_s / MEAN_HALF_LIFE_S)
            requests += weight * max(0, state.reported - state.running_at_report)
            slots += weight * state.slots
    return requests / slots if slots else 0.0


def choose_learned(
    service: ServicePace,
    candidates: Sequence[UpstreamState],
    request: WorkRequest,
    *,
    prefix_key: str,
    spare: Sequence[UpstreamState],
    draw: Callable[[], float],
    now_s: float,
) -> tuple[Choice, Observation]:
    """Choose the upstream of a request by the expected time to its first token.

    :param service: What is learned about the service.
    :param candidates: The states of the upstreams to choose from; at least one.
    :param request: The request.
    :param prefix_key: The key by which the request is placed; may be empty.
    :param spare: The states of upstreams that may get it when those are nearly full.
    :param draw: Returns a random number in [0, 1).
    :param now_s: The present monotonic time, in seconds.
    """
    mean_fill = find_mean_fill([*candidates, *spare], now_s)
    by_name = {state.name: state for state in (*candidates, *spare)}
    loads = {
        name: estimate_present_load(state, mean_fill, now_s)
        for name, state in by_name.items()
    }
    usual = [_make_candidate(state, loads) for state in candidates]
    choice = choose_by_wait(
        service,
        usual,
        Need(
            prefix_key=prefix_key,
            prompt_tokens=request.prompt_tokens,
            prefix_tokens=request.prefix_tokens,
            route=request.service_class,
            first_token_target_s=request.first_token_by_s - request.arrived_s,
            gap_target_s=request.between_tokens_target_s,
        ),
        draw=draw,
        now_s=now_s,
        spare=_find_spare(
            service,
            usual,
            [_make_candidate(state, loads) for state in spare],
            now_s,
        ),
    )
    _log_changes(service, by_name, now_s)
    state = by_name[choice.name]
    reported_s = state.reported_s
    basis = ChoiceBasis(
        load=loads[state.name],
        lowest_load=min(loads.values()),
        report_age_s=None if reported_s is None else now_s - reported_s,
        candidates=len(loads),
        prefix_rank=choice.prefix_rank,
        expected_first_s=choice.expected_s,
        slowness=read_slowness(service, state.name, now_s),
        concurrency_limit=read_limit(service, state.name, state.slots, now_s),
    )
    return (
        Choice(state=state, basis=basis),
        Observation(read_tokens=choice.read_tokens),
    )


def _log_changes(service, by_name, now_s):
    """Log the candidates whose speed class has changed since it was logged last."""
    if not service.has_class_changes:
        return
    service.has_class_changes = False
    for name, state in by_name.items():
        upstream = service.upstreams.get(name)
        if upstream is None or upstream.speed_class == upstream.logged_class:
            continue
        upstream.logged_class = upstream.speed_class
        log_event(
            logger,
            logging.INFO,
            "upstream-speed-changed",
            upstream=name,
            slowness=round(read_slowness(service, name, now_s), 2),
            limit=round(read_limit(service, name, state.slots, now_s), 1),
            speed_class=upstream.speed_class,
        )


def _make_candidate(state, loads):
    return Candidate(name=state.name, load=loads[state.name], slots=state.slots)


def _find_spare(service, usual, others, now_s):
    """Return those of the other upstreams that may get a request as well."""
    if not others:
        return []
    limits = {
        candidate.name: read_limit(service, candidate.name, candidate.slots, now_s)
        for candidate in (*usual, *others)
    }
    load = sum(candidate.load for candidate in usual)
    if load < SPILL_FILL * sum(limits[candidate.name] for candidate in usual):
        return []
    return [
        candidate
        for candidate in others
        if candidate.load <= SPARE_FILL * limits[candidate.name]
    ]


def observe_first_event(
    service: ServicePace,
    observation: Observation,
    state: UpstreamState,
    request: WorkRequest,
    *,
    granted_s: float,
    now_s: float,
) -> None:
    """Learn from the first event of a stream.

    :param service: What is learned about the service; changed in place.
    :param observation: What was observed of the request; changed in place.
    :param state: The upstream's state, with the report in the same response.
    :param request: The request.
    :param granted_s: When the request was granted, monotonic, in seconds.
    :param now_s: The present monotonic time, in seconds.
    """
    observation.fill = state.reported / max(1, state.slots)
    first = FirstToken(
        upstream=state.name,
        tokens=observation.read_tokens,
        took_s=now_s - granted_s,
        load=state.reported,
        waiting=state.reported_waiting,
        slots=state.slots,
        pace=clip_pace(state.reported_pace or 1.0),
        target_s=request.first_token_by_s - request.arrived_s,
    )
    if is_credit(service, first, now_s):
        observation.credit = first
    else:
        record_first_token(service, first, now_s)


def observe_end(
    service: ServicePace,
    observation: Observation,
    state: UpstreamState,
    request: WorkRequest,
    report: WorkReport,
    *,
    granted_s: float,
    now_s: float,
) -> None:
    """Learn from a request that has ended.

    :param service: What is learned about the service; changed in place.
    :param observation: What was observed of the request.
    :param state: The upstream's state.
    :param request: The request.
    :param report: How the request ended.
    :param granted_s: When the request was granted, monotonic, in seconds.
    :param now_s: The present monotonic time, in seconds.
    """
    if report.result is not WorkResult.COMPLETED or observation.fill is None:
        return
    if observation.credit is not None:
        record_first_token(service, observation.credit, now_s)
    record_stream(
        service,
        state.name,
        route=request.service_class,
        fill=observation.fill,
        gap_s=report.between_tokens_s,
        hold_s=now_s - granted_s,
        now_s=now_s,
    )
