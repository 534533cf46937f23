"""Slot allocation among the instances of a data centre by coordinators."""

import asyncio

from jujubenotch.admission import Grant, WorkReport, WorkRequest
from jujubenotch.capacity import client as client_module
from jujubenotch.capacity.groups import plan_groups
from jujubenotch.capacity.peered_model import PeeredState
from jujubenotch.capacity.refresh import refresh
from jujubenotch.capacity.remote_choice import choose_remote_offer, list_remote_groups
from jujubenotch.capacity.remote_requests import acquire_remote, release_remote
from jujubenotch.capacity.sessions import (
    broadcast_heartbeat,
)
from jujubenotch.capacity.views import (
    MemberState,
    UpstreamState,
    list_members,
    list_upstream_states,
)
from jujubenotch.membership import (
    drain_upstream,
)
from jujubenotch.outcomes import Refusal
from jujubenotch.peers import (
    PeerLostError,
    PeersListener,
    fetch_changes,
    fetch_trace,
    push_changes,
    stop_service,
)
from jujubenotch.records import Configuration
from jujubenotch.work import TIERS

CLOSE_FLUSH_DELAY_S = 0.02
NO_QUEUED_REQUESTS = (0,) * TIERS


class CoordinatedCapacity:
    """Allocates a data centre's slots together with the other instances.

    Created by :func:`start_coordinated_capacity`.

    :param state: The state shared with the background tasks.
    :param listener: The listener for the peers' sessions.

    >>> capacity = await start_coordinated_capacity(dependencies)
    >>> grant = await capacity.acquire(request)
    """

    def __init__(self, *, state: PeeredState, listener: PeersListener):
        self.state = state
        self.listener = listener

    async def acquire(self, request: WorkRequest) -> Grant | Refusal:
        """Wait for a slot; cancelling the call withdraws the request.

        :param request: The request.
        :returns: The granted slot, or the refusal.
        """
        state = self.state
        now_s = state.dependencies.read_clock_s()
        chosen = choose_remote_offer(state, request, now_s)
        if chosen is not None:
            grant = await acquire_remote(
                state.remote_requests,
                chosen.source,
                chosen.group,
                request,
                chosen.wait_bound_s,
            )
            if grant is not None:
                return grant
        return await client_module.acquire(state.client, request)

    def release(self, grant: Grant, report: WorkReport, now_s: float) -> None:
        """Release a slot; a grant that was already released is ignored.

        :param grant: The granted slot.
        :param report: The outcome of the work.
        :param now_s: The current monotonic time, in seconds.
        """
        if grant.grant_id in self.state.remote_requests.held:
            release_remote(self.state.remote_requests, grant, report)
        else:
            client_module.release_grant(self.state.client, grant, report, now_s)

    def reconfigure(self, configuration: Configuration, now_s: float) -> None:
        """Apply a configuration.

        :param configuration: The configuration.
        :param now_s: The current monotonic time, in seconds.
        """
        state = self.state
        plans = plan_groups(configuration, state.dependencies.data_centre)
        state.remote_groups = list_remote_groups(
            configuration, state.dependencies.data_centre
        )
        client_module.apply_plans(state.client, plans, state.fallback_source, now_s)
        refresh(state, now_s)

    def announce_shutdown(self) -> None:
        """Tell all peers that this instance is stopping.

        The instance stops being the coordinator of any group.
        """
        self.state.membership.is_leaving = True
        broadcast_heartbeat(self.state)
        refresh(self.state, self.state.dependencies.read_clock_s())

    def drain(self, upstream: str, *, is_drained: bool = True) -> None:
        """Stop or resume granting slots of an upstream, here and at all peers.

        The drain is kept in this instance's memory only. A drain that must
        survive a restart of the instance has to be stored as a record.

        :param upstream: The upstream's name.
        :param is_drained: False ends an earlier drain by this instance.
        """
        drain_upstream(self.state.membership, upstream, is_drained=is_drained)
        broadcast_heartbeat(self.state)
        refresh(self.state, self.state.dependencies.read_clock_s())

    def list_members(self) -> list[MemberState]:
        """List all known instances, including this one.

        :returns: The instances, sorted by name.
        """
        return list_members(self.state)

    def list_upstream_states(self) -> list[UpstreamState]:
        """List the upstreams of this data centre.

        :returns: The upstreams, sorted by name.
        """
        return list_upstream_states(self.state)

    def count_queued(self) -> tuple[int, ...]:
        """Count the requests that wait in the pools of this instance, by tier.

        :returns: The number of waiting requests for each tier.
        """
        pool_runners = (
            self.state.coordinator.pool_runner,
            self.state.fallback.pool_runner,
        )
        pools = [
            pool for pool_runner in pool_runners for pool in pool_runner.pools.values()
        ]
        queued = [pool.queued_by_tier for pool in pools]
        return (
            tuple(sum(counts) for counts in zip(*queued, strict=True))
            or NO_QUEUED_REQUESTS
        )

    def count_peers(self) -> int:
        """Count the peers that this instance has an open session with.

        :returns: The number of peers.
        """
        links = self.state.links.values()
        return sum(link.source is not None for link in links)

    async def fetch_changes(self, peer: str, after_revision: int) -> list[bytes]:
        """Fetch the changes after a revision from a peer.

        :param peer: The peer's name.
        :param after_revision: The revision before the first change to fetch.
        :returns: The changes, in order.
        :raises PeerError: There is no session with the peer, or it did not answer.
        """
        return await fetch_changes(self._find_link(peer), after_revision)

    async def push_changes(self, peer: str, changes: list[bytes]) -> None:
        """Send a peer the changes that it lacks.

        :param peer: The peer's name.
        :param changes: The changes, in order.
        :raises PeerError: There is no session with the peer, or it did not answer.
        """
        await push_changes(self._find_link(peer), changes)

    async def fetch_trace(self, peer: str, request_id: str) -> bytes | None:
        """Fetch the trace of a request from a peer.

        :param peer: The peer's name.
        :param request_id: The id of the request.
        :returns: The trace; ``None`` when the peer has no trace of the request.
        :raises PeerError: There is no session with the peer, or it did not answer.
        """
        return await fetch_trace(self._find_link(peer), request_id)

    async def close(self) -> None:
        """Refuse the waiting requests and end all sessions and tasks."""
        state = self.state
        client_module.close(state.client)
        # Gives the last withdrawals and releases time to reach the coordinators.
        await asyncio.sleep(CLOSE_FLUSH_DELAY_S)
        tasks = [
            *state.tasks,
            *state.load_tasks.values(),
            *(peer.task for peer in state.links.values()),
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await stop_service(self.listener)

    def _find_link(self, peer):
        entry = self.state.links.get(peer)
        if entry is None:
            raise PeerLostError(f"no link to peer {peer!r}; the call was not sent")
        return entry.link
