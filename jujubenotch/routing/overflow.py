"""Decides whether another data centre serves a request sooner than this one."""

from collections.abc import Sequence
from dataclasses import dataclass

from jujubenotch.estimates import draw_fraction
from jujubenotch.work import PoolSummary, WorkRequest

MAX_AGE_S = 5.0
MIN_GAIN_S = 0.05
MIN_GAIN_RATIO = 0.5
ROUND_TRIPS = 2


@dataclass(frozen=True, kw_only=True)
class RemoteGroup:
    """A group of another data centre that serves the same target.

    :param summary: Its account, as last heard of.
    :param age_s: How old the summary is, in seconds.
    :param delay_s: One-way delay to the data centre, in seconds.
    """

    data_centre: str
    summary: PoolSummary
    age_s: float
    delay_s: float


def choose_data_centre(
    request: WorkRequest, local: PoolSummary, remotes: Sequence[RemoteGroup]
) -> str:
    """Choose the data centre that a request waits in.

    Going away costs the way there and back, twice for the grant and the work
    itself, and what may have joined the queue since the summary was made. It
    must save a good part of the wait at home, so that two data centres don't
    send each other their work. A summary that is too old counts for nothing.

    All instances read the same summary, so that a group with a few free slots
    would be flooded: a lot drawn from the request's id lets through only the
    part of the requests that corresponds to the part of slots that is free,
    not counting what lower tiers wait for and hold.

    :param request: The request.
    :param local: The account of its group in this data centre.
    :param remotes: The same target's groups elsewhere.
    :returns: The data centre's name; empty to wait here.
    """
    local_wait_s = local.wait_s[request.tier]
    best_name = ""
    best_s = local_wait_s - max(MIN_GAIN_S, MIN_GAIN_RATIO * local_wait_s)
    for remote in sorted(remotes, key=lambda one: one.data_centre):
        cost_s = estimate_remote_s(remote, request.tier)
        if cost_s is None or cost_s > best_s:
            continue
        if _draws_out(request, remote):
            continue
        best_name = remote.data_centre
        best_s = cost_s
    return best_name


def estimate_remote_s(remote: RemoteGroup, tier: int) -> float | None:
    """Estimate how long a request waits for its answer's start elsewhere.

    :param remote: The group.
    :param tier: The request's tier.
    :returns: Seconds beyond what the work itself takes; ``None`` when nothing
        is known.
    """
    if remote.age_s > MAX_AGE_S:
        return None
    way_s = ROUND_TRIPS * 2 * remote.delay_s
    growth = 1 + remote.age_s / MAX_AGE_S
    return way_s + remote.summary.wait_s[tier] * growth


def _draws_out(request, remote):
    """Tell whether the lot keeps a request from a remote group's few slots."""
    summary = remote.summary
    tiers = slice(request.tier + 1)
    taken = sum(summary.queued[tiers]) + sum(summary.in_progress[tiers])
    slots = summary.free_slots + taken
    if not summary.free_slots:
        return False
    lot = draw_fraction(f"{request.request_id}/{remote.data_centre}")
    return lot > summary.free_slots / slots
