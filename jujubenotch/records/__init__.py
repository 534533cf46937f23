"""Declarative records: classes, teams, bindings, upstreams, caps and limits.

Errors: ``RecordsError``; wrong records are the value ``InvalidRecords``.
Features: ``features/records``.
"""

from jujubenotch.records.build import (
    build_configuration,
    edit_configuration,
    list_records,
    read_record,
)
from jujubenotch.records.errors import RecordsError
from jujubenotch.records.lookup import CallerIdentity, find_binding, is_idempotent
from jujubenotch.records.model import (
    Application,
    Binding,
    Configuration,
    Limits,
    PowerCap,
    Route,
    ServiceClass,
    Team,
    Upstream,
    UpstreamKind,
)
from jujubenotch.records.parse import parse_documents
from jujubenotch.records.record import (
    Deletion,
    Edit,
    InvalidRecords,
    Problem,
    Record,
    RecordBody,
    RecordKey,
    RecordKind,
    Source,
    key_of,
)

__all__ = [
    "Application",
    "Binding",
    "CallerIdentity",
    "Configuration",
    "Deletion",
    "Edit",
    "InvalidRecords",
    "Limits",
    "PowerCap",
    "Problem",
    "Record",
    "RecordBody",
    "RecordKey",
    "RecordKind",
    "RecordsError",
    "Route",
    "ServiceClass",
    "Source",
    "Team",
    "Upstream",
    "UpstreamKind",
    "build_configuration",
    "edit_configuration",
    "find_binding",
    "is_idempotent",
    "key_of",
    "list_records",
    "parse_documents",
    "read_record",
]
