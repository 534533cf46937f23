"""What is seen in a run of a site; all times are monotonic, in seconds."""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What a route's requests allow."""

    READ = "read"
    SEND = "send"
    STREAM = "stream"
    RESUME = "resume"


STREAMS = frozenset({RouteKind.STREAM, RouteKind.RESUME})
REPEATABLE = frozenset({RouteKind.READ, RouteKind.RESUME})


class SiteFault(StrEnum):
    """What is done to a site from outside its programs."""

    KILL_INSTANCE = "kill-instance"
    PAUSE_INSTANCE = "pause-instance"
    STOP_INSTANCE = "stop-instance"
    RELOAD_SETTINGS = "reload-settings"
    CUT_STORE = "cut-store"
    CUT_STORE_ONE_WAY = "cut-store-one-way"
    SILENCE_STORE = "silence-store"
    SLOW_STORE = "slow-store"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_SILENT = "store-silent"
    DROP_HISTORY = "drop-history"
    RESET_CALLERS = "reset-callers"
    CUT_UPSTREAM = "cut-upstream"
    CUT_UPSTREAM_ONE_WAY = "cut-upstream-one-way"
    RESET_UPSTREAM = "reset-upstream"
    DELAY_UPSTREAM = "delay-upstream"
    CRASH_UPSTREAM = "crash-upstream"
    DRAIN_UPSTREAM = "drain-upstream"
    REUSE_ADDRESS = "reuse-address"
    SPOIL_ANSWERS = "spoil-answers"
    SLOW_UPSTREAM = "slow-upstream"
    REVOKE_KEY = "revoke-key"
    CHANGE_ROUTES = "change-routes"


@dataclass(frozen=True, kw_only=True)
class FaultSpan:
    """A fault as it was carried out.

    :param target: An instance, an upstream's place, or ``store``.
    :param settled_s: When it was taken back.
    :param exit_code: Of an instance that was told to stop.
    """

    kind: SiteFault
    target: str
    begin_s: float
    settled_s: float
    exit_code: int | None = None


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that an upstream has read whole.

    :param is_run: Whether it was run; otherwise it was refused with a proof.
    :param team: The team that the instance named.
    :param wait_s: How long the instance said that there is left.
    """

    request_id: str
    upstream: str
    service: str
    instance: str
    at_s: float
    is_run: bool
    team: str
    wait_s: float


@dataclass(kw_only=True)
class Told:
    """What a caller was told of its request.

    :param status: 0 without an answer.
    :param is_whole: Whether the answer came to its end.
    :param is_signed: Whether it bears an upstream's signature.
    :param events: The ids of the events that came, as sent.
    :param error: Why the connection ended early, if it did.
    """

    request_id: str
    kind: RouteKind
    path: str
    key: str
    instance: str
    sent_s: float
    deadline_s: float
    ended_s: float = 0.0
    status: int = 0
    retry_after_s: float = 0.0
    body: bytes = b""
    events: tuple[int, ...] = ()
    is_whole: bool = False
    is_signed: bool = False
    error: str = ""


@dataclass(frozen=True, kw_only=True)
class Revocation:
    """A key that was taken away, from the store's answer on."""

    key: str
    at_s: float


@dataclass(frozen=True, kw_only=True)
class Leaving:
    """An upstream that told that it leaves, from the store's answer on."""

    upstream: str
    at_s: float


@dataclass(frozen=True, kw_only=True)
class RouteChange:
    """A route that was added or taken away, from the store's answer on."""

    prefix: str
    at_s: float
    is_added: bool


@dataclass(kw_only=True)
class SiteJournal:
    """All that was seen in a run.

    :param teams: The team of each key that was ever valid.
    :param began_s: When the load began.
    :param calm_s: When the last fault had been taken back.
    :param ended: Exit codes of instances that ended by themselves.

    >>> SiteJournal().told
    []
    """

    teams: dict[str, str] = field(default_factory=dict)
    began_s: float = 0.0
    calm_s: float = 0.0
    told: list[Told] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    faults: list[FaultSpan] = field(default_factory=list)
    revocations: list[Revocation] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    routes: list[RouteChange] = field(default_factory=list)
    ended: dict[str, int] = field(default_factory=dict)
