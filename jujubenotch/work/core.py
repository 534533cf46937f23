"""The typed messages between those who need capacity and those who divide it."""

from dataclasses import dataclass
from enum import StrEnum

TIERS = 4


class WorkResult(StrEnum):
    """How work on an upstream ended, as its instance saw it."""

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

    :param target: The model or plain service that it needs.
    :param tier: 0 is the most urgent, 3 the least.
    :param arrived_s: When it arrived, on this process's monotonic clock.
    :param first_token_by_s: When its first token is due, same clock.
    :param deadline_s: When it must have ended, same clock.
    :param max_wait_s: How long its class may wait for the floor, in seconds.
    :param expected_tokens: Estimated length of the answer, in tokens.
    :param prefix_key: Equal for requests with the same prompt prefix; empty
        when unknown.
    :param excluded_upstreams: Upstreams that it failed on already.
    :param between_tokens_target_s: Its class's bound on the mean gap between
        tokens, in seconds; 0 is no bound.
    :param is_idempotent: Whether it may be repeated.
    :param prompt_tokens: Tokens of its prompt; 0 when unknown.
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


@dataclass(frozen=True, kw_only=True)
class Grant:
    """One slot on one upstream, given to one request.

    :param grant_id: Unique over all instances.
    :param home: The instance that keeps the account; empty when the slot
        comes from the instance's own conservative share.
    """

    grant_id: str
    request_id: str
    upstream: str
    home: str = ""


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """What an upstream says of its own load, with a lag.

    :param running: Requests that it runs.
    :param waiting: Requests that wait in its own queue.
    :param slots: Requests that it can run at once.
    :param age_s: How old it says the report is, in seconds.
    """

    running: int
    waiting: int
    slots: int
    is_leaving: bool = False
    age_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class WorkReport:
    """What an instance saw of the work that a grant was for.

    :param tokens: Tokens received.
    :param first_token_s: From the send to the first token, in seconds;
        ``None`` when there was none.
    :param between_tokens_s: Mean gap between tokens, in seconds; ``None``
        with fewer than two.
    """

    result: WorkResult
    tokens: int = 0
    first_token_s: float | None = None
    between_tokens_s: float | None = None


@dataclass(frozen=True, kw_only=True)
class PoolSummary:
    """What others need to know of the account of a group of upstreams.

    :param queued: Requests that wait, by tier.
    :param in_progress: Requests that run, by tier.
    :param free_slots: Requests that could start at once.
    :param wait_s: Estimated wait of a new request by its tier, in seconds.
    """

    queued: tuple[int, ...]
    in_progress: tuple[int, ...]
    free_slots: int
    wait_s: tuple[float, ...]
