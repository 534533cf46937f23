"""Declarative records: classes, teams, bindings, upstreams, power caps and limits.

Exceptions: ``RecordsError``. Records that fail validation give the result
``InvalidRecords``, not an exception. Features: ``features/records``.
"""

from jujubenotch.records.build import (
    build_configuration,
    edit_configuration,
    list_records,
    read_record,
)
from jujubenotch.records.change import RecordRevision
from jujubenotch.records.errors import RecordsError
from jujubenotch.records.lookup import CallerIdentity, identify_caller, is_idempotent
from jujubenotch.records.model import (
    Application,
    Binding,
    Configuration,
    Drain,
    Limits,
    PowerCap,
    Route,
    ServiceClass,
    Team,
    Upstream,
    UpstreamKind,
)
from jujubenotch.records.parse import parse_documents
from jujubenotch.records.poll import ConfigurationHead, poll_platform
from jujubenotch.records.preview import preview_change
from jujubenotch.records.record import (
    Deletion,
    InvalidRecords,
    Problem,
    Record,
    RecordBody,
    RecordEdit,
    RecordKey,
    RecordKind,
    Source,
    get_record_key,
)
from jujubenotch.records.replica import (
    ConfigurationReplica,
    apply_changes,
    copy_replica,
    encode_changes_since,
    read_record_revision,
)
from jujubenotch.records.results import (
    Accepted,
    ChangeRefusal,
    ChangeRequest,
    Conflict,
    Preview,
    RecordDifference,
    Unchanged,
)
from jujubenotch.records.store import (
    ChangeResult,
    ConfigurationStore,
    submit_change,
)

__all__ = [
    "Accepted",
    "Application",
    "Binding",
    "CallerIdentity",
    "ChangeRefusal",
    "ChangeRequest",
    "ChangeResult",
    "Configuration",
    "ConfigurationHead",
    "ConfigurationReplica",
    "ConfigurationStore",
    "Conflict",
    "Deletion",
    "Drain",
    "InvalidRecords",
    "Limits",
    "PowerCap",
    "Preview",
    "Problem",
    "Record",
    "RecordBody",
    "RecordDifference",
    "RecordEdit",
    "RecordKey",
    "RecordKind",
    "RecordRevision",
    "RecordsError",
    "Route",
    "ServiceClass",
    "Source",
    "Team",
    "Unchanged",
    "Upstream",
    "UpstreamKind",
    "apply_changes",
    "build_configuration",
    "copy_replica",
    "edit_configuration",
    "encode_changes_since",
    "get_record_key",
    "identify_caller",
    "is_idempotent",
    "list_records",
    "parse_documents",
    "poll_platform",
    "preview_change",
    "read_record",
    "read_record_revision",
    "submit_change",
]
