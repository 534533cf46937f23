"""The closed sets of outcomes and reasons that callers and counters see."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """What became of a request.

    ``NOT_RUN`` is said only when no upstream can have started the request.
    ``UNKNOWN`` is said when it may have run and no proof exists either way.
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


class RetryReason(StrEnum):
    """Why a request is sent to an upstream once more."""

    CONNECT_FAILED = "connect-failed"
    UPSTREAM_REFUSED = "upstream-refused"
    MISDIRECTED = "misdirected"
    UPSTREAM_ERROR = "upstream-error"
    CONNECTION_LOST = "connection-lost"
    SILENT = "silent"
    STREAM_TRUNCATED = "stream-truncated"
    STREAM_RESTARTED = "stream-restarted"


class FailureReason(StrEnum):
    """Why a request that was sent has no whole answer."""

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
    """Why a change of the records was not made.

    ``UNSETTLED`` is said when it may have been made.
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
    """A sentinel that stands in place of a result, with its reason.

    :param reason: Why the request is refused.
    :param retry_after_s: When to come back, in seconds.
    :param detail: One sentence for the caller, with the value, the bound and
        the remedy.

    >>> Refusal(reason=RefusalReason.QUEUE_FULL, retry_after_s=2.0).reason
    <RefusalReason.QUEUE_FULL: 'queue-full'>
    """

    reason: RefusalReason
    retry_after_s: float
    detail: str = ""
