"""Data model of forwarding: routes, services, teams, upstreams and requests."""

from dataclasses import dataclass, field
from enum import StrEnum

DEFAULT_PRIORITY = 5


class RouteKind(StrEnum):
    """The kind of a route's requests; it decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShare:
    """The share of a route's requests that one service gets.

    :param weight: Weight relative to the other shares of the route.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HostRoute:
    """Routes the requests for a host and path prefix to one or more services.

    :param prefix: The path prefix; it begins and ends with a slash.
    :param timeout_s: The longest time that a caller waits, in seconds.
    :param target_s: The target time for a whole answer, or for the first event
        of a stream, in seconds.
    :param priority: The route's priority; 0 is the most urgent.
    :param max_attempts: How many upstreams may run one request.
    :param allows_anonymous: Whether requests need no key.
    :param is_resumable: Whether an interrupted stream may be resumed after the
        last event that the caller received.
    :param event_gap_target_s: The target for the longest gap between two events
        of a stream, in seconds; 0 sets no target.
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
    allows_anonymous: bool = False
    is_resumable: bool = False
    event_gap_target_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class TeamKeys:
    """A team and the API keys of its callers.

    :param priority: The team's priority, which takes precedence over the route's;
        ``None`` when only the route's priority counts.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLimits:
    """The limits of one upstream of a service that runs model engines.

    :param slots: Requests that can run at the same time.
    :param cache_tokens: Size of the KV cache in tokens, which running requests
        and cached prompts share.
    """

    slots: int
    cache_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceScaling:
    """Within which limits the upstreams of a service are ordered, and their prices.

    :param min_upstreams: The fewest upstreams in each data centre, both kinds together.
    :param max_upstreams: The most upstreams in each data centre, both kinds together.
    :param boot_s: Time from an order until a new upstream serves, in seconds.
    :param preemptible_price: The price of preemptible upstreams relative to standard
        ones; ``None`` when none can be ordered.
    :param data_centre_prices: The price in each data centre relative to the others.
    """

    min_upstreams: int
    max_upstreams: int
    boot_s: float
    preemptible_price: float | None = None
    data_centre_prices: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service that requests are forwarded to.

    :param max_connections: Connections that one upstream accepts from all
        instances together.
    :param engine: The limits of its model engines; ``None`` for a service
        without model engines.
    :param scaling: The limits on orders of its upstreams; ``None`` for a service
        whose upstreams are not ordered.
    """

    name: str
    max_connections: int = 100
    engine: EngineLimits | None = None
    scaling: ServiceScaling | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerBounds:
    """Limits on the size of a caller's request and on the time to send it."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SiteConfiguration:
    """The complete configuration at one version."""

    version: int
    routes: tuple[HostRoute, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    teams: tuple[TeamKeys, ...] = ()
    bounds: CallerBounds = field(default_factory=CallerBounds)


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedUpstream:
    """One upstream's entry in the platform's list of upstreams.

    :param name: The upstream's identifier; a new process at the same address
        gets a new one.
    :param address: The upstream's address as ``host:port``.
    :param slots: Requests that the upstream can run at the same time.
    :param is_leaving: Whether the upstream takes no new requests.
    :param warming_s: How much longer the upstream is slow after its start, in
        seconds.
    :param started_ms: When the upstream started, as Unix time in milliseconds;
        0 when unknown.
    :param software_version: The version of the upstream's software; versions have no
        order. Empty when unknown.
    :param is_preemptible: Whether the platform may reclaim the upstream.
    :param leaves_s: The time that the upstream has left, in seconds, when its entry
        was written; ``None`` when it has no end.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    warming_s: float = 0.0
    started_ms: int = 0
    software_version: str = ""
    is_preemptible: bool = False
    leaves_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A part of a prompt that the prompts of other requests may also contain."""

    part_id: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ArrivedRequest:
    """A caller's request without its body, decoded from its head.

    :param request_id: The identifier that the caller gave this attempt.
    :param path: The path and query as the caller sent them.
    :param wait_s: How long the caller waits, in seconds; ``None`` when the
        request does not state it.
    :param key: The caller's API key; empty when the request has none.
    :param prompt: The parts of the prompt, in order.
    :param prompt_tokens: Tokens of the whole prompt.
    :param answer_tokens: The largest number of tokens that the answer may have.
    :param expected_tokens: The caller's estimate of the answer's length, in
        tokens; 0 when the request has no estimate.
    :param last_event_id: The event after which the caller resumes a stream;
        empty when the request resumes none.
    :param resumed_request_id: The identifier of the request that brought the first
        event of that stream; empty when the request names none.
    :param headers: The headers that are forwarded to the upstream.
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
    resumed_request_id: str = ""
    headers: tuple[tuple[str, str], ...] = ()
