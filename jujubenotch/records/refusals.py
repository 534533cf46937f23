"""Refusals of changes, with their reasons, messages and retry times."""

from jujubenotch.outcomes import ChangeRefusalReason
from jujubenotch.records.record import InvalidRecords, Problem, RecordEdit
from jujubenotch.records.results import ChangeRefusal

MAX_RECORDS_PER_CHANGE = 5000
RETRY_AFTER_S = 2.0


def check_edit_size(edit: RecordEdit) -> InvalidRecords | None:
    """Check that an edit fits into one transaction.

    :param edit: The edit, without unchanged records.
    :returns: The problem; ``None`` if the edit fits.
    """
    count = len(edit.records) + len(edit.deletions)
    if count <= MAX_RECORDS_PER_CHANGE:
        return None
    problem = Problem(
        key="records",
        value=str(count),
        message=f"are more than the {MAX_RECORDS_PER_CHANGE} that one change may touch",
        remedy="split the change",
    )
    return InvalidRecords(problems=(problem,))


def refuse_reuse(change_id: str) -> ChangeRefusal:
    """Refuse a change whose id already belongs to another change.

    :param change_id: The id of the change.
    :returns: The refusal.
    """
    return ChangeRefusal(
        reason=ChangeRefusalReason.CHANGE_ID_REUSED,
        detail=f"change id {change_id!r} belongs to another change; take a new id",
    )


def refuse_unavailable(error: Exception) -> ChangeRefusal:
    """Refuse a change because calls to the platform failed.

    :param error: The error of the last call.
    :returns: The refusal.
    """
    return ChangeRefusal(
        reason=ChangeRefusalReason.PLATFORM_UNAVAILABLE,
        detail=f"nothing was changed by this request: {error}",
        retry_after_s=RETRY_AFTER_S,
    )


def refuse_after_races(attempts: int) -> ChangeRefusal:
    """Refuse a change because another change was committed first at each attempt.

    :param attempts: The number of attempts.
    :returns: The refusal.
    """
    return ChangeRefusal(
        reason=ChangeRefusalReason.RACES,
        detail=f"other changes came first {attempts} times; nothing was changed by "
        "this request",
        retry_after_s=RETRY_AFTER_S,
    )


def refuse_unsettled() -> ChangeRefusal:
    """Report that a change may or may not have been committed.

    :returns: The refusal.
    """
    return ChangeRefusal(
        reason=ChangeRefusalReason.UNSETTLED,
        detail="the platform gave no answer, so the change may have been made; "
        "repeat it with the same change id",
        retry_after_s=RETRY_AFTER_S,
    )
