"""Tells where a request would go now, and why, without sending it."""

import copy
from dataclasses import dataclass

from jujubenotch.forwarding.capacity import DirectCapacity
from jujubenotch.forwarding.listing import UpstreamListing
from jujubenotch.forwarding.permission import find_hold
from jujubenotch.forwarding.placement import estimate_load
from jujubenotch.outcomes import Refusal
from jujubenotch.routing import is_ejected
from jujubenotch.work import Grant, WorkRequest


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """One upstream of the service, as this instance knows it.

    :param load: The estimated number of requests of all instances on it.
    :param report_age_s: Age of its last load report, in seconds; ``None`` without one.
    :param excluded_by: What excludes it; empty when it could get the request.
    :param held_s: For how long it is held, in seconds; 0 when it isn't, infinite when
        nothing is known to end the hold.
    """

    name: str
    data_centre: str
    software_version: str
    slots: int
    load: float
    report_age_s: float | None
    excluded_by: str
    held_s: float


@dataclass(frozen=True, kw_only=True)
class Preview:
    """Where a request would go.

    :param result: The grant or the refusal that the request would get.
    :param candidates: The upstreams of its service, by name.
    """

    result: Grant | Refusal
    candidates: tuple[Candidate, ...]


async def preview_choice(
    capacity: DirectCapacity,
    listing: UpstreamListing,
    request: WorkRequest,
    *,
    now_s: float,
    listing_s: float,
) -> Preview:
    """Decide on a request as ``acquire`` would, and change nothing.

    The decision is taken on a copy of the state that decisions change. Where it
    contains a random draw, the next request may go elsewhere.

    :param capacity: The capacity.
    :param listing: The known upstreams.
    :param request: The request.
    :param now_s: The present monotonic time, in seconds.
    :param listing_s: The present time on the listing's clock, in seconds.
    """
    trial = capacity.copy_state()
    candidates = tuple(
        _describe(trial, known, request, now_s, listing_s)
        for _, known in sorted(listing.upstreams.items())
        if known.listed.service == request.target
    )
    return Preview(result=await trial.acquire(request), candidates=candidates)


def _describe(trial, known, request, now_s, listing_s):
    listed = known.listed
    state = copy.copy(trial.states.add(listed))
    hold = find_hold(state, request.software_version, listing_s)
    return Candidate(
        name=listed.name,
        data_centre=listed.data_centre,
        software_version=listed.software_version,
        slots=listed.slots,
        load=round(estimate_load(state, now_s), 2),
        report_age_s=(
            None if state.reported_s is None else round(now_s - state.reported_s, 3)
        ),
        excluded_by=_find_exclusion(known, state, hold, now_s, listing_s),
        held_s=max(0.0, hold.until_s - listing_s) if hold else 0.0,
    )


def _find_exclusion(known, state, hold, now_s, listing_s):
    if known.listed.is_leaving:
        return "leaving"
    if listing_s < known.usable_from_s:
        return "unconfirmed-after-restore"
    if known.usable_until_s is not None:
        return "" if listing_s < known.usable_until_s else "unlisted"
    if hold is not None:
        return str(hold.reason)
    return "ejected" if is_ejected(state.health, now_s) else ""
