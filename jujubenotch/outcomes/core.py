"""The fixed sets of outcomes and reasons, for callers and metrics."""

from dataclasses import dataclass
from enum import StrEnum

# Headers of the responses that this system makes itself.
OUTCOME_HEADER = "X-Jujubenotch-Outcome"
REASON_HEADER = "X-Jujubenotch-Reason"
# The number of times that a request of another instance was sent to an upstream.
ATTEMPTS_HEADER = "X-Jujubenotch-Attempts"
# The id of the request that a response to another instance is about.
REQUEST_HEADER = "X-Jujubenotch-Request"
# HTTP statuses that promise that the request was not run.
STATUSES_IMPLYING_NOT_RUN = frozenset({408, 421, 429, 503})


class Outcome(StrEnum):
    """The outcome of a request.

    ``NOT_RUN`` is used only when no upstream can have started the request.
    ``UNKNOWN`` is used when the request may have run and nothing proves whether
    it did.
    """

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class RefusalReason(StrEnum):
    """Why a request was not run."""

    AUTHENTICATION = "authentication"
    FORBIDDEN = "forbidden"
    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body-too-large"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_SERVICE = "unknown-service"
    NO_BINDING = "no-binding"
    NO_UPSTREAM = "no-upstream"
    QUEUE_FULL = "queue-full"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DEADLINE_PASSED = "deadline-passed"
    TEAM_LIMIT = "team-limit"
    POWER_CAP = "power-cap"
    STARTING = "starting"
    STALE_CONFIGURATION = "stale-configuration"
    SHUTTING_DOWN = "shutting-down"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    KEY_REUSED = "key-reused"
    CLAIM_HELD = "claim-held"
    UPSTREAM_REFUSED = "upstream-refused"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    UPSTREAM_LIMIT = "upstream-limit"
    UPSTREAM_WAIT = "upstream-wait"
    UPSTREAM_FULL = "upstream-full"
    CRASHES_UPSTREAMS = "crashes-upstreams"
    STREAM_ORIGIN_UNKNOWN = "stream-origin-unknown"
    VERSION_UNAVAILABLE = "version-unavailable"


class RetryBudgetEvent(StrEnum):
    """What is counted of the retry budget.

    The sum of retries over all instances is bounded by a ratio of the sum of requests.
    """

    REQUEST = "request"
    RETRY = "retry"
    RETURNED = "returned"
    DENIED = "denied"


class RetryReason(StrEnum):
    """Why a request is sent again."""

    CONNECT_FAILED = "connect-failed"
    UPSTREAM_REFUSED = "upstream-refused"
    MISDIRECTED = "misdirected"
    UPSTREAM_ERROR = "upstream-error"
    CONNECTION_LOST = "connection-lost"
    SILENT = "silent"
    STREAM_TRUNCATED = "stream-truncated"
    STREAM_RESTARTED = "stream-restarted"


class FailureReason(StrEnum):
    """Why a request that may have run has no complete response."""

    UPSTREAM_ERROR = "upstream-error"
    CONNECTION_LOST = "connection-lost"
    SILENT = "silent"
    STREAM_TRUNCATED = "stream-truncated"
    STREAM_RESTARTED = "stream-restarted"
    DEADLINE_PASSED = "deadline-passed"
    CALLER_LEFT = "caller-left"
    CLAIM_HELD = "claim-held"
    RETRY_BUDGET = "retry-budget"
    PLATFORM_UNAVAILABLE = "platform-unavailable"


class ChangeRefusalReason(StrEnum):
    """Why a change of the records was refused.

    ``UNSETTLED`` is used when the change may nevertheless have been made.
    """

    MALFORMED = "malformed"
    INVALID = "invalid"
    CONFLICT = "conflict"
    CHANGE_ID_REUSED = "change-id-reused"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    RACES = "races"
    UNSETTLED = "unsettled"


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """A refusal, which is returned in place of a result.

    :param reason: Why the request is refused.
    :param retry_after_s: How long the caller should wait before it retries, in
        seconds.
    :param detail: One sentence for the caller that states the value, the limit
        and the remedy.

    >>> Refusal(reason=RefusalReason.QUEUE_FULL, retry_after_s=2.0).reason
    <RefusalReason.QUEUE_FULL: 'queue-full'>
    """

    reason: RefusalReason
    retry_after_s: float
    detail: str = ""
