"""Capacity divided among the instances of a data centre by home instances."""

import asyncio

from jujubenotch.admission import Grant, WorkReport, WorkRequest
from jujubenotch.capacity import client as client_module
from jujubenotch.capacity.away import acquire_away, give_back_away
from jujubenotch.capacity.elsewhere import choose_elsewhere, list_remote_groups
from jujubenotch.capacity.groups import plan_groups
from jujubenotch.capacity.peered_model import PeeredState
from jujubenotch.capacity.refresh import refresh
from jujubenotch.capacity.sessions import (
    announce,
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

LAST_FLUSH_S = 0.02
NONE_QUEUED = (0,) * TIERS


class PeeredCapacity:
    """Divides a data centre's upstreams with the other instances.

    Made by :func:`start_peered_capacity`.

    :param state: The state that its tasks share.
    :param listener: The peers' listener.

    >>> capacity = await start_peered_capacity(dependencies)
    >>> grant = await capacity.acquire(request)
    """

    def __init__(self, *, state: PeeredState, listener: PeersListener):
        self.state = state
        self.listener = listener

    async def acquire(self, request: WorkRequest) -> Grant | Refusal:
        """Wait for a slot; cancelling the call withdraws the request.

        :param request: The request.
        :returns: The slot, or a refusal.
        """
        state = self.state
        now_s = state.dependencies.read_clock_s()
        chosen = choose_elsewhere(state, request, now_s)
        if chosen is not None:
            grant = await acquire_away(
                state.away,
                chosen.account,
                chosen.group,
                request,
                chosen.wait_bound_s,
            )
            if grant is not None:
                return grant
        return await client_module.acquire(state.client, request)

    def release(self, grant: Grant, report: WorkReport, now_s: float) -> None:
        """Give a slot back; a grant that was given back already is ignored.

        :param grant: The slot.
        :param report: What was seen of the work.
        :param now_s: The present monotonic time, in seconds.
        """
        if grant.grant_id in self.state.away.held:
            give_back_away(self.state.away, grant, report)
        else:
            client_module.give_back(self.state.client, grant, report, now_s)

    def reconfigure(self, configuration: Configuration, now_s: float) -> None:
        """Put records in force.

        :param configuration: The records.
        :param now_s: The present monotonic time, in seconds.
        """
        state = self.state
        plans = plan_groups(configuration, state.dependencies.data_centre)
        state.remote_groups = list_remote_groups(
            configuration, state.dependencies.data_centre
        )
        client_module.replan(state.client, plans, state.fallback_account, now_s)
        refresh(state, now_s)

    def begin_leaving(self) -> None:
        """Tell all peers that this instance is stopping; it is home no longer."""
        self.state.membership.is_leaving = True
        announce(self.state)
        refresh(self.state, self.state.dependencies.read_clock_s())

    def drain(self, upstream: str, *, is_drained: bool = True) -> None:
        """Send nothing new to an upstream, here and at all peers.

        This instance alone remembers it; a drain that must outlast it is a
        record.

        :param upstream: Its name.
        :param is_drained: False takes back what this instance was told.
        """
        drain_upstream(self.state.membership, upstream, is_drained=is_drained)
        announce(self.state)
        refresh(self.state, self.state.dependencies.read_clock_s())

    def list_members(self) -> list[MemberState]:
        """List all instances known here, this one included.

        :returns: The instances, by name.
        """
        return list_members(self.state)

    def list_upstream_states(self) -> list[UpstreamState]:
        """List the upstreams of the own data centre.

        :returns: The upstreams, by name.
        """
        return list_upstream_states(self.state)

    def count_queued(self) -> tuple[int, ...]:
        """Count what waits in the pools kept here, by tier.

        :returns: The number of requests for each tier.
        """
        keepers = (self.state.home.keeper, self.state.fallback.keeper)
        pools = [pool for keeper in keepers for pool in keeper.pools.values()]
        queued = [pool.queued_by_tier for pool in pools]
        return tuple(sum(counts) for counts in zip(*queued, strict=True)) or NONE_QUEUED

    def count_peers(self) -> int:
        """Count the peers that this instance has an open session to.

        :returns: Their number.
        """
        links = self.state.links.values()
        return sum(link.account is not None for link in links)

    async def fetch_changes(self, peer: str, after_revision: int) -> list[bytes]:
        """Ask a peer for the changes after a revision.

        :param peer: Its name.
        :param after_revision: A revision.
        :returns: The changes, in order.
        :raises PeerError: There is no session with it, or it did not answer.
        """
        return await fetch_changes(self._find_link(peer), after_revision)

    async def push_changes(self, peer: str, changes: list[bytes]) -> None:
        """Give a peer changes that it lacks.

        :param peer: Its name.
        :param changes: The changes, in order.
        :raises PeerError: There is no session with it, or it did not answer.
        """
        await push_changes(self._find_link(peer), changes)

    async def fetch_trace(self, peer: str, request_id: str) -> bytes | None:
        """Ask a peer for the trace of a request.

        :param peer: Its name.
        :param request_id: The request.
        :returns: The trace; ``None`` when it has none.
        :raises PeerError: There is no session with it, or it did not answer.
        """
        return await fetch_trace(self._find_link(peer), request_id)

    async def close(self) -> None:
        """Refuse what waits, end all sessions and tasks."""
        state = self.state
        client_module.close(state.client)
        # Lets the last withdrawals and releases reach the homes.
        await asyncio.sleep(LAST_FLUSH_S)
        tasks = [
            *state.tasks,
            *state.polling.values(),
            *(peer.task for peer in state.links.values()),
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await stop_service(self.listener)

    def _find_link(self, peer):
        entry = self.state.links.get(peer)
        if entry is None:
            raise PeerLostError(f"there is no session with {peer!r}")
        return entry.link
