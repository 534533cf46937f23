"""Sessions between instances, over grpclib.

Errors: ``PeerError`` and its kinds. Features: ``features/peers``.
"""

from jujubenotch.peers import peers_pb2
from jujubenotch.peers.errors import MalformedFrameError, PeerError, PeerLostError
from jujubenotch.peers.link import (
    SILENCE_TIMEOUT_S,
    Link,
    LinkContext,
    choose_backoff_s,
    fetch_changes,
    fetch_trace,
    push_changes,
    run_link,
)
from jujubenotch.peers.model import (
    Heartbeat,
    HeldSlot,
    Hello,
    HomeFrame,
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
    open_frame,
)
from jujubenotch.peers.service import (
    HomeSession,
    PeersListener,
    ServiceContext,
    start_service,
    stop_service,
)

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "MS_PER_S",
    "SILENCE_TIMEOUT_S",
    "Heartbeat",
    "HeldSlot",
    "Hello",
    "HomeFrame",
    "HomeSession",
    "Link",
    "LinkContext",
    "MalformedFrameError",
    "Outbox",
    "PeerError",
    "PeerLostError",
    "PeersListener",
    "RequesterFrame",
    "ServiceContext",
    "SlotGrant",
    "SlotRefusal",
    "SlotRelease",
    "SlotRequest",
    "choose_backoff_s",
    "fetch_changes",
    "fetch_trace",
    "open_frame",
    "peers_pb2",
    "push_changes",
    "run_link",
    "start_service",
    "stop_service",
]
