"""Capacity divided among the instances of a data centre by home instances."""

import asyncio
from dataclasses import dataclass

from jujubenotch.admission import Grant, WorkReport, WorkRequest
from jujubenotch.capacity import client as client_module
from jujubenotch.capacity.account import make_local_account
from jujubenotch.capacity.client import Client
from jujubenotch.capacity.groups import plan_groups
from jujubenotch.capacity.home import HolderAnswers, attach_holder, make_home
from jujubenotch.capacity.keeper import run_keeper
from jujubenotch.capacity.peered_model import PeeredDependencies, PeeredState
from jujubenotch.capacity.polls import (
    LINKS_INTERVAL_S,
    LIST_INTERVAL_S,
    LOAD_INTERVAL_S,
    REFRESH_INTERVAL_S,
    keep_links_once,
    poll_loads_once,
    read_list_once,
    refresh_once,
    run_every,
)
from jujubenotch.capacity.refresh import refresh
from jujubenotch.capacity.sessions import (
    announce,
    attach_link,
    attach_session,
    lose_link,
    lose_session,
    read_heartbeat,
    read_hello,
    read_short_heartbeat,
    take_home_frame,
    take_requester_frame,
)
from jujubenotch.membership import (
    Membership,
    drain_upstream,
    is_live,
    record_seeds,
)
from jujubenotch.outcomes import Refusal
from jujubenotch.peers import (
    LinkContext,
    PeerLostError,
    PeersListener,
    ServiceContext,
    fetch_changes,
    fetch_trace,
    start_service,
    stop_service,
)
from jujubenotch.records import Configuration

LAST_FLUSH_S = 0.02


@dataclass(frozen=True, kw_only=True)
class MemberState:
    """One instance, for operators.

    :param address: ``host:port`` of its peer listener.
    :param heard_age_s: How long ago it was heard, in seconds; ``None`` when it
        is not heard.
    """

    name: str
    data_centre: str
    address: str
    incarnation: int
    is_live: bool
    is_leaving: bool
    heard_age_s: float | None = None


@dataclass(frozen=True, kw_only=True)
class UpstreamState:
    """One upstream of the own data centre, for operators.

    :param home: The instance that keeps its account; ask there for the slots
        in use.
    :param slots_in_use: As counted here; ``None`` when another instance is its
        home.
    """

    name: str
    group: str
    home: str
    slots_in_use: int | None
    slots_limit: int
    is_ejected: bool
    is_leaving: bool


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
        return await client_module.acquire(self.state.client, request)

    def release(self, grant: Grant, report: WorkReport, now_s: float) -> None:
        """Give a slot back; a grant that was given back already is ignored.

        :param grant: The slot.
        :param report: What was seen of the work.
        :param now_s: The present monotonic time, in seconds.
        """
        client_module.give_back(self.state.client, grant, report, now_s)

    def reconfigure(self, configuration: Configuration, now_s: float) -> None:
        """Put records in force.

        :param configuration: The records.
        :param now_s: The present monotonic time, in seconds.
        """
        state = self.state
        plans = plan_groups(configuration, state.dependencies.data_centre)
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
        state = self.state
        dependencies = state.dependencies
        now_s = dependencies.read_clock_s()
        hello = read_hello(state)
        own = MemberState(
            name=dependencies.name,
            data_centre=dependencies.data_centre,
            address=f"{hello.host}:{hello.port}",
            incarnation=dependencies.incarnation,
            is_live=True,
            is_leaving=state.membership.is_leaving,
            heard_age_s=0.0,
        )
        others = [
            MemberState(
                name=member.name,
                data_centre=member.data_centre,
                address=f"{member.host}:{member.port}",
                incarnation=member.incarnation,
                is_live=is_live(member, now_s),
                is_leaving=member.is_leaving,
                heard_age_s=None if member.heard_s is None else now_s - member.heard_s,
            )
            for member in state.membership.members.values()
        ]
        return sorted([own, *others], key=lambda member: member.name)

    def list_upstream_states(self) -> list[UpstreamState]:
        """List the upstreams of the own data centre.

        :returns: The upstreams, by name.
        """
        state = self.state
        result = []
        for plan in state.client.plans.by_name.values():
            pool = state.home.keeper.pools.get(plan.name)
            for upstream in plan.upstreams:
                account = pool.upstreams.get(upstream.name) if pool else None
                result.append(
                    UpstreamState(
                        name=upstream.name,
                        group=plan.name,
                        home=state.homes.get(plan.name, ""),
                        slots_in_use=account.running if account else None,
                        slots_limit=account.slots if account else upstream.slots,
                        is_ejected=bool(getattr(account, "is_ejected", False)),
                        is_leaving=upstream.name in state.leaving_upstreams,
                    )
                )
        return sorted(result, key=lambda upstream: upstream.name)

    async def fetch_changes(self, peer: str, after_revision: int) -> list[bytes]:
        """Ask a peer for the changes after a revision.

        :param peer: Its name.
        :param after_revision: A revision.
        :returns: The changes, in order.
        :raises PeerError: There is no session with it, or it did not answer.
        """
        return await fetch_changes(self._find_link(peer), after_revision)

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


