"""What an operator asks of the records, and what became of it."""

from dataclasses import dataclass, field

from jujubenotch.outcomes import ChangeRefusalReason
from jujubenotch.records.record import Edit, RecordBody, RecordKey


@dataclass(frozen=True, kw_only=True)
class ChangeRequest:
    """A change that an operator asks for.

    :param change_id: The operator's own id; a repeat with the same id is
        answered from the first.
    :param edit: The records to put and to delete.
    :param expected_revisions: For each record the revision that the operator
        edited from; 0 stands for a record that does not exist.
    :param base_revision: The global revision that the operator edited all
        other records from; ``None`` stands for what is in force now.
    """

    change_id: str
    edit: Edit
    expected_revisions: dict[RecordKey, int] = field(default_factory=dict)
    base_revision: int | None = None


@dataclass(frozen=True, kw_only=True)
class RecordDifference:
    """One record as it is and as an operator wants it.

    :param revision: The revision of its last change; 0 when it never existed.
    :param in_force: The record in force; ``None`` when there is none.
    :param wanted: The record wanted; ``None`` asks for its deletion.
    """

    key: RecordKey
    revision: int
    in_force: RecordBody | None
    wanted: RecordBody | None


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """A change is committed.

    :param revision: The global revision that it made.
    :param is_repeated: Whether an earlier request with its id had made it.
    """

    revision: int
    change_id: str
    is_repeated: bool = False


@dataclass(frozen=True, kw_only=True)
class Unchanged:
    """All that was asked for is in force already.

    :param revision: The global revision in force.
    """

    revision: int


@dataclass(frozen=True, kw_only=True)
class Preview:
    """What a change would do.

    :param revision: The global revision that it was compared with.
    :param differences: The records that would change.
    """

    revision: int
    differences: tuple[RecordDifference, ...]


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """A sentinel: another operator changed the same records.

    :param revision: The global revision in force.
    :param expected_revisions: The revisions that the operator edited from.
    :param differences: Both sides of each such record.
    """

    revision: int
    expected_revisions: dict[RecordKey, int]
    differences: tuple[RecordDifference, ...]


@dataclass(frozen=True, kw_only=True)
class ChangeRefusal:
    """A sentinel: a change was not made, or for ``UNSETTLED`` may be made.

    A repeat with the same change id is safe in each case.

    :param retry_after_s: When to come back, in seconds.
    """

    reason: ChangeRefusalReason
    detail: str
    retry_after_s: float = 0.0
