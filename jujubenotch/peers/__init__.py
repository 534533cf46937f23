"""gRPC sessions between instances, built on grpclib.

An instance opens sessions to its peers. On a session, the instance that opened
it (the requester) asks for slots on upstreams, and the peer (the coordinator) grants
or refuses them.

Errors: ``PeerError`` and its subclasses. Features: ``features/peers``.
"""

from jujubenotch.peers import peers_pb2
from jujubenotch.peers.errors import MalformedFrameError, PeerError, PeerLostError
from jujubenotch.peers.link import (
    SILENCE_TIMEOUT_S,
    LinkCallbacks,
    OutgoingLink,
    choose_backoff_s,
    fetch_changes,
    fetch_trace,
    push_changes,
    run_outgoing_link,
)
from jujubenotch.peers.model import (
    CoordinatorFrame,
    Heartbeat,
    HeldSlot,
    Hello,
    RequesterFrame,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from jujubenotch.peers.outbox import (
    HEARTBEAT_INTERVAL_S,
    MS_PER_S,
    Outbox,
    get_pending_frame,
)
from jujubenotch.peers.service import (
    IncomingSession,
    PeerServiceCallbacks,
    PeersListener,
    start_service,
    stop_service,
)

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "MS_PER_S",
    "SILENCE_TIMEOUT_S",
    "CoordinatorFrame",
    "Heartbeat",
    "HeldSlot",
    "Hello",
    "IncomingSession",
    "LinkCallbacks",
    "MalformedFrameError",
    "Outbox",
    "OutgoingLink",
    "PeerError",
    "PeerLostError",
    "PeerServiceCallbacks",
    "PeersListener",
    "RequesterFrame",
    "SlotGrant",
    "SlotRefusal",
    "SlotRelease",
    "SlotRequest",
    "choose_backoff_s",
    "fetch_changes",
    "fetch_trace",
    "get_pending_frame",
    "peers_pb2",
    "push_changes",
    "run_outgoing_link",
    "start_service",
    "stop_service",
]
