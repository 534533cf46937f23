"""The outcomes, reasons and refusals that are reported to callers.

Errors: none; a refusal is returned as a value. Features: ``features/outcomes``.
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
