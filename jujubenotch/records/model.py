"""The dataclasses that every schema version of the records converts to."""

from dataclasses import dataclass, field
from functools import cached_property

from jujubenotch.records.index import LookupIndex, build_index
from jujubenotch.records.upstream_kind import UpstreamKind


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceClass:
    """A class of requests with its priority and latency targets.

    :param tier: Priority; 0 is the most urgent, 3 the least.
    :param first_token_target_s: Bound on the first token (or on the whole
        answer of a plain service), in seconds.
    :param between_tokens_target_s: Bound on the mean gap between tokens, in
        seconds.
    :param deadline_s: How long after its arrival a request may still be
        answered, in seconds.
    :param max_wait_s: How long the class's oldest request may wait before the
        floor serves it, in seconds.
    :param idempotent: Whether its requests may be repeated.
    """

    name: str
    tier: int
    first_token_target_s: float
    between_tokens_target_s: float = 0.032
    deadline_s: float = 60.0
    max_wait_s: float = 30.0
    idempotent: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Team:
    """A team that classes are bound to.

    :param weight: Share within a tier, relative to the other teams.
    :param max_in_progress: Requests in progress at once on each group of
        upstreams that share targets, in each data centre; 0 is no limit.
    """

    name: str
    weight: float = 1.0
    max_in_progress: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Application:
    """An application of a team, known by the digest of its key.

    :param key_sha256: Lower-case hexadecimal SHA-256 of the caller's key.
    """

    name: str
    team: str
    key_sha256: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Binding:
    """Binds a team, or one of its applications, to a class.

    :param application: An application's name; empty binds the whole team.
    :param target: A model's or plain service's name; empty binds all of them.
    """

    name: str
    team: str
    service_class: str
    application: str = ""
    target: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """A model worker or a plain service.

    :param url: Base address, ``http://host:port``.
    :param models: The models, or the service names, that it serves.
    :param slots: Requests that it can run at once.
    :param watts_per_slot: Power that one running request costs, in watts.
    :param checks_fencing: Whether it refuses orders with an old fencing
        number.
    :param resumes_streams: Whether it resumes a stream after the event named
        by ``Last-Event-ID``.
    """

    name: str
    kind: UpstreamKind
    data_centre: str
    url: str
    models: tuple[str, ...]
    slots: int
    watts_per_slot: float = 0.0
    checks_fencing: bool = False
    resumes_streams: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Marks calls of a plain service as idempotent or not.

    :param service: The plain service's name.
    :param method: An HTTP method; ``*`` stands for every method.
    :param path_prefix: The start of the path below ``/services/NAME/``.
    """

    name: str
    service: str
    method: str = "*"
    path_prefix: str = ""
    idempotent: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class PowerCap:
    """The power that running requests may take in one data centre, in watts."""

    data_centre: str
    watts: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Drain:
    """An upstream that gets no new work while this record is in force."""

    upstream: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Bounds that hold for every instance.

    :param queue_requests: Requests that may wait for one group of upstreams.
    :param retry_budget_ratio: Retries allowed for each recent success.
    :param retry_budget_min: Retries allowed in 10 s without any success.
    """

    queue_requests: int = 2000
    retry_budget_ratio: float = 0.1
    retry_budget_min: int = 10


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """All records in force at one revision.

    :param revision: The global revision; 0 before the first change.
    """

    revision: int = 0
    classes: dict[str, ServiceClass] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    applications: dict[str, Application] = field(default_factory=dict)
    bindings: dict[str, Binding] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    power_caps: dict[str, PowerCap] = field(default_factory=dict)
    drains: dict[str, Drain] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)

    @cached_property
    def index(self) -> LookupIndex:
        """Return the index of the records, built at its first use."""
        return build_index(self)
