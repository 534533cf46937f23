"""Requests to change the records, and their possible results."""

from dataclasses import dataclass, field

from jujubenotch.outcomes import ChangeRefusalReason
from jujubenotch.records.record import RecordBody, RecordEdit, RecordKey


@dataclass(frozen=True, kw_only=True)
class ChangeRequest:
    """A change requested by an operator.

    :param change_id: An id chosen by the operator; a repeated request with the
        id of a committed change gets the result of that change.
    :param edit: The records to put and to delete.
    :param expected_revisions: By record key, the revision that the operator
        edited from; 0 means a record that never existed.
    :param base_revision: The global revision that the operator edited all
        other records from; ``None`` means the revision in force.
    """

    change_id: str
    edit: RecordEdit
    expected_revisions: dict[RecordKey, int] = field(default_factory=dict)
    base_revision: int | None = None


@dataclass(frozen=True, kw_only=True)
class RecordDifference:
    """A record in force, next to the version that an operator requests.

    :param revision: The revision of the last change of the record; 0 if the
        record never existed.
    :param in_force: The record in force; ``None`` if there is none.
    :param wanted: The requested record; ``None`` requests a deletion.
    """

    key: RecordKey
    revision: int
    in_force: RecordBody | None
    wanted: RecordBody | None


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The change is committed.

    :param revision: The global revision that the change created.
    :param is_repeated: Whether an earlier request with the same id had already
        committed the change.
    """

    revision: int
    change_id: str
    is_repeated: bool = False


@dataclass(frozen=True, kw_only=True)
class Unchanged:
    """The records in force already have the requested content.

    :param revision: The global revision in force.
    """

    revision: int


@dataclass(frozen=True, kw_only=True)
class Preview:
    """The effect that a change would have.

    :param revision: The global revision that the change was compared with.
    :param differences: The records that would change.
    """

    revision: int
    differences: tuple[RecordDifference, ...]


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """The change is rejected because another operator changed the same records.

    :param revision: The global revision in force.
    :param expected_revisions: The revisions that the operator edited from.
    :param differences: Both versions of each conflicting record.
    """

    revision: int
    expected_revisions: dict[RecordKey, int]
    differences: tuple[RecordDifference, ...]


@dataclass(frozen=True, kw_only=True)
class ChangeRefusal:
    """The change was not committed; with ``UNSETTLED`` its outcome is unknown.

    In each case it is safe to repeat the request with the same change id.

    :param retry_after_s: Time after which to retry, in seconds.
    """

    reason: ChangeRefusalReason
    detail: str
    retry_after_s: float = 0.0
