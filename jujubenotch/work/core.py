"""Messages between the code that requests slots and the code that grants them."""

from dataclasses import asdict, dataclass
from enum import StrEnum

TIERS = 4


class WorkResult(StrEnum):
    """How work on an upstream ended, as observed by the instance that sent it."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    ERROR = "error"
    CONNECT_FAILED = "connect-failed"
    REFUSED = "refused"
    SILENT = "silent"
    LOST = "lost"


@dataclass(frozen=True, kw_only=True)
class WorkRequest:
    """A request for one slot on an upstream.

    :param target: The model or plain service that the request needs.
    :param team_weight: The team's weight in fair queueing.
    :param team_limit: Number of requests that the team may have in progress;
        0 means no limit.
    :param tier: The request's tier, from 0 (most urgent) to 3 (least urgent).
    :param arrived_s: Time of arrival on this process's monotonic clock, in
        seconds.
    :param first_token_by_s: Time on the same clock by which the first token is
        due, in seconds.
    :param deadline_s: Time on the same clock by which the request must have
        ended, in seconds.
    :param max_wait_s: Longest time that the oldest request of the class waits
        until the max-wait guarantee grants it a slot, in seconds.
    :param expected_tokens: Estimated length of the answer, in tokens.
    :param prefix_key: A key that is equal for requests with the same prompt
        prefix; empty when unknown.
    :param excluded_upstreams: Names of the upstreams on which the request has
        already failed.
    :param between_tokens_target_s: Target of the request's class for the mean
        time between tokens, in seconds; 0 means no target.
    :param is_idempotent: Whether the request may be repeated.
    :param prompt_tokens: Length of the prompt, in tokens; 0 when unknown.
    :param prefix_tokens: The tokens that an upstream has cached if it was sent requests
        with the same prefix; 0 when unknown.
    :param software_version: The only version of upstreams that may get the request,
        which continues a stream; ``None`` when any may.
    :param is_resumable: Whether the request may begin a stream that other instances
        can continue.
    """

    request_id: str
    target: str
    team: str
    team_weight: float
    team_limit: int
    service_class: str
    tier: int
    arrived_s: float
    first_token_by_s: float
    deadline_s: float
    max_wait_s: float
    expected_tokens: int
    prefix_key: str = ""
    excluded_upstreams: frozenset[str] = frozenset()
    between_tokens_target_s: float = 0.0
    is_idempotent: bool = True
    prompt_tokens: int = 0
    prefix_tokens: int = 0
    software_version: str | None = None
    is_resumable: bool = False


@dataclass(frozen=True, kw_only=True)
class ChoiceBasis:
    """What the choice of an upstream was based on, for the log.

    :param load: The estimated number of requests of all instances on the upstream.
    :param lowest_load: The lowest such number among the candidates.
    :param report_age_s: Age of the upstream's last load report, in seconds; ``None``
        when it has reported none.
    :param candidates: The number of upstreams to choose from.
    :param prefix_rank: The upstream's rank for the prompt's prefix, from 0 for the one
        that is expected to have it cached; ``None`` when only the load counted.
    :param expected_first_s: The expected time to the first token, in seconds; ``None``
        when the service's upstreams don't report their pace.
    :param slowness: The upstream's learned slowness, as a multiple of its service's
        median; ``None`` as before.
    :param concurrency_limit: Its learned limit of concurrent requests; ``None`` as
        before.
    :param limit_per_s: The request rate that the upstream accepts from all instances;
        ``None`` when it has named none.
    :param limit_age_s: Time since this instance read that limit, in seconds.
    """

    load: float
    lowest_load: float
    report_age_s: float | None
    candidates: int
    prefix_rank: int | None
    expected_first_s: float | None = None
    slowness: float | None = None
    concurrency_limit: float | None = None
    limit_per_s: float | None = None
    limit_age_s: float | None = None


@dataclass(frozen=True, kw_only=True)
class Grant:
    """One slot on one upstream, granted to one request.

    :param grant_id: The grant's id, unique over all instances.
    :param coordinator: The instance that keeps the slot allocation of the upstream's
        group; empty when an instance granted the slot from its own conservative
        share.
    :param basis: What the choice of the upstream was based on; ``None`` when the
        coordinator chose it.
    :param software_version: The version of the upstream's software, as the platform
        lists it; empty when unknown.
    """

    grant_id: str
    request_id: str
    upstream: str
    coordinator: str = ""
    basis: ChoiceBasis | None = None
    software_version: str = ""


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """The load that an upstream reports about itself; it may be outdated.

    :param running: Number of requests that the upstream runs.
    :param waiting: Number of requests in the upstream's own queue.
    :param slots: Number of requests that the upstream can run at once.
    :param is_leaving: Whether the upstream is about to go out of service.
    :param age_s: Age of the report according to the upstream, in seconds.
    :param pace: How long work takes on the upstream's machine at the time of the
        report, as a multiple of the usual time; ``None`` when it isn't reported.
    """

    running: int
    waiting: int
    slots: int
    is_leaving: bool = False
    age_s: float = 0.0
    pace: float | None = None


@dataclass(frozen=True, kw_only=True)
class WorkReport:
    """The observations of an instance about the work done under a grant.

    :param tokens: Number of tokens received.
    :param first_token_s: Time from sending the request to the first token, in
        seconds; ``None`` when no token was received.
    :param between_tokens_s: Mean time between tokens, in seconds; ``None``
        with fewer than two tokens.
    """

    result: WorkResult
    tokens: int = 0
    first_token_s: float | None = None
    between_tokens_s: float | None = None


@dataclass(frozen=True, kw_only=True)
class PoolSummary:
    """A summary of the slot allocation of a group of upstreams, for other instances.

    :param queued: Number of waiting requests, by tier.
    :param in_progress: Number of running requests, by tier.
    :param free_slots: Number of free slots on the upstreams in service.
    :param wait_s: Estimated wait of a new request, by its tier, in seconds.
    """

    queued: tuple[int, ...]
    in_progress: tuple[int, ...]
    free_slots: int
    wait_s: tuple[float, ...]


def describe_basis(basis: ChoiceBasis | None) -> dict[str, float | int]:
    """Convert the basis of a choice to the fields of a log line.

    :param basis: The basis; ``None`` gives no fields.
    :returns: The fields that have a value, rounded.
    """
    if basis is None:
        return {}
    return {
        name: round(value, 2)
        for name, value in asdict(basis).items()
        if value is not None
    }
