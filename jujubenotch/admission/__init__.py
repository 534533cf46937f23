"""Which request runs next, and where: queues, reserves and fair shares.

Errors: none; a refusal is a value. Features: ``features/admission``.
"""

from jujubenotch.admission.model import (
    Grant,
    LoadReport,
    WorkReport,
    WorkRequest,
    WorkResult,
)

__all__ = ["Grant", "LoadReport", "WorkReport", "WorkRequest", "WorkResult"]
