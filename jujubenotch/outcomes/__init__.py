"""The outcomes, reasons and refusals that are reported to callers.

Errors: none; a refusal is returned as a value. Features: ``features/outcomes``.
"""

from jujubenotch.outcomes.core import (
    ATTEMPTS_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_HEADER,
    STATUSES_IMPLYING_NOT_RUN,
    ChangeRefusalReason,
    FailureReason,
    Outcome,
    Refusal,
    RefusalReason,
    RetryBudgetEvent,
    RetryReason,
)

__all__ = [
    "ATTEMPTS_HEADER",
    "OUTCOME_HEADER",
    "REASON_HEADER",
    "REQUEST_HEADER",
    "STATUSES_IMPLYING_NOT_RUN",
    "ChangeRefusalReason",
    "FailureReason",
    "Outcome",
    "Refusal",
    "RefusalReason",
    "RetryBudgetEvent",
    "RetryReason",
]
