"""Decides whether another data centre would serve a request sooner."""

from collections.abc import Sequence
from dataclasses import dataclass

from jujubenotch.estimates import hash_to_fraction
from jujubenotch.work import PoolSummary, WorkRequest

MAX_SUMMARY_AGE_S = 5.0
MIN_GAIN_S = 0.05
MIN_GAIN_RATIO = 0.5
ROUND_TRIPS = 2


@dataclass(frozen=True, kw_only=True)
class RemoteGroup:
    """A group of upstreams in another data centre that serves the same target.

    :param data_centre: The name of the other data centre.
    :param summary: The group's most recently received summary.
    :param age_s: The age of the summary, in seconds.
    :param delay_s: The one-way network delay to the data centre, in seconds.
    """

    data_centre: str
    summary: PoolSummary
    age_s: float
    delay_s: float


def choose_data_centre(
    request: WorkRequest, local: PoolSummary, remotes: Sequence[RemoteGroup]
) -> str:
    """Choose the data centre in whose queue a request waits.

    The cost of another data centre is two network round trips, one for the grant
    and one for the request itself, plus its queue wait. The wait is scaled up
    with the age of the summary, because requests may have joined the queue in
    the meantime.
    The request goes there only if this saves a large part of the local wait, so
    that two data centres don't send their requests to each other. A summary that
    is too old is ignored.

    All instances read the same summary, so a group with a few free slots could
    get far more requests than it has slots. A hash of the request's identifier
    therefore selects only a share of the requests, equal to the share of slots
    that are free. Queued and running requests of less urgent tiers don't count
    in that share.

    :param request: The request.
    :param local: The summary of the request's group in this data centre.
    :param remotes: The groups of the same target in other data centres.
    :returns: The data centre's name; empty to wait in this data centre.
    """
    local_wait_s = local.wait_s[request.tier]
    best_name = ""
    best_s = local_wait_s - max(MIN_GAIN_S, MIN_GAIN_RATIO * local_wait_s)
    for remote in sorted(remotes, key=lambda each: each.data_centre):
        cost_s = estimate_remote_wait_s(remote, request.tier)
        if cost_s is None or cost_s > best_s:
            continue
        if _is_sampled_out(request, remote):
            continue
        best_name = remote.data_centre
        best_s = cost_s
    return best_name


def estimate_remote_wait_s(remote: RemoteGroup, tier: int) -> float | None:
    """Estimate the extra time until an answer starts in another data centre.

    :param remote: The group in the other data centre.
    :param tier: The request's tier.
    :returns: The queue wait and the network round trips, in seconds; ``None``
        when the summary is too old.
    """
    if remote.age_s > MAX_SUMMARY_AGE_S:
        return None
    network_s = ROUND_TRIPS * 2 * remote.delay_s
    wait_growth = 1 + remote.age_s / MAX_SUMMARY_AGE_S
    return network_s + remote.summary.wait_s[tier] * wait_growth


def _is_sampled_out(request, remote):
    """Return whether sampling keeps a request away from a remote group."""
    summary = remote.summary
    tiers = slice(request.tier + 1)
    taken = sum(summary.queued[tiers]) + sum(summary.in_progress[tiers])
    slots = summary.free_slots + taken
    if not summary.free_slots:
        return False
    sample = hash_to_fraction(f"{request.request_id}/{remote.data_centre}")
    return sample > summary.free_slots / slots
