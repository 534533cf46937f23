"""What callers are told: outcomes, reasons and refusals.

Errors: none; a refusal is a value. Features: ``features/outcomes``.
"""

from jujubenotch.outcomes.core import (
    ChangeRefusalReason,
    FailureReason,
    Outcome,
    Refusal,
    RefusalReason,
    RetryReason,
)

__all__ = [
    "ChangeRefusalReason",
    "FailureReason",
    "Outcome",
    "Refusal",
    "RefusalReason",
    "RetryReason",
]
