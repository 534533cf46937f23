"""Builds and edits configurations from records."""

from collections.abc import Iterable
from dataclasses import replace

from jujubenotch.records.checks import find_problems
from jujubenotch.records.model import Configuration, Limits
from jujubenotch.records.record import (
    InvalidRecords,
    Problem,
    Record,
    RecordBody,
    RecordEdit,
    RecordKey,
    RecordKind,
    get_record_key,
)

FIELD_BY_KIND = {
    RecordKind.CLASS: "classes",
    RecordKind.TEAM: "teams",
    RecordKind.APPLICATION: "applications",
    RecordKind.BINDING: "bindings",
    RecordKind.UPSTREAM: "upstreams",
    RecordKind.ROUTE: "routes",
    RecordKind.POWER_CAP: "power_caps",
    RecordKind.DRAIN: "drains",
}


def build_configuration(
    records: Iterable[Record], revision: int
) -> Configuration | InvalidRecords:
    """Build a configuration from all of its records and validate it.

    :param records: All records, with unique keys.
    :param revision: The global revision of the configuration.
    :returns: The configuration, or all problems found.
    """
    edit = RecordEdit(records=tuple(records))
    return edit_configuration(Configuration(), edit, revision)


def edit_configuration(
    configuration: Configuration, edit: RecordEdit, revision: int
) -> Configuration | InvalidRecords:
    """Apply an edit to a configuration and validate the result.

    :param configuration: The configuration to start from.
    :param edit: The records to put and to delete.
    :param revision: The global revision of the new configuration.
    :returns: The new configuration, or all problems found.
    """
    problems = [
        Problem(
            file=deletion.source.file,
            line=deletion.source.line,
            key=str(deletion.key),
            message="is not in force, so it can't be deleted",
            remedy="correct the name or leave the deletion out",
        )
        for deletion in edit.deletions
        if read_record(configuration, deletion.key) is None
    ]
    edited = replace_records(
        configuration,
        puts=[record.body for record in edit.records],
        deletes=[deletion.key for deletion in edit.deletions],
        revision=revision,
    )
    sources = {record.body: record.source for record in edit.records}
    problems += find_problems(edited, sources)
    if problems:
        return InvalidRecords(problems=tuple(problems))
    return edited


def replace_records(
    configuration: Configuration,
    *,
    puts: Iterable[RecordBody],
    deletes: Iterable[RecordKey],
    revision: int,
) -> Configuration:
    """Return a configuration with some records replaced, without validation.

    :param configuration: The configuration to start from; it is not modified.
    :param puts: The records to add or replace.
    :param deletes: The keys of the records to delete.
    :param revision: The global revision of the new configuration.
    :returns: The new configuration; the kinds without changes share their
        mappings with the old one.
    """
    changed: dict[str, dict] = {}
    limits = configuration.limits
    for key in deletes:
        if key.kind is RecordKind.LIMITS:
            limits = Limits()
        else:
            _get_mutable(changed, configuration, key.kind).pop(key.name, None)
    for body in puts:
        key = get_record_key(body)
        if key.kind is RecordKind.LIMITS:
            limits = body
        else:
            _get_mutable(changed, configuration, key.kind)[key.name] = body
    return replace(configuration, revision=revision, limits=limits, **changed)


def list_records(configuration: Configuration) -> list[RecordBody]:
    """List all records of a configuration, ordered by kind and name.

    :param configuration: The configuration.
    :returns: The records; the limits come last.
    """
    bodies = []
    for field in FIELD_BY_KIND.values():
        body_by_name = getattr(configuration, field)
        bodies += [body_by_name[name] for name in sorted(body_by_name)]
    return [*bodies, configuration.limits]


def read_record(configuration: Configuration, key: RecordKey) -> RecordBody | None:
    """Return the record with the given key.

    :param configuration: The configuration.
    :param key: The key of the record.
    :returns: The record; ``None`` if it does not exist.
    """
    if key.kind is RecordKind.LIMITS:
        return configuration.limits
    return getattr(configuration, FIELD_BY_KIND[key.kind]).get(key.name)


def _get_mutable(changed, configuration, kind):
    field = FIELD_BY_KIND[kind]
    if field not in changed:
        changed[field] = dict(getattr(configuration, field))
    return changed[field]
