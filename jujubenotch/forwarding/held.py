"""Sets aside upstreams that may get no request now, and refuses for want of others."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from jujubenotch.forwarding.limit import change_limit, skip_lapsed_openings
from jujubenotch.forwarding.permission import Hold, HoldReason, find_hold
from jujubenotch.forwarding.placement import UpstreamState
from jujubenotch.forwarding.wait import is_returning
from jujubenotch.logs import log_event
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.work import WorkRequest

logger = logging.getLogger(__name__)

MIN_RETRY_AFTER_S = 0.3
# Callers that are refused at the same time return within this share of the wait after
# it, not all at once.
RETRY_SPREAD_SHARE = 0.5
# Of the time that a caller has left: callers come back no later than after a third.
MAX_RETRY_SHARE = 0.2
REFUSAL_REASONS = {
    HoldReason.LEAVING: RefusalReason.NO_UPSTREAM,
    HoldReason.OTHER_VERSION: RefusalReason.VERSION_UNAVAILABLE,
    HoldReason.LIMIT: RefusalReason.UPSTREAM_LIMIT,
    HoldReason.WAIT: RefusalReason.UPSTREAM_WAIT,
    HoldReason.FULL: RefusalReason.UPSTREAM_FULL,
    HoldReason.UNRECORDED_VERSION: RefusalReason.NO_UPSTREAM,
}


@dataclass(frozen=True, kw_only=True)
class Availability:
    """The upstreams of a service, by whether they may get a request now.

    :param usable: The states of the upstreams to choose from.
    :param holds: Why the others may get none.
    """

    usable: list[UpstreamState]
    holds: list[Hold]


def find_availability(
    states: Sequence[UpstreamState],
    *,
    instances: int,
    draw: Callable[[], float],
    now_s: float,
    software_version: str | None = None,
    find_full_for_s: Callable[[UpstreamState], float] = lambda state: 0.0,
    held_versions: frozenset[str] = frozenset(),
) -> Availability:
    """Part the upstreams of a service by whether they may get a request now.

    An upstream whose time to wait has just ended is spared while another is usable.

    :param states: The upstreams' states; the next openings of limits are updated.
    :param instances: The number of instances that share the upstreams.
    :param draw: Returns a random number in [0, 1).
    :param now_s: The present time on a clock that includes suspended time, in seconds.
    :param software_version: The only version that may get the request; ``None`` when
        any may.
    :param find_full_for_s: Returns for how long an upstream has to be spared for want
        of room, in seconds; 0 when it need not be.
    :param held_versions: The versions that may not get the request for want of a
        record.
    """
    usable, returning, holds = [], [], []
    for state in states:
        _update_opening(state.statements.limit, instances, draw, now_s)
        hold = find_hold(
            state,
            software_version,
            now_s,
            full_for_s=find_full_for_s(state),
            held_versions=held_versions,
        )
        if hold is not None:
            holds.append(hold)
        elif is_returning(state.statements.wait, draw, now_s):
            returning.append(state)
        else:
            usable.append(state)
    return Availability(usable=usable or returning, holds=holds)


def _update_opening(limit, instances, draw, now_s):
    if limit is None:
        return
    change_limit(limit, limit.per_s, instances=instances, now_s=now_s)
    skip_lapsed_openings(limit, draw, now_s)


def refuse_held(
    request: WorkRequest,
    holds: Sequence[Hold],
    *,
    draw: float,
    left_s: float,
    now_s: float,
) -> Refusal:
    """Refuse a request because all upstreams of its service are held.

    :param request: The request.
    :param holds: The holds; at least one.
    :param draw: A random number in [0, 1).
    :param left_s: The time that the caller has left, in seconds.
    :param now_s: The present time on the clock of the holds, in seconds.
    :returns: The refusal, with the time at which the first hold ends.
    """
    first = min(
        holds,
        key=lambda hold: (hold.until_s, hold.reason is not HoldReason.OTHER_VERSION),
    )
    retry_after_s = _choose_retry_after_s(first, left_s, now_s)
    retry_after_s *= 1 + RETRY_SPREAD_SHARE * draw
    log_event(
        logger,
        logging.INFO,
        "upstreams-held",
        request_id=request.request_id,
        target=request.target,
        upstreams=len(holds),
        reason=first.reason,
        software_version=request.software_version,
        retry_after_s=round(retry_after_s, 3),
    )
    return Refusal(
        reason=REFUSAL_REASONS[first.reason],
        retry_after_s=retry_after_s,
        detail=f"the upstreams of {request.target} accept no more now; come back",
    )


def _choose_retry_after_s(first, left_s, now_s):
    if first.reason is HoldReason.OTHER_VERSION:
        # No upstream of the version serves any more, so no retry can succeed.
        return 0.0
    retry_after_s = MIN_RETRY_AFTER_S
    if first.reason is not HoldReason.LEAVING:
        retry_after_s = max(retry_after_s, first.until_s - now_s)
    return min(retry_after_s, MAX_RETRY_SHARE * max(0.0, left_s))
