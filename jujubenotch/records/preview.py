"""Compares a requested change with the records in force."""

from dataclasses import replace

from jujubenotch.records.build import edit_configuration, read_record
from jujubenotch.records.model import Configuration
from jujubenotch.records.record import InvalidRecords, RecordEdit, RecordKey
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
    """Compute the effect of a change without committing it.

    :param replica: The replica that the change is compared with.
    :param request: The requested change.
    :returns: The differences, or the conflict or problems that prevent the
        change.
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


def drop_unchanged(configuration: Configuration, edit: RecordEdit) -> RecordEdit:
    """Remove from an edit the records that equal those in force.

    An operator who applies a whole file then changes only the records that
    differ.

    :param configuration: The configuration in force.
    :param edit: The requested edit.
    :returns: The edit without the unchanged records.
    """
    records = tuple(
        record
        for record in edit.records
        if read_record(configuration, record.key) != record.body
    )
    return replace(edit, records=records)


def list_keys(edit: RecordEdit) -> list[RecordKey]:
    """List the keys of all records that an edit puts or deletes.

    :param edit: The edit.
    :returns: The keys of the records to put, then those of the deletions.
    """
    return [entry.key for entry in (*edit.records, *edit.deletions)]


def find_expected_revisions(
    replica: ConfigurationReplica, request: ChangeRequest
) -> dict[RecordKey, int]:
    """Determine the revision that each record of a change must have.

    :param replica: The replica.
    :param request: The requested change.
    :returns: Expected revisions by record key: the revision that the operator
        edited from if the request states one, otherwise the one in force.
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
    """Find the records that another operator has changed in the meantime.

    A record that already has the requested content is not a conflict, unless
    the request states the expected revision of that record.

    :param replica: The replica.
    :param request: The requested change.
    :param expected: The revision that each record must have.
    :returns: The conflict, with both versions of each record; ``None`` if there
        is none.
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
    replica: ConfigurationReplica, edit: RecordEdit
) -> tuple[RecordDifference, ...]:
    """Pair each record of an edit with the record in force.

    :param replica: The replica.
    :param edit: The edit.
    :returns: One entry for each record that the edit puts or deletes.
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
