"""Chooses among the upstreams that have a free slot for a request."""

from collections.abc import Sequence
from typing import Protocol

from jujubenotch.estimates import hash_to_fraction
from jujubenotch.routing.affinity import (
    PrefixAffinity,
    estimate_gain_s,
    find_prefix_upstream,
)
from jujubenotch.routing.speed import (
    ExternalLoad,
    ObservedLatency,
    estimate_latency_s,
    read_external_running,
)
from jujubenotch.work import WorkRequest

MAX_LOAD_RATIO = 1.25
TIE_RATIO = 0.01


class Candidate(Protocol):
    """An upstream with a free slot.

    :param capacity: Requests that the upstream may run at present; at least 1.
    :param running: Running requests that this instance's slot allocation contains.
    :param latency: The upstream's observed latency.
    :param external_load: The requests on the upstream that the slot allocation doesn't
        contain.
    """

    name: str
    capacity: int
    running: int
    latency: ObservedLatency
    external_load: ExternalLoad


def choose_upstream(
    candidates: Sequence[Candidate],
    request: WorkRequest,
    *,
    affinity: PrefixAffinity,
    group_latency: ObservedLatency,
    now_s: float,
) -> Candidate | None:
    """Choose the upstream that is expected to send the first token soonest.

    Upstreams on which the request has failed are used only when no other has a
    free slot. The upstream that holds the request's prefix in its cache gets a
    bonus equal to the measured time saving, or a small one while the saving is
    unknown. It gets none when its load is well above the mean.

    :param candidates: The upstreams with a free slot; none of them is leaving.
    :param request: The request.
    :param affinity: The upstreams that recent prefixes were sent to.
    :param group_latency: The observed latency of the whole group.
    :param now_s: The present monotonic time, in seconds.
    :returns: The upstream; ``None`` when there is no candidate.
    """
    excluded = request.excluded_upstreams
    preferred = [each for each in candidates if each.name not in excluded] or candidates
    if len(preferred) < 2:
        return preferred[0] if preferred else None
    start = int(hash_to_fraction(request.request_id) * len(preferred))
    rotated = [*preferred[start:], *preferred[:start]]
    costs_s = [_estimate_first_token_s(each, group_latency, now_s) for each in rotated]
    best_s = min(costs_s)
    best = rotated[costs_s.index(best_s)]
    affine_name = find_prefix_upstream(affinity, request.prefix_key)
    for candidate, cost_s in zip(rotated, costs_s, strict=True):
        if candidate.name == affine_name:
            gain_s = estimate_gain_s(affinity)
            gain_s = TIE_RATIO * best_s if gain_s is None else gain_s
            if cost_s - gain_s <= best_s and _is_load_within_limit(
                candidate, rotated, now_s
            ):
                return candidate
    return best


def _estimate_first_token_s(candidate, group_latency, now_s):
    latency_s = estimate_latency_s(candidate.latency, group_latency, now_s)
    return latency_s * (1 + _compute_load(candidate, now_s))


def _compute_load(candidate, now_s):
    running = candidate.running + read_external_running(candidate.external_load, now_s)
    return running / candidate.capacity


def _is_load_within_limit(candidate, candidates, now_s):
    """Apply the load limit of consistent hashing with bounded loads."""
    mean = sum(_compute_load(each, now_s) for each in candidates) / len(candidates)
    return (
        _compute_load(candidate, now_s)
        <= MAX_LOAD_RATIO * mean + 1 / candidate.capacity
    )
