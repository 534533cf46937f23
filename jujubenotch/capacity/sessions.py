"""Handles the events and frames of links to peers and of requesters' sessions."""

from jujubenotch.admission import summarise
from jujubenotch.capacity import coordinator as coordinator_module
from jujubenotch.capacity import holders
from jujubenotch.capacity.client import (
    apply_grant,
    apply_refusal,
    mark_queued,
)
from jujubenotch.capacity.coordinator_model import HolderCallbacks
from jujubenotch.capacity.peered_model import PeeredState, RequesterSession
from jujubenotch.capacity.refresh import refresh
from jujubenotch.capacity.remote_requesters import (
    attach_requester,
    detach_requester,
    reconcile_held_for_requester,
    release_for_requester,
    submit_for_requester,
    withdraw_for_requester,
)
from jujubenotch.capacity.remote_requests import (
    attach_remote_peer,
    detach_remote_peer,
    handle_remote_frame,
)
from jujubenotch.capacity.slot_source import make_remote_source
from jujubenotch.membership import (
    list_own_leaving_reports,
    record_disconnect,
    record_frame,
    record_incarnation,
)
from jujubenotch.peers import (
    MS_PER_S,
    CoordinatorFrame,
    Heartbeat,
    Hello,
    IncomingSession,
    OutgoingLink,
    RequesterFrame,
    SlotGrant,
    SlotRefusal,
    get_pending_frame,
)

NOT_COORDINATOR_RETRY_DELAY_S = 0.5


def read_hello(state: PeeredState) -> Hello:
    """Return the greeting that identifies this instance to peers.

    :param state: The instance's state.
    :returns: The greeting.
    """
    dependencies = state.dependencies
    return Hello(
        name=dependencies.name,
        data_centre=dependencies.data_centre,
        incarnation=dependencies.incarnation,
        host=dependencies.advertised_host,
        port=dependencies.listener_socket.getsockname()[1],
    )


def read_heartbeat(state: PeeredState, session: IncomingSession) -> Heartbeat:
    """Return the heartbeat for a requester, with summaries of the pools kept here.

    A requester in another data centre has links to only a few instances of this
    data centre, so its heartbeat also contains the pools of the other instances.

    :param state: The instance's state.
    :param session: The requester's session.
    :returns: The heartbeat.
    """
    now_s = state.dependencies.read_clock_s()
    kept = state.coordinator.pool_runner.pools
    pools = {name: summarise(pool, now_s) for name, pool in kept.items()}
    if _is_remote(state, session.hello):
        pools = {**_list_peer_pools(state), **pools}
    return Heartbeat(
        revision=state.dependencies.read_configuration().revision,
        is_leaving=state.membership.is_leaving,
        pools=pools,
        leaving_upstreams=tuple(list_own_leaving_reports(state.membership, now_s)),
    )


def read_short_heartbeat(state: PeeredState) -> Heartbeat:
    """Return the heartbeat that is sent to coordinators, without pools and upstreams.

    The coordinator receives those on its own link to this instance.

    :param state: The instance's state.
    :returns: The heartbeat.
    """
    return Heartbeat(
        revision=state.dependencies.read_configuration().revision,
        is_leaving=state.membership.is_leaving,
    )


def broadcast_heartbeat(state: PeeredState) -> None:
    """Send a heartbeat to all peers at once, after its contents have changed.

    :param state: The instance's state.
    """
    for peer in state.links.values():
        if peer.source is not None:
            get_pending_frame(peer.link.outbox).heartbeat = read_short_heartbeat(state)
    for requester in state.sessions.values():
        session = requester.session
        get_pending_frame(session.outbox).heartbeat = read_heartbeat(state, session)


def attach_link(state: PeeredState, link: OutgoingLink, hello: Hello) -> None:
    """Handle a new session with a peer.

    :param state: The instance's state.
    :param link: The link to the peer.
    :param hello: The peer's greeting.
    """
    now_s = state.dependencies.read_clock_s()
    peer = state.links[link.name]
    peer.source = make_remote_source(link)
    peer.suspected_s = None
    peer.not_coordinator_until_s.clear()
    _record_hello(state, hello, now_s)
    if _is_remote(state, hello):
        groups = state.remote_groups.get(hello.data_centre, {})
        attach_remote_peer(
            state.remote_requests, peer.source, sorted(set(groups.values()))
        )
    refresh(state, now_s)


def detach_link(state: PeeredState, link: OutgoingLink) -> None:
    """Handle the end of a session with a peer.

    :param state: The instance's state.
    :param link: The link to the peer.
    """
    peer = state.links.get(link.name)
    if peer is not None:
        peer.source = None
    detach_remote_peer(state.remote_requests, link.name)
    if link.name not in state.sessions:
        record_disconnect(state.membership, link.name)
    refresh(state, state.dependencies.read_clock_s())


def handle_coordinator_frame(
    state: PeeredState, link: OutgoingLink, frame: CoordinatorFrame
) -> None:
    """Handle a frame from a peer that this instance has a link to.

    :param state: The instance's state.
    :param link: The link.
    :param frame: The frame.
    """
    now_s = state.dependencies.read_clock_s()
    peer = state.links[link.name]
    source = peer.source
    if peer.suspected_s is not None and link.echoed_s > peer.suspected_s:
        peer.suspected_s = None
    _handle_heartbeat(state, link.name, frame.heartbeat, now_s, is_full=True)
    age_s = now_s - frame.echoed_ms / MS_PER_S
    if link.name in state.remote_requests.sources:
        handle_remote_frame(state.remote_requests, source, frame, age_s)
        return
    for number in frame.queued:
        mark_queued(state.client, number)
    for grant in frame.grants:
        apply_grant(state.client, source, grant.number, grant.upstream, age_s)
    for entry in frame.refusals:
        apply_refusal(state.client, entry.number, entry.refusal)
    for group in frame.not_coordinator:
        peer.not_coordinator_until_s[group] = now_s + NOT_COORDINATOR_RETRY_DELAY_S
    if frame.not_coordinator:
        refresh(state, now_s)


