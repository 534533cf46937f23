"""Data classes of the records, common to all schema versions of the files."""

from dataclasses import dataclass, field
from functools import cached_property

from jujubenotch.records.index import LookupIndex, build_index
from jujubenotch.records.upstream_kind import UpstreamKind


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceClass:
    """A class of requests with its priority and latency targets.

    :param tier: Priority, from 0 (most urgent) to 3 (least urgent).
    :param first_token_target_s: Latency target for the first token, or for the
        whole response of a plain service, in seconds.
    :param between_tokens_target_s: Target for the mean interval between tokens,
        in seconds.
    :param deadline_s: Time after the arrival of a request within which it must
        be answered, in seconds.
    :param max_wait_s: Interval within which the max-wait guarantee of
        ``jujubenotch.admission`` grants a slot to the oldest queued request of
        the class, in seconds; tier 0 has no such guarantee.
    :param idempotent: Whether requests of the class may be repeated.
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
    """A team, whose requests get their class through bindings.

    :param weight: Relative share of the capacity among the teams of a tier.
    :param max_in_progress: Maximum number of concurrent requests on each group
        of upstreams that share targets, per data centre; 0 means no limit.
    """

    name: str
    weight: float = 1.0
    max_in_progress: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Application:
    """An application of a team, identified by the digest of its API key.

    :param key_sha256: Lower-case hexadecimal SHA-256 digest of the API key.
    """

    name: str
    team: str
    key_sha256: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Binding:
    """Assigns a class to the requests of a team or of one of its applications.

    :param application: The name of the application; empty for all applications
        of the team.
    :param target: The name of a model or plain service; empty for all targets.
    """

    name: str
    team: str
    service_class: str
    application: str = ""
    target: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """A model worker or a plain service.

    :param url: Base URL, ``http://host:port``.
    :param models: The names of the models or plain services that the upstream
        serves.
    :param slots: Number of requests that the upstream can run concurrently.
    :param watts_per_slot: Power drawn by one running request, in watts.
    :param checks_fencing: Whether the upstream rejects commands that carry an
        outdated fencing token.
    :param resumes_streams: Whether the upstream can resume a stream after the
        event that the ``Last-Event-ID`` header names.
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
    """Declares whether matching calls of a plain service are idempotent.

    :param service: The name of the plain service.
    :param method: An HTTP method; ``*`` matches every method.
    :param path_prefix: Prefix of the path below ``/services/NAME/``.
    """

    name: str
    service: str
    method: str = "*"
    path_prefix: str = ""
    idempotent: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class PowerCap:
    """Limit on the power drawn by running requests in one data centre, in watts."""

    data_centre: str
    watts: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Drain:
    """Stops new requests to an upstream while this record is in force."""

    upstream: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits that apply to every instance.

    :param queue_requests: Maximum number of queued requests for one group of
        upstreams.
    :param retry_budget_ratio: Number of retries allowed per recent success.
    :param retry_budget_min: Number of retries allowed in 10 s in addition to
        those that successes earn.
    """

    queue_requests: int = 2000
    retry_budget_ratio: float = 0.1
    retry_budget_min: int = 10


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """The set of records in force at one revision.

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
        """Return the lookup index of the records, built on first access."""
        return build_index(self)
