"""Compares what operators ask for with what is in force."""

from dataclasses import replace

from jujubenotch.records.build import edit_configuration, read_record
from jujubenotch.records.model import Configuration
from jujubenotch.records.record import Edit, InvalidRecords, RecordKey
from jujubenotch.records.replica import ConfigurationReplica, read_record_revision
from jujubenotch.records.results import (
    ChangeRequest,
    Conflict,
    Preview,
    RecordDifference,
)


def preview_change(
    replica: ConfigurationReplica, request: ChangeRequest
) -> Preview | Conflict | InvalidRecords:
    """Tell what a change would do now.

    :param replica: The replica to compare with.
    :param request: The change.
    :returns: The differences; or the conflict or problems that stop it.
    """
    expected = find_expected_revisions(replica, request)
    if conflict := find_conflict(replica, request, expected):
        return conflict
    edit = drop_unchanged(replica.configuration, request.edit)
    edited = edit_configuration(replica.configuration, edit, replica.revision + 1)
    if isinstance(edited, InvalidRecords):
        return edited
    return Preview(
        revision=replica.revision, differences=list_differences(replica, edit)
    )


def drop_unchanged(configuration: Configuration, edit: Edit) -> Edit:
    """Leave out the records that are in force as they are wanted.

    Operators who apply whole files then touch only what they changed.

    :param configuration: The configuration in force.
    :param edit: The edit.
    :returns: The edit without them.
    """
    records = tuple(
        record
        for record in edit.records
        if read_record(configuration, record.key) != record.body
    )
    return replace(edit, records=records)


def list_keys(edit: Edit) -> list[RecordKey]:
    """Return the keys of all records that an edit touches.

    :param edit: The edit.
    :returns: The keys, of the records to put first.
    """
    return [entry.key for entry in (*edit.records, *edit.deletions)]


def find_expected_revisions(
    replica: ConfigurationReplica, request: ChangeRequest
) -> dict[RecordKey, int]:
    """Return what the revision of each record must be.

    :param replica: The replica.
    :param request: The change.
    :returns: Revisions by key: what the operator edited from, or else what is
        in force now.
    """
    expected = {}
    for key in list_keys(request.edit):
        revision = read_record_revision(replica, key).revision
        if request.base_revision is not None:
            revision = min(revision, request.base_revision)
        expected[key] = request.expected_revisions.get(key, revision)
    return expected


def find_conflict(
    replica: ConfigurationReplica,
    request: ChangeRequest,
    expected: dict[RecordKey, int],
) -> Conflict | None:
    """Find the records that another operator changed.

    A record that is in force as it is wanted is no conflict, unless the
    operator named its revision.

    :param replica: The replica.
    :param request: The change.
    :param expected: The revision that each record must have.
    :returns: Both sides of each; ``None`` when there is none.
    """
    differences = tuple(
        difference
        for difference in list_differences(replica, request.edit)
        if expected[difference.key] != difference.revision
        and (
            difference.in_force != difference.wanted
            or difference.key in request.expected_revisions
        )
    )
    if not differences:
        return None
    return Conflict(
        revision=replica.revision,
        expected_revisions={entry.key: expected[entry.key] for entry in differences},
        differences=differences,
    )


def list_differences(
    replica: ConfigurationReplica, edit: Edit
) -> tuple[RecordDifference, ...]:
    """Set each record in force beside the one wanted.

    :param replica: The replica.
    :param edit: The edit.
    :returns: One entry for each record that it touches.
    """
    wanted_by_key = {record.key: record.body for record in edit.records}
    return tuple(
        RecordDifference(
            key=key,
            revision=read_record_revision(replica, key).revision,
            in_force=read_record(replica.configuration, key),
            wanted=wanted_by_key.get(key),
        )
        for key in list_keys(edit)
    )
