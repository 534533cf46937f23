"""The journal of a site's run; all times are in seconds on the monotonic clock."""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """The kinds of routes, by how their requests may be answered and retried."""

    READ = "read"
    SEND = "send"
    STREAM = "stream"
    RESUME = "resume"


STREAMING_KINDS = frozenset({RouteKind.STREAM, RouteKind.RESUME})
RETRYABLE_KINDS = frozenset({RouteKind.READ, RouteKind.RESUME})


class SiteFault(StrEnum):
    """The kinds of faults that are injected into a site from outside its programs."""

    KILL_INSTANCE = "kill-instance"
    REPLACE_INSTANCE = "replace-instance"
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
    RESTORE_STORE = "restore-store"
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
    SILENCE_UPSTREAMS = "silence-upstreams"
    SAY_LEAVING = "say-leaving"
    NAME_LIMIT = "name-limit"
    TURN_AWAY = "turn-away"
    COPY_RESPONSES = "copy-responses"
    BAD_PART = "bad-part"
    BAD_REQUEST = "bad-request"
    REVOKE_KEY = "revoke-key"
    CHANGE_ROUTES = "change-routes"


@dataclass(frozen=True, kw_only=True)
class FaultSpan:
    """An injected fault.

    :param target: An instance, an upstream's endpoint, or ``store``.
    :param settled_s: When the fault had been cleared.
    :param exit_code: The exit code of an instance that was stopped as planned.
    """

    kind: SiteFault
    target: str
    begin_s: float
    settled_s: float
    exit_code: int | None = None


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that an upstream has received completely.

    :param is_run: Whether the request was run; otherwise it was refused with the
        proof that it was not run.
    :param team: The team in the request that the instance sent.
    :param wait_s: The time left until the deadline, as in the request that the
        instance sent.
    :param bad_content: What of the request crashes upstreams; empty for nothing.
    """

    request_id: str
    upstream: str
    service: str
    instance: str
    at_s: float
    is_run: bool
    team: str
    wait_s: float
    bad_content: str = ""


@dataclass(frozen=True, kw_only=True)
class StreamPart:
    """What one upstream wrote of a stream.

    :param stream: The request that brought the stream's first event, as its caller
        names it; the request itself until then.
    :param first: The number of the first event.
    """

    stream: str
    upstream: str
    version: str
    first: int
    at_s: float


@dataclass(frozen=True, kw_only=True)
class ContentCrash:
    """The end of an upstream by the content of a request that it had begun to run."""

    kind: SiteFault
    content: str
    upstream: str
    at_s: float


@dataclass(kw_only=True)
class CallerRequest:
    """A request as its caller saw it.

    :param status: The HTTP status; 0 without an answer.
    :param is_whole: Whether the answer was received to its end.
    :param is_signed: Whether the answer has an upstream's signature.
    :param events: The ids of the received events, in the order of their arrival.
    :param error: The reason why the connection ended early; otherwise empty.
    :param resumes: The request that brought the first event of the stream that this one
        resumes; empty for none.
    :param after_event: The number of the last event that the caller had.
    """

    request_id: str
    kind: RouteKind
    path: str
    key: str
    instance: str
    sent_s: float
    deadline_s: float
    prompt: str = ""
    ended_s: float = 0.0
    status: int = 0
    retry_after_s: float = 0.0
    body: bytes = b""
    events: tuple[int, ...] = ()
    is_whole: bool = False
    is_signed: bool = False
    error: str = ""
    resumes: str = ""
    after_event: int = 0


@dataclass(frozen=True, kw_only=True)
class Revocation:
    """The revocation of a key; its time is that of the store's answer."""

    key: str
    at_s: float


@dataclass(frozen=True, kw_only=True)
class Leaving:
    """An upstream that began to leave; its time is that of the store's answer."""

    upstream: str
    at_s: float


@dataclass(frozen=True, kw_only=True)
class Statement:
    """What an upstream stated about itself in a response to an instance.

    :param kind: The fault during which the upstream states it.
    :param value: The limit in requests per second, or the time to wait in seconds.
    :param episode: The number of the fault at its endpoint; limits of two faults are
        not the same.
    """

    upstream: str
    instance: str
    kind: SiteFault
    value: float
    episode: int
    at_s: float


@dataclass(frozen=True, kw_only=True)
class ResponseCopy:
    """A response that an upstream sent once more on its connection."""

    upstream: str
    is_refusal: bool
    at_s: float


@dataclass(frozen=True, kw_only=True)
class RouteChange:
    """The addition or removal of a route; its time is that of the store's answer."""

    prefix: str
    at_s: float
    is_added: bool


@dataclass(kw_only=True)
class SiteJournal:
    """The journal of a run.

    :param teams: The team of each key that was valid at some time.
    :param began_s: When the load began.
    :param calm_s: When the last fault had been cleared.
    :param told: The requests as their callers saw them.
    :param arrivals: The requests that the upstreams received.
    :param copies: The responses that upstreams sent once more, late.
    :param ended: Exit codes of instances that ended unexpectedly, by name.

    >>> SiteJournal().told
    []
    """

    teams: dict[str, str] = field(default_factory=dict)
    began_s: float = 0.0
    calm_s: float = 0.0
    told: list[CallerRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    faults: list[FaultSpan] = field(default_factory=list)
    revocations: list[Revocation] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    routes: list[RouteChange] = field(default_factory=list)
    statements: list[Statement] = field(default_factory=list)
    stream_parts: list[StreamPart] = field(default_factory=list)
    content_crashes: list[ContentCrash] = field(default_factory=list)
    copies: list[ResponseCopy] = field(default_factory=list)
    ended: dict[str, int] = field(default_factory=dict)
