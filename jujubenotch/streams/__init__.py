"""Knows at which software version of a service each stream began.

What upstreams of two versions write doesn't fit together, so a stream goes on only at
the version that began it. Errors: none. Features: ``features/streams``.
"""

from jujubenotch.streams.evidence import (
    VersionBasis,
    VersionEvidence,
    judge_version,
)
from jujubenotch.streams.history import (
    VersionHistory,
    find_recent_versions,
    has_many_versions,
    has_seen_window,
    note_versions,
    record_versions,
)
from jujubenotch.streams.origins import (
    OriginTable,
    StreamOrigin,
    find_origin,
    find_origins_of,
    remember_origin,
)
from jujubenotch.streams.owners import choose_keepers, choose_owners
from jujubenotch.streams.records import (
    BATCH_SPAN_S,
    BatchName,
    RecordBook,
    StreamObjects,
    StreamRecordStore,
    VersionRecord,
    add_recorded_versions,
    choose_batches,
    choose_interval_s,
    choose_record_span_s,
    confirm_batch,
    find_due_records,
    find_held_versions,
    find_removable,
    take_batch,
)
from jujubenotch.streams.registrations import (
    RegistrationBook,
    VersionRegistration,
    find_obsolete,
    find_unregistered,
)

__all__ = [
    "BATCH_SPAN_S",
    "BatchName",
    "OriginTable",
    "RecordBook",
    "RegistrationBook",
    "StreamObjects",
    "StreamOrigin",
    "StreamRecordStore",
    "VersionBasis",
    "VersionEvidence",
    "VersionHistory",
    "VersionRecord",
    "VersionRegistration",
    "add_recorded_versions",
    "choose_batches",
    "choose_interval_s",
    "choose_keepers",
    "choose_owners",
    "choose_record_span_s",
    "confirm_batch",
    "find_due_records",
    "find_held_versions",
    "find_obsolete",
    "find_origin",
    "find_origins_of",
    "find_recent_versions",
    "find_removable",
    "find_unregistered",
    "has_many_versions",
    "has_seen_window",
    "judge_version",
    "note_versions",
    "record_versions",
    "remember_origin",
    "take_batch",
]
