"""Applies the rules for brittle upstreams to the upstreams of each service."""

import functools
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from jujubenotch.forwarding.brittle import (
    SILENT_S,
    Brittleness,
    find_allowed,
    find_pause_s,
    is_in_force,
)
from jujubenotch.forwarding.placement import UpstreamState
from jujubenotch.logs import log_event
from jujubenotch.work import Unreadable, WorkRequest, WorkResult

logger = logging.getLogger(__name__)

# After these a brittle upstream is spared: it was full, or it has ended.
CAUTION_RESULTS = frozenset(
    {WorkResult.REFUSED, WorkResult.LOST, WorkResult.CONNECT_FAILED}
)
# When a brittle upstream without room is looked at again.
FULL_PAUSE_S = 0.3


@dataclass(kw_only=True)
class BrittleServices:
    """What the upstreams of each service have said of their brittleness.

    :param read_instance_count: Returns the number of instances that share them.
    :param draw: Returns a random number in [0, 1).
    """

    read_instance_count: Callable[[], int]
    draw: Callable[[], float]
    services: dict[str, Brittleness] = field(default_factory=dict)


def record_brittleness(
    brittle: BrittleServices,
    service: str,
    upstream: str,
    per_s: float | Unreadable | None,
    *,
    now_s: float,
) -> bool:
    """Record what an upstream says of its brittleness.

    :param brittle: What is known; changed in place.
    :param service: The upstream's service, whose other upstreams are the same.
    :param upstream: The upstream's name.
    :param per_s: How many requests a second it can turn away; ``None`` when it says
        nothing.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether the service was not taken for brittle before.
    """
    if not isinstance(per_s, float):
        return False
    before = brittle.services.get(service)
    if is_in_force(before, now_s):
        before.per_s = per_s
        before.read_s = now_s
        return False
    brittle.services[service] = Brittleness(per_s=per_s, named_s=now_s, read_s=now_s)
    log_event(
        logger,
        logging.INFO,
        "upstreams-brittle",
        service=service,
        upstream=upstream,
        bound_per_s=per_s,
    )
    return True


def make_room_check(
    brittle: BrittleServices,
    service: str,
    states: Sequence[UpstreamState],
    now_s: float,
) -> Callable[[UpstreamState], float]:
    """Make the function that tells for how long an upstream has no room.

    :param brittle: What is known of the services.
    :param service: The service.
    :param states: The states of its upstreams.
    :param now_s: The present monotonic time, in seconds.
    :returns: A function that returns a time in seconds; 0 when there is room.
    """
    brittleness = brittle.services.get(service)
    if not is_in_force(brittleness, now_s):
        return lambda state: 0.0
    instances = brittle.read_instance_count()
    if not any(state.reported_s is not None for state in states):
        return functools.partial(_find_full_by_share, instances, now_s)
    return functools.partial(
        _find_full_by_report, brittle, brittleness.per_s, instances, now_s
    )


def _find_full_by_share(instances, now_s, state):
    """Tell for how long an upstream that reports no load has to be spared."""
    if now_s < state.spared_until_s:
        return state.spared_until_s - now_s
    allowed = find_allowed(
        slots=state.slots, reported=0, own=0, instances=instances, draw=0.0
    )
    return 0.0 if state.running < max(1, allowed) else FULL_PAUSE_S


def _find_full_by_report(brittle, per_s, instances, now_s, state):
    if now_s < state.spared_until_s:
        return state.spared_until_s - now_s
    if _is_unheard(state, now_s):
        if not state.spared_until_s:
            # The instances don't all try the upstream when they learn of it.
            pause_s = 2 * brittle.draw() * find_pause_s(per_s, instances, 0.0)
            state.spared_until_s = now_s + pause_s
        return max(0.0, state.spared_until_s - now_s)
    allowed = find_allowed(
        slots=state.slots,
        reported=state.reported,
        own=state.running_at_report,
        instances=instances,
        draw=state.report_draw,
    )
    return 0.0 if state.running < allowed else FULL_PAUSE_S


def _is_unheard(state, now_s):
    """Return whether nothing recent is known of a brittle upstream's load."""
    if state.running:
        return False
    return state.reported_s is None or now_s - state.reported_s >= SILENT_S


def spare_if_unheard(
    brittle: BrittleServices,
    state: UpstreamState,
    request: WorkRequest,
    *,
    now_s: float,
) -> None:
    """Make a pause after a request that goes to an upstream of unknown load.

    :param brittle: What is known of the services.
    :param state: The upstream's state before the request; changed in place.
    :param request: The request.
    :param now_s: The present monotonic time, in seconds.
    """
    if _is_unheard(state, now_s):
        _spare(brittle, state, request, now_s)


def spare_after(
    brittle: BrittleServices,
    state: UpstreamState,
    request: WorkRequest,
    result: WorkResult,
    *,
    now_s: float,
) -> None:
    """Make a pause after a request that a brittle upstream did not run.

    :param brittle: What is known of the services.
    :param state: The upstream's state; changed in place.
    :param request: The request.
    :param result: How it ended.
    :param now_s: The present monotonic time, in seconds.
    """
    if result in CAUTION_RESULTS:
        _spare(brittle, state, request, now_s)


def _spare(brittle, state, request, now_s):
    brittleness = brittle.services.get(request.target)
    if not is_in_force(brittleness, now_s):
        return
    instances = brittle.read_instance_count()
    pause_s = find_pause_s(brittleness.per_s, instances, brittle.draw())
    state.spared_until_s = now_s + pause_s
    # Requests that have ended since the last report are not replaced by new ones.
    state.running_at_report = min(state.running_at_report, state.running)
    log_event(
        logger,
        logging.INFO,
        "upstream-spared",
        upstream=state.name,
        request_id=request.request_id,
        bound_per_s=brittleness.per_s,
        pause_s=round(pause_s, 3),
    )
