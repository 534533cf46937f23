"""What callers are told: outcomes, reasons and refusals.

Errors: none; a refusal is a value. Features: ``features/outcomes``.
"""

from jujubenotch.outcomes.core import (
    FailureReason,
    Outcome,
    Refusal,
    RefusalReason,
    RetryReason,
)

__all__ = ["FailureReason", "Outcome", "Refusal", "RefusalReason", "RetryReason"]
