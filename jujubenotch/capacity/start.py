"""Creates the state of slot allocation among peers and starts its tasks."""

import asyncio

from jujubenotch.capacity import client as client_module
from jujubenotch.capacity.client import Client
from jujubenotch.capacity.coordinator import make_coordinator
from jujubenotch.capacity.coordinator_model import HolderCallbacks
from jujubenotch.capacity.holders import attach_holder
from jujubenotch.capacity.peered import CoordinatedCapacity
from jujubenotch.capacity.peered_model import (
    CoordinatedCapacityDependencies,
    PeeredState,
)
from jujubenotch.capacity.polls import (
    LINKS_INTERVAL_S,
    LIST_INTERVAL_S,
    LOAD_INTERVAL_S,
    REFRESH_INTERVAL_S,
    poll_loads_once,
    read_list_once,
    refresh_once,
    run_every,
    update_links_once,
)
from jujubenotch.capacity.pool_runner import run_pools
from jujubenotch.capacity.remote_requesters import RemoteRequesters
from jujubenotch.capacity.remote_requests import RemoteRequests
from jujubenotch.capacity.sessions import (
    attach_link,
    attach_session,
    detach_link,
    detach_session,
    handle_coordinator_frame,
    handle_requester_frame,
    read_heartbeat,
    read_hello,
    read_short_heartbeat,
)
from jujubenotch.capacity.slot_source import make_local_source
from jujubenotch.membership import (
    Membership,
    record_seeds,
)
from jujubenotch.peers import (
    LinkCallbacks,
    PeerServiceCallbacks,
    start_service,
)


async def start_coordinated_capacity(
    dependencies: CoordinatedCapacityDependencies,
) -> CoordinatedCapacity:
    """Start slot allocation together with the peers of this instance.

    :param dependencies: The dependencies.
    :returns: The running allocation; stop it with its ``close`` method.
    """
    state = _make_state(dependencies)
    now_s = dependencies.read_clock_s()
    record_seeds(state.membership, dependencies.seeds, now_s)
    listener = await start_service(
        _make_service_callbacks(state),
        dependencies.listener_socket,
        dependencies.server_tls,
    )
    capacity = CoordinatedCapacity(state=state, listener=listener)
    capacity.reconfigure(dependencies.read_configuration(), now_s)
    _start_tasks(state)
    return capacity


def _make_state(dependencies):
    name = dependencies.name
    prefix = f"{name}/{dependencies.incarnation}"
    clock = dependencies.read_clock_s
    coordinator = make_coordinator(
        name=name, id_prefix=f"{prefix}/home", read_clock_s=clock
    )
    fallback = make_coordinator(name="", id_prefix=f"{prefix}/own", read_clock_s=clock)
    client = Client(id_prefix=prefix, read_clock_s=clock)
    state = PeeredState(
        dependencies=dependencies,
        membership=Membership(name=name, data_centre=dependencies.data_centre),
        client=client,
        remote_requesters=RemoteRequesters(client=client),
        remote_requests=RemoteRequests(client=client),
        coordinator=coordinator,
        fallback=fallback,
        coordinator_source=make_local_source(coordinator, holder=name, name=name),
        fallback_source=make_local_source(fallback, holder=name, name=""),
    )
    for kept, source in (
        (coordinator, state.coordinator_source),
        (fallback, state.fallback_source),
    ):
        callbacks = _make_local_callbacks(state.client, source)
        attach_holder(kept, name, dependencies.incarnation, callbacks, clock())
    return state


def _make_local_callbacks(client, source):
    def apply_granted(number, upstream):
        client_module.apply_grant(client, source, number, upstream, 0.0)

    def mark_queued(number):
        client_module.mark_queued(client, number)

    def apply_refused(number, refusal):
        client_module.apply_refusal(client, number, refusal)

    return HolderCallbacks(
        queued=mark_queued,
        granted=apply_granted,
        refused=apply_refused,
        not_coordinator=lambda group: None,
    )


def _make_service_callbacks(state):
    dependencies = state.dependencies
    return PeerServiceCallbacks(
        read_hello=lambda: read_hello(state),
        read_heartbeat=lambda session: read_heartbeat(state, session),
        read_clock_s=dependencies.read_clock_s,
        on_attached=lambda session: attach_session(state, session),
        on_frame=lambda session, frame: handle_requester_frame(state, session, frame),
        on_lost=lambda session: detach_session(state, session),
        read_changes_since=dependencies.read_changes_since,
        apply_pushed_changes=dependencies.apply_pushed_changes,
        read_trace=dependencies.read_trace,
    )


def _make_link_callbacks(state):
    dependencies = state.dependencies
    return LinkCallbacks(
        read_hello=lambda: read_hello(state),
        read_heartbeat=lambda: read_short_heartbeat(state),
        read_clock_s=dependencies.read_clock_s,
        on_attached=lambda link, hello: attach_link(state, link, hello),
        on_frame=lambda link, frame: handle_coordinator_frame(state, link, frame),
        on_lost=lambda link: detach_link(state, link),
        tls=dependencies.client_tls,
    )


def _start_tasks(state):
    link_callbacks = _make_link_callbacks(state)
    polls = (
        (REFRESH_INTERVAL_S, "refresh", lambda: refresh_once(state)),
        (LINKS_INTERVAL_S, "links", lambda: update_links_once(state, link_callbacks)),
        (LIST_INTERVAL_S, "list", lambda: read_list_once(state)),
        (LOAD_INTERVAL_S, "loads", lambda: poll_loads_once(state)),
    )
    coroutines = [run_every(*poll) for poll in polls]
    coroutines += [
        run_pools(state.coordinator.pool_runner),
        run_pools(state.fallback.pool_runner),
    ]
    state.tasks.extend(asyncio.create_task(work) for work in coroutines)
