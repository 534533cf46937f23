"""The dependencies and the state of slot allocation among peers."""

import asyncio
import socket
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from jujubenotch.capacity.client import Client
from jujubenotch.capacity.coordinator_model import Coordinator, HolderCallbacks
from jujubenotch.capacity.remote_requesters import RemoteRequesters
from jujubenotch.capacity.remote_requests import RemoteRequests
from jujubenotch.capacity.slot_source import SlotSource
from jujubenotch.membership import Membership
from jujubenotch.peers import IncomingSession, OutgoingLink
from jujubenotch.records import Configuration, Upstream
from jujubenotch.settings import Seed
from jujubenotch.tables import InstanceListEntry
from jujubenotch.work import LoadReport, PoolSummary


@dataclass(frozen=True, kw_only=True)
class CoordinatedCapacityDependencies:
    """The dependencies of slot allocation among peers.

    :param name: This instance's name.
    :param data_centre: This instance's data centre.
    :param incarnation: Increases with each start of the instance.
    :param advertised_host: The host at which peers can reach this instance.
    :param listener_socket: The bound socket of the peer listener.
    :param read_configuration: Returns the current configuration.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :param on_peer_revision: Takes the configuration revision that a peer uses
        and the peer's name.
    :param read_changes_since: Returns the changes after a revision.
    :param apply_pushed_changes: Applies changes that a peer has pushed.
    :param read_trace: Returns the trace of a request, or ``None``.
    :param read_load: Reads an upstream's load report.
    :param list_instances: Reads the platform's list of instances and upstreams.
    :param seeds: The peers named in the settings.
    :param server_tls: The TLS context of the listener; ``None`` for plain text.
    :param client_tls: The TLS context of sessions to peers; ``None`` for plain
        text.
    """

    name: str
    data_centre: str
    incarnation: int
    advertised_host: str
    listener_socket: socket.socket
    read_configuration: Callable[[], Configuration]
    read_clock_s: Callable[[], float]
    on_peer_revision: Callable[[int, str], None]
    read_changes_since: Callable[[int], list[bytes]]
    apply_pushed_changes: Callable[[list[bytes]], None]
    read_trace: Callable[[str], bytes | None]
    read_load: Callable[[Upstream], Awaitable[LoadReport]]
    list_instances: Callable[[], Awaitable[list[InstanceListEntry]]]
    seeds: tuple[Seed, ...] = ()
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None


@dataclass(kw_only=True)
class PeerLink:
    """The link to one peer, its task, and whether the peer can be asked for slots.

    :param task: The task that runs the link.
    :param source: The slot source of the open session; ``None`` without a session.
    :param suspected_s: When the peer was first found not to have answered in
        time, on this process's monotonic clock; ``None`` while it answers.
    :param not_coordinator_until_s: For each group that the peer has answered it does
        not coordinate, the time from which to try the peer again, on the same clock.
    """

    link: OutgoingLink
    task: asyncio.Task
    source: SlotSource | None = None
    suspected_s: float | None = None
    not_coordinator_until_s: dict[str, float] = field(default_factory=dict)


@dataclass(kw_only=True)
class RequesterSession:
    """The session of a connected requester and the callbacks that answer it."""

    session: IncomingSession
    callbacks: HolderCallbacks


@dataclass(kw_only=True)
class PeeredState:
    """The whole state of slot allocation on one instance.

    :param client: The requests of this instance.
    :param coordinator: The slot allocations of the groups that this instance
        coordinates.
    :param fallback: The slot allocations of its conservative fallback share of each
        group.
    :param coordinator_source: The slot source for ``coordinator``.
    :param fallback_source: The slot source for ``fallback``.
    :param remote_requesters: The requesters in other data centres and their
        requests to this instance.
    :param remote_requests: The requests of this instance sent to other data centres.
    :param remote_groups: For each other data centre, its groups by target.
    :param links: The links to peers, by peer name.
    :param sessions: The sessions of connected requesters, by requester name.
    :param coordinators: The name of the coordinator of each group, as last chosen.
    :param live: The live instances that ``coordinators`` was chosen from.
    :param refreshed_s: When ``refresh`` last ran, on this process's monotonic
        clock.
    :param leaving_upstreams: The upstreams on which no new slots are granted.
    :param load_tasks: The tasks that read upstreams' load, by upstream name.
    :param summaries: For each pool kept here, the monotonic time of its latest
        summary, in seconds, and the summary.
    :param tasks: The periodic tasks.
    """

    dependencies: CoordinatedCapacityDependencies
    membership: Membership
    client: Client
    coordinator: Coordinator
    fallback: Coordinator
    coordinator_source: SlotSource
    fallback_source: SlotSource
    remote_requesters: RemoteRequesters
    remote_requests: RemoteRequests
    remote_groups: dict[str, dict[str, str]] = field(default_factory=dict)
    links: dict[str, PeerLink] = field(default_factory=dict)
    sessions: dict[str, RequesterSession] = field(default_factory=dict)
    coordinators: dict[str, str] = field(default_factory=dict)
    live: tuple[str, ...] = ()
    refreshed_s: float = 0.0
    leaving_upstreams: frozenset[str] = frozenset()
    load_tasks: dict[str, asyncio.Task] = field(default_factory=dict)
    summaries: dict[str, tuple[float, PoolSummary]] = field(default_factory=dict)
    tasks: list[asyncio.Task] = field(default_factory=list)
