"""What an instance that divides capacity with its peers consists of."""

import asyncio
import socket
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from jujubenotch.capacity.account import Account
from jujubenotch.capacity.agent import Agents
from jujubenotch.capacity.away import Away
from jujubenotch.capacity.client import Client
from jujubenotch.capacity.home_model import HolderAnswers, Home
from jujubenotch.membership import Membership
from jujubenotch.peers import HomeSession, Link
from jujubenotch.records import Configuration, Upstream
from jujubenotch.settings import Seed
from jujubenotch.tables import ListedInstance
from jujubenotch.work import LoadReport, PoolSummary


@dataclass(frozen=True, kw_only=True)
class PeeredDependencies:
    """What an instance needs to divide capacity with its peers.

    :param incarnation: Grows with each start of the instance.
    :param advertised_host: Where peers reach it.
    :param bound: The bound socket of its peer listener.
    :param read_configuration: Returns the records in force.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :param on_revision_seen: Told of the revision in force at a peer.
    :param read_changes_since: Returns the changes after a revision.
    :param take_changes: Puts changes in force that a peer has pushed.
    :param read_trace: Returns the trace of a request, or ``None``.
    :param read_load: Asks an upstream for its load.
    :param list_instances: Reads the platform's list.
    :param server_tls: TLS of the listener; ``None`` serves in plain text.
    :param client_tls: TLS of sessions to peers.
    """

    name: str
    data_centre: str
    incarnation: int
    advertised_host: str
    bound: socket.socket
    read_configuration: Callable[[], Configuration]
    read_clock_s: Callable[[], float]
    on_revision_seen: Callable[[int, str], None]
    read_changes_since: Callable[[int], list[bytes]]
    take_changes: Callable[[list[bytes]], None]
    read_trace: Callable[[str], bytes | None]
    read_load: Callable[[Upstream], Awaitable[LoadReport]]
    list_instances: Callable[[], Awaitable[list[ListedInstance]]]
    seeds: tuple[Seed, ...] = ()
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None


@dataclass(kw_only=True)
class PeerLink:
    """The link to one peer, its task, and what is thought of it.

    :param account: The account of the open session; ``None`` without one.
    :param suspected_s: Since when it has not answered in time, on this
        process's monotonic clock; ``None`` when it answers.
    :param declined_until_s: For each group that it said it isn't home of, when
        to ask again, same clock.
    """

    link: Link
    task: asyncio.Task
    account: Account | None = None
    suspected_s: float | None = None
    declined_until_s: dict[str, float] = field(default_factory=dict)


@dataclass(kw_only=True)
class RequesterSession:
    """One connected requester and how its requests are answered."""

    session: HomeSession
    answers: HolderAnswers


@dataclass(kw_only=True)
class PeeredState:
    """All state of an instance's part in dividing capacity.

    :param home: The accounts that this instance is home of.
    :param fallback: Its own conservative share of every group.
    :param agents: What is got here for requesters of other data centres.
    :param away: What is got in other data centres for this instance.
    :param remote_groups: For each other data centre, its groups by target.
    :param homes: The home of each group, as chosen last.
    :param live: The live instances that ``homes`` was chosen from.
    :param leaving_upstreams: Those that nothing new goes to.
    :param summaries: For each pool kept here, its latest summary and when it
        was made, in seconds.
    :param refreshed_s: When all was last brought in line, on this process's
        monotonic clock.
    :param polling: The reads of upstreams' load in progress, by upstream.
    """

    dependencies: PeeredDependencies
    membership: Membership
    client: Client
    home: Home
    fallback: Home
    home_account: Account
    fallback_account: Account
    agents: Agents
    away: Away
    remote_groups: dict[str, dict[str, str]] = field(default_factory=dict)
    links: dict[str, PeerLink] = field(default_factory=dict)
    sessions: dict[str, RequesterSession] = field(default_factory=dict)
    homes: dict[str, str] = field(default_factory=dict)
    live: tuple[str, ...] = ()
    refreshed_s: float = 0.0
    leaving_upstreams: frozenset[str] = frozenset()
    polling: dict[str, asyncio.Task] = field(default_factory=dict)
    summaries: dict[str, tuple[float, PoolSummary]] = field(default_factory=dict)
    tasks: list[asyncio.Task] = field(default_factory=list)
