"""Parses records from TOML files of schema versions 1 and 2."""

import tomllib
from collections.abc import Mapping

from pydantic import ValidationError

from jujubenotch.records import schema_v1, schema_v2
from jujubenotch.records.record import (
    Deletion,
    InvalidRecords,
    Problem,
    Record,
    RecordEdit,
    RecordKey,
    Source,
)
from jujubenotch.records.toml_lines import find_line, index_lines

DOCUMENT_BY_VERSION = {1: schema_v1.Document, 2: schema_v2.Document}
TABLES = (
    "team",
    "application",
    "binding",
    "upstream",
    "route",
    "power_cap",
    "drain",
)
SECRET_KEYS = frozenset({"key_sha256"})
MAX_VALUE_CHARACTERS = 60
MAX_DOCUMENT_CHARACTERS = 32_000_000
TEXTS_BY_ERROR_TYPE = {
    "extra_forbidden": ("is not a known key", "remove it or correct its name"),
    "missing": ("is missing", "add it"),
}


def parse_documents(text_by_name: Mapping[str, str]) -> RecordEdit | InvalidRecords:
    """Parse the records of several files, which may differ in schema version.

    :param text_by_name: The contents of the files, by file name.
    :returns: The records to put and to delete, or all problems found.
    """
    records: list[Record] = []
    deletions: list[Deletion] = []
    problems: list[Problem] = []
    for name, text in text_by_name.items():
        edit = parse_document(name, text)
        if isinstance(edit, InvalidRecords):
            problems.extend(edit.problems)
        else:
            records.extend(edit.records)
            deletions.extend(edit.deletions)
    problems.extend(_find_duplicates([*records, *deletions]))
    if problems:
        return InvalidRecords(problems=tuple(problems))
    return RecordEdit(records=tuple(records), deletions=tuple(deletions))


def parse_document(name: str, text: str) -> RecordEdit | InvalidRecords:
    """Parse the records of one file.

    :param name: The name of the file, used in problem messages.
    :param text: The contents of the file.
    :returns: The records to put and to delete, or all problems found.
    """
    values = _load_toml(name, text)
    if isinstance(values, Problem):
        return InvalidRecords(problems=(values,))
    lines = index_lines(text)
    version = values.get("schema_version")
    model = DOCUMENT_BY_VERSION.get(version) if type(version) is int else None
    if model is None:
        return InvalidRecords(
            problems=(_describe_version_problem(name, lines, values),)
        )
    try:
        document = model.model_validate(values)
    except ValidationError as error:
        return InvalidRecords(problems=_describe_errors(name, lines, error))
    return _convert(document, name, lines)


def _load_toml(name, text):
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        return Problem(
            file=name,
            message=f"has more than {MAX_DOCUMENT_CHARACTERS} characters",
            remedy="split the file",
        )
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        return Problem(
            file=name, message=f"is not TOML: {error}", remedy="correct the syntax"
        )


def _describe_version_problem(name, lines, values):
    is_given = "schema_version" in values
    return Problem(
        file=name,
        line=find_line(lines, ["schema_version"]),
        key="schema_version",
        value=_truncate(values["schema_version"]) if is_given else "",
        message="is not a known schema version" if is_given else "is missing",
        remedy="write schema_version = 2 (or 1 for the older form)",
    )


def _describe_errors(name, lines, error):
    problems = []
    for detail in error.errors(include_url=False, include_context=False):
        path = detail["loc"]
        default_texts = (
            "is not valid",
            detail["msg"].replace("Input should", "it should"),
        )
        message, remedy = TEXTS_BY_ERROR_TYPE.get(detail["type"], default_texts)
        has_value = detail["type"] != "missing"
        problem = Problem(
            file=name,
            line=find_line(lines, path),
            key=_format_path(path),
            value=_format_value(path, detail["input"]) if has_value else "",
            message=message,
            remedy=remedy,
        )
        problems.append(problem)
    return tuple(problems)


def _format_path(path):
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def _format_value(path, value):
    if any(part in SECRET_KEYS for part in path):
        return "(not shown)"
    return _truncate(value)


def _truncate(value):
    text = repr(value)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[:MAX_VALUE_CHARACTERS] + "..."


def _convert(document, name, lines):
    records = []
    tables = [("class", document.classes)]
    tables += [(table, getattr(document, table)) for table in TABLES]
    for table, models in tables:
        for index, model in enumerate(models):
            source = Source(file=name, line=find_line(lines, [table, index]))
            for body in model.convert():
                records.append(Record(body=body, source=source))
    if document.limits is not None:
        source = Source(file=name, line=find_line(lines, ["limits"]))
        for body in document.limits.convert():
            records.append(Record(body=body, source=source))
    deletions = []
    for index, model in enumerate(document.delete):
        source = Source(file=name, line=find_line(lines, ["delete", index]))
        deletions.append(Deletion(key=model.convert(), source=source))
    return RecordEdit(records=tuple(records), deletions=tuple(deletions))


def _find_duplicates(entries):
    first_source_by_key: dict[RecordKey, Source] = {}
    for entry in entries:
        first_source = first_source_by_key.setdefault(entry.key, entry.source)
        if first_source is not entry.source:
            yield Problem(
                file=entry.source.file,
                line=entry.source.line,
                key=str(entry.key),
                message=f"stands already at {first_source.file}:{first_source.line}",
                remedy="keep one of them",
            )
