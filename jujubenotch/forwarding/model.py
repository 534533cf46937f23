"""Routes, services, teams and upstreams of a site, as forwarding sees them."""

from dataclasses import dataclass, field
from enum import StrEnum

DEFAULT_PRIORITY = 5


class RouteKind(StrEnum):
    """What the requests of a route are, and so what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShare:
    """A service's share of a route's requests.

    :param weight: Relative to the other shares of the route.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HostRoute:
    """Sends the requests of a host below a path prefix to services.

    :param prefix: The start of the path; begins and ends with a slash.
    :param timeout_s: The longest time that a caller is kept waiting.
    :param target_s: The time within which an answer, or the first event of a
        stream, is on time.
    :param priority: 0 is the most urgent.
    :param max_attempts: Upstreams that may run one request.
    :param is_open: Whether requests need no key.
    :param is_resumable: Whether a stream may go on after its last event.
    :param pause_target_s: The longest pause between the events of a stream
        that is on time; 0 is no bound.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_s: float
    priority: int = DEFAULT_PRIORITY
    max_attempts: int = 1
    is_open: bool = False
    is_resumable: bool = False
    pause_target_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyedTeam:
    """A team and the keys of its callers.

    :param priority: Goes before the priority of a route; ``None`` leaves it.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLimits:
    """What one upstream of a service with model engines can hold.

    :param slots: Requests that run at once.
    :param cache_tokens: Tokens that running requests and kept prompts share.
    """

    slots: int
    cache_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service that requests are forwarded to.

    :param max_connections: Connections that one upstream accepts from all
        instances together.
    :param engine: The limits of its engines; ``None`` for a plain service.
    """

    name: str
    max_connections: int = 100
    engine: EngineLimits | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerBounds:
    """Bounds on what a caller may send, and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SiteConfiguration:
    """The whole configuration in force at one version."""

    version: int
    routes: tuple[HostRoute, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    teams: tuple[KeyedTeam, ...] = ()
    bounds: CallerBounds = field(default_factory=CallerBounds)


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedUpstream:
    """What the platform's list says of one upstream.

    :param name: Its identifier; another process at its address has another.
    :param address: ``host:port``.
    :param slots: Requests that it can run at once.
    :param is_leaving: Whether it takes no new work.
    :param warming_s: How much longer it is slow after its start.
    :param started_ms: When it started, Unix time; 0 when unknown.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    warming_s: float = 0.0
    started_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ArrivedRequest:
    """A caller's request, decoded from its head.

    :param request_id: The identifier that the caller gave this attempt.
    :param path: The path and query as sent.
    :param wait_s: How long the caller waits; ``None`` when it didn't say.
    :param key: The caller's key; empty without one.
    :param prompt: The parts of the prompt, in order.
    :param prompt_tokens: Tokens of the whole prompt.
    :param answer_tokens: The most tokens that the answer may have.
    :param expected_tokens: The caller's estimate of the answer's length; 0
        when it gave none.
    :param last_event_id: The event after which a stream is to go on.
    :param headers: The headers that are passed on.
    """

    request_id: str
    method: str
    host: str
    path: str
    wait_s: float | None = None
    key: str = ""
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    expected_tokens: int = 0
    last_event_id: str = ""
    headers: tuple[tuple[str, str], ...] = ()
