"""The outcomes, reasons and refusals that are reported to callers.

Errors: none; a refusal is returned as a value. Features: ``features/outcomes``.
"""

from jujubenotch.outcomes.core import (
    OUTCOME_HEADER,
    REASON_HEADER,
    ChangeRefusalReason,
    FailureReason,
    Outcome,
    Refusal,
    RefusalReason,
    RetryBudgetEvent,
    RetryReason,
)

__all__ = [
    "OUTCOME_HEADER",
    "REASON_HEADER",
    "ChangeRefusalReason",
    "FailureReason",
    "Outcome",
    "Refusal",
    "RefusalReason",
    "RetryBudgetEvent",
    "RetryReason",
]
