"""Decides whether a peer in another data centre would serve a request sooner."""

from dataclasses import dataclass

from jujubenotch.admission import summarise
from jujubenotch.capacity.peered_model import PeeredState
from jujubenotch.capacity.slot_source import SlotSource
from jujubenotch.peers import HEARTBEAT_INTERVAL_S, OutgoingLink
from jujubenotch.records import Configuration
from jujubenotch.routing import RemoteGroup, choose_data_centre, group_upstreams
from jujubenotch.work import PoolSummary, WorkRequest

SUMMARY_VALID_S = 0.05
MIN_WAIT_BOUND_S = 1.0
WAIT_BOUND_RATIO = 2.0


@dataclass(frozen=True, kw_only=True)
class RemoteOffer:
    """A peer in another data centre that a request can be sent to.

    :param source: The slot source at the peer.
    :param group: The group in the other data centre that serves the target.
    :param wait_bound_s: The maximum time to wait there before the request is
        submitted in this data centre, in seconds.
    """

    source: SlotSource
    group: str
    wait_bound_s: float


def list_remote_groups(
    configuration: Configuration, data_centre: str
) -> dict[str, dict[str, str]]:
    """List the groups of all other data centres by target.

    :param configuration: The current configuration.
    :param data_centre: The name of this data centre.
    :returns: For each other data centre, the name of the group that serves each
        target.
    """
    names = {upstream.data_centre for upstream in configuration.upstreams.values()}
    return {
        name: group_upstreams(configuration, name).group_by_target
        for name in names - {data_centre}
    }


def choose_remote_offer(
    state: PeeredState, request: WorkRequest, now_s: float
) -> RemoteOffer | None:
    """Choose a peer in another data centre that would serve a request sooner.

    :param state: The instance's state.
    :param request: The request.
    :param now_s: The current monotonic time, in seconds.
    :returns: The peer; ``None`` if the request should wait in this data centre.
    """
    offers = list(_list_offers(state, request, now_s))
    local = _read_local_summary(state, request.target, now_s) if offers else None
    if local is None:
        return None
    chosen = choose_data_centre(request, local, [remote for remote, _ in offers])
    for remote, offer in offers:
        if remote.data_centre == chosen:
            return offer
    return None


def _read_local_summary(state, target, now_s) -> PoolSummary | None:
    """Return the latest summary of a target's group; ``None`` if there is none."""
    group = state.client.plans.by_target.get(target)
    pool = state.coordinator.pool_runner.pools.get(group)
    if pool is not None:
        return _summarise_cached(state, pool, now_s)
    peer = state.links.get(state.coordinators.get(group, ""))
    if peer is None or peer.link.heartbeat is None:
        return None
    return peer.link.heartbeat.pools.get(group)


def _summarise_cached(state, pool, now_s):
    """Summarise a pool, or return a summary that is at most 50 ms old.

    Summaries are cached because every request for which another data centre has an
    offer needs one.
    """
    made_s, summary = state.summaries.get(pool.name, (None, None))
    if made_s is None or now_s - made_s > SUMMARY_VALID_S:
        summary = summarise(pool, now_s)
        state.summaries[pool.name] = (now_s, summary)
    return summary


def _list_offers(state, request, now_s):
    """Yield the first peer with a known summary in each other data centre."""
    seen = set()
    for name, source in state.remote_requests.sources.items():
        member = state.membership.members.get(name)
        if member is None or member.is_leaving or member.data_centre in seen:
            continue
        group = state.remote_groups.get(member.data_centre, {}).get(request.target)
        remote = _make_remote_group(source.link, member.data_centre, group, now_s)
        if remote is not None:
            seen.add(member.data_centre)
            wait_s = remote.summary.wait_s[request.tier]
            yield (
                remote,
                RemoteOffer(
                    source=source,
                    group=group,
                    wait_bound_s=MIN_WAIT_BOUND_S + WAIT_BOUND_RATIO * wait_s,
                ),
            )


def _make_remote_group(
    link: OutgoingLink, data_centre, group, now_s
) -> RemoteGroup | None:
    summary = link.heartbeat.pools.get(group) if link.heartbeat else None
    if summary is None:
        return None
    # The peer may itself have received the summary in a heartbeat of the coordinator,
    # up to one interval before it sent its own heartbeat.
    age_s = now_s - link.heartbeat_s + HEARTBEAT_INTERVAL_S
    return RemoteGroup(
        data_centre=data_centre,
        summary=summary,
        age_s=age_s,
        delay_s=link.delay_s,
    )