def attach_session(state: PeeredState, session: IncomingSession) -> bool:
    """Handle a requester's new session.

    :param state: The instance's state.
    :param session: The session.
    :returns: False when a later incarnation of the requester is live.
    """
    now_s = state.dependencies.read_clock_s()
    hello = session.hello
    if not _record_hello(state, hello, now_s):
        return False
    callbacks = _make_callbacks(session)
    state.sessions[hello.name] = RequesterSession(session=session, callbacks=callbacks)
    if _is_remote(state, hello):
        attach_requester(
            state.remote_requesters, hello.name, hello.incarnation, callbacks
        )
    else:
        holders.attach_holder(
            state.coordinator, hello.name, hello.incarnation, callbacks, now_s
        )
    refresh(state, now_s)
    return True


def detach_session(state: PeeredState, session: IncomingSession) -> None:
    """Handle the end of a requester's session.

    :param state: The instance's state.
    :param session: The session; ignored if a later session has replaced it.
    """
    name = session.hello.name
    requester = state.sessions.get(name)
    if requester is None or requester.session is not session:
        return
    now_s = state.dependencies.read_clock_s()
    del state.sessions[name]
    if _is_remote(state, session.hello):
        detach_requester(state.remote_requesters, name, requester.callbacks, now_s)
    else:
        holders.detach_holder(state.coordinator, name, requester.callbacks, now_s)
    peer = state.links.get(name)
    if peer is None or peer.source is None:
        record_disconnect(state.membership, name)
    refresh(state, now_s)


def handle_requester_frame(
    state: PeeredState, session: IncomingSession, frame: RequesterFrame
) -> None:
    """Handle a frame from a requester.

    :param state: The instance's state.
    :param session: The session; ignored if a later session has replaced it.
    :param frame: The frame.
    """
    name = session.hello.name
    requester = state.sessions.get(name)
    if requester is None or requester.session is not session:
        return
    now_s = state.dependencies.read_clock_s()
    _handle_heartbeat(state, name, frame.heartbeat, now_s, is_full=False)
    if _is_remote(state, session.hello):
        _handle_remote_requester_frame(state, name, frame)
        return
    coordinator = state.coordinator
    for number in frame.withdrawn:
        coordinator_module.withdraw(coordinator, name, number, now_s)
    for entry in frame.releases:
        coordinator_module.release(coordinator, name, entry.number, entry.report, now_s)
    for group in frame.left_groups:
        coordinator_module.leave_group(coordinator, name, group, now_s)
    for group, held in frame.attachments.items():
        coordinator_module.reconcile_held(coordinator, name, group, held, now_s)
    for entry in frame.requests:
        coordinator_module.submit(coordinator, name, entry, now_s)
    if frame.attachments:
        refresh(state, now_s)


def _is_remote(state, hello):
    return hello.data_centre != state.dependencies.data_centre


def _list_peer_pools(state):
    pools = {}
    for peer in state.links.values():
        is_here = peer.link.name not in state.remote_requests.sources
        if is_here and peer.link.heartbeat is not None:
            pools.update(peer.link.heartbeat.pools)
    return pools


def _handle_remote_requester_frame(state, name, frame):
    remote_requesters = state.remote_requesters
    for number in frame.withdrawn:
        withdraw_for_requester(remote_requesters, name, number)
    for entry in frame.releases:
        release_for_requester(remote_requesters, name, entry.number, entry.report)
    for group, held in frame.attachments.items():
        reconcile_held_for_requester(remote_requesters, name, group, held)
    for entry in frame.requests:
        submit_for_requester(remote_requesters, name, entry)


def _record_hello(state, hello, now_s):
    return record_incarnation(
        state.membership,
        name=hello.name,
        data_centre=hello.data_centre,
        incarnation=hello.incarnation,
        host=hello.host,
        port=hello.port,
        now_s=now_s,
    )


def _handle_heartbeat(state, name, heartbeat, now_s, *, is_full):
    if heartbeat is None:
        record_frame(state.membership, name, now_s=now_s)
        return
    record_frame(
        state.membership,
        name,
        now_s=now_s,
        is_leaving=heartbeat.is_leaving,
        leaving_upstreams=heartbeat.leaving_upstreams if is_full else None,
    )
    state.dependencies.on_peer_revision(heartbeat.revision, name)
    if heartbeat.is_leaving or heartbeat.leaving_upstreams:
        refresh(state, now_s)


def _make_callbacks(session):
    outbox = session.outbox

    def answer_queued(number):
        get_pending_frame(outbox).queued.append(number)

    def answer_granted(number, upstream):
        frame: CoordinatorFrame = get_pending_frame(outbox)
        if number in frame.queued:
            frame.queued.remove(number)
        frame.grants.append(SlotGrant(number=number, upstream=upstream))

    def answer_refused(number, refusal):
        entry = SlotRefusal(number=number, refusal=refusal)
        get_pending_frame(outbox).refusals.append(entry)

    def answer_not_coordinator(group):
        frame: CoordinatorFrame = get_pending_frame(outbox)
        if group not in frame.not_coordinator:
            frame.not_coordinator.append(group)

    return HolderCallbacks(
        queued=answer_queued,
        granted=answer_granted,
        refused=answer_refused,
        not_coordinator=answer_not_coordinator,
    )
