"""The operator API: HTTP access to records, status, metrics and health checks.

All errors derive from ``OperatorsError``. The tests are in ``features/operators``.
"""

from jujubenotch.operators.app import build_operator_app
from jujubenotch.operators.dependencies import OperatorDependencies, OperatorLimits
from jujubenotch.operators.documents import (
    ApplyRequest,
    ApplyResponse,
    DifferenceDocument,
    DrainRequest,
    DrainResponse,
    ErrorDocument,
    FileDocument,
    InstanceDocument,
    InstancesDocument,
    PreviewCandidate,
    PreviewRequest,
    PreviewResponse,
    ProblemDocument,
    RecordDocument,
    RecordsDocument,
    StatusDocument,
    TraceDocument,
    TraceEventDocument,
    UpstreamDocument,
    UpstreamsDocument,
)
from jujubenotch.operators.errors import OperatorsError

__all__ = [
    "ApplyRequest",
    "ApplyResponse",
    "DifferenceDocument",
    "DrainRequest",
    "DrainResponse",
    "ErrorDocument",
    "PreviewCandidate",
    "PreviewRequest",
    "PreviewResponse",
    "FileDocument",
    "InstanceDocument",
    "InstancesDocument",
    "OperatorDependencies",
    "OperatorLimits",
    "OperatorsError",
    "ProblemDocument",
    "RecordDocument",
    "RecordsDocument",
    "StatusDocument",
    "TraceDocument",
    "TraceEventDocument",
    "UpstreamDocument",
    "UpstreamsDocument",
    "build_operator_app",
]