async def start_peered_capacity(dependencies: PeeredDependencies) -> PeeredCapacity:
    """Start an instance's part in dividing capacity.

    :param dependencies: What it needs.
    :returns: The running part; end it with its ``close``.
    """
    state = _make_state(dependencies)
    now_s = dependencies.read_clock_s()
    record_seeds(state.membership, dependencies.seeds, now_s)
    listener = await start_service(
        _make_service_context(state), dependencies.bound, dependencies.server_tls
    )
    capacity = PeeredCapacity(state=state, listener=listener)
    capacity.reconfigure(dependencies.read_configuration(), now_s)
    _start_tasks(state)
    return capacity


def _make_state(dependencies):
    name = dependencies.name
    prefix = f"{name}/{dependencies.incarnation}"
    clock = dependencies.read_clock_s
    home = make_home(name=name, id_prefix=f"{prefix}/home", read_clock_s=clock)
    fallback = make_home(name="", id_prefix=f"{prefix}/own", read_clock_s=clock)
    state = PeeredState(
        dependencies=dependencies,
        membership=Membership(name=name, data_centre=dependencies.data_centre),
        client=Client(id_prefix=prefix, read_clock_s=clock),
        home=home,
        fallback=fallback,
        home_account=make_local_account(home, holder=name, name=name),
        fallback_account=make_local_account(fallback, holder=name, name=""),
    )
    for kept, account in (
        (home, state.home_account),
        (fallback, state.fallback_account),
    ):
        answers = _answer_directly(state.client, account)
        attach_holder(kept, name, dependencies.incarnation, answers, clock())
    return state


def _answer_directly(client, account):
    def take_granted(number, upstream):
        client_module.take_grant(client, account, number, upstream, 0.0)

    def take_queued(number):
        client_module.take_queued(client, number)

    def take_refused(number, refusal):
        client_module.take_refusal(client, number, refusal)

    return HolderAnswers(
        queued=take_queued,
        granted=take_granted,
        refused=take_refused,
        not_home=lambda group: None,
    )


def _make_service_context(state):
    dependencies = state.dependencies
    return ServiceContext(
        read_hello=lambda: read_hello(state),
        read_heartbeat=lambda: read_heartbeat(state),
        read_clock_s=dependencies.read_clock_s,
        on_attached=lambda session: attach_session(state, session),
        on_frame=lambda session, frame: take_requester_frame(state, session, frame),
        on_lost=lambda session: lose_session(state, session),
        read_changes_since=dependencies.read_changes_since,
        read_trace=dependencies.read_trace,
    )


def _make_link_context(state):
    dependencies = state.dependencies
    return LinkContext(
        read_hello=lambda: read_hello(state),
        read_heartbeat=lambda: read_short_heartbeat(state),
        read_clock_s=dependencies.read_clock_s,
        on_attached=lambda link, hello: attach_link(state, link, hello),
        on_frame=lambda link, frame: take_home_frame(state, link, frame),
        on_lost=lambda link: lose_link(state, link),
        tls=dependencies.client_tls,
    )


def _start_tasks(state):
    links = _make_link_context(state)
    polls = (
        (REFRESH_INTERVAL_S, "refresh", lambda: refresh_once(state)),
        (LINKS_INTERVAL_S, "links", lambda: keep_links_once(state, links)),
        (LIST_INTERVAL_S, "list", lambda: read_list_once(state)),
        (LOAD_INTERVAL_S, "loads", lambda: poll_loads_once(state)),
    )
    works = [run_every(*poll) for poll in polls]
    works += [run_keeper(state.home.keeper), run_keeper(state.fallback.keeper)]
    state.tasks.extend(asyncio.create_task(work) for work in works)
