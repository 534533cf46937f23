"""Prints response documents as text or as JSON."""

import sys
from collections.abc import Iterable, Sequence

import orjson
import tomli_w
from pydantic import BaseModel

from jujubenotch.operators import (
    ApplyAnswer,
    DifferenceDocument,
    DrainDocument,
    RecordsDocument,
    TraceDocument,
)
from jujubenotch.records import Problem, RecordKind

SCHEMA_VERSION = 2
NOTHING = "-"


def print_json(answer: BaseModel) -> None:
    """Print a response as one line of JSON.

    :param answer: The response document.
    """
    print(answer.model_dump_json())


def print_problems(problems: Sequence[Problem], *, is_json: bool) -> None:
    """Print all problems of the records, one problem a line.

    :param problems: The problems; empty if the records are valid.
    :param is_json: Whether to print JSON.
    """
    if is_json:
        content = orjson.dumps({"is_valid": not problems, "problems": problems})
        print(content.decode())
        return
    for problem in problems:
        print(problem, file=sys.stderr)
    if not problems:
        print("the records are valid")


def print_apply_answer(answer: ApplyAnswer) -> None:
    """Print the result of a change.

    :param answer: The response document.
    """
    match answer.result:
        case "accepted":
            again = " (by an earlier request)" if answer.is_repeated else ""
            print(f"accepted at revision {answer.revision}{again}")
        case "unchanged":
            print(f"nothing to change at revision {answer.revision}")
        case "preview":
            _print_preview(answer)
        case "conflict":
            _print_conflict(answer)
        case "invalid":
            for problem in answer.problems:
                print(problem.text, file=sys.stderr)
            print("nothing was changed", file=sys.stderr)
        case "refused":
            print(f"{answer.reason}: {answer.detail}", file=sys.stderr)


def print_records(answer: RecordsDocument) -> None:
    """Print records as TOML of schema version 2.

    :param answer: The response document.
    """
    print(f"# revision {answer.revision}")
    print(f"schema_version = {SCHEMA_VERSION}")
    for record in answer.records:
        print(f"\n# changed at revision {record.revision}")
        print(_write_table(record), end="")


def print_fields(answer: BaseModel) -> None:
    """Print the fields of a response, one field a line.

    :param answer: The response document.
    """
    fields = answer.model_dump()
    width = max(map(len, fields))
    for name, value in fields.items():
        print(f"{name:<{width}}  {_write_value(value)}")


def print_table(rows: Iterable[BaseModel]) -> None:
    """Print documents as a table with one row each, under their field names.

    :param rows: The documents, all of one type.
    """
    cells = [
        {name: _write_value(value) for name, value in row.model_dump().items()}
        for row in rows
    ]
    if not cells:
        print("none")
        return
    lines = [dict(zip(cells[0], cells[0], strict=True)), *cells]
    widths = {name: max(len(line[name]) for line in lines) for name in cells[0]}
    for line in lines:
        padded = (f"{line[name]:<{width}}" for name, width in widths.items())
        print("  ".join(padded).rstrip())


def print_trace(answer: TraceDocument) -> None:
    """Print the trace of a request, one event a line.

    :param answer: The response document.
    """
    if answer.dropped_events:
        print(f"({answer.dropped_events} older events are not kept)")
    for event in answer.events:
        fields = " ".join(
            f"{name}={_write_value(value)}" for name, value in event.fields.items()
        )
        print(f"{event.after_s:10.3f} s  {event.event} {fields}".rstrip())


def print_drain(answer: DrainDocument) -> None:
    """Print the state of a drain.

    :param answer: The response document.
    """
    if answer.is_draining:
        print(f"{answer.upstream} gets no new work")
    else:
        print(f"{answer.upstream} gets work again")
    if not answer.is_lasting:
        print(
            f"the records were not changed ({answer.detail}), so the new state "
            "lasts only until the instance stops; repeat this when the platform "
            "answers",
            file=sys.stderr,
        )


def _print_preview(answer):
    for difference in answer.differences:
        _print_difference(difference)
    if not answer.differences:
        print(f"nothing to change at revision {answer.revision}")


def _print_difference(difference: DifferenceDocument):
    key = f"{difference.kind}/{difference.name}"
    if difference.wanted is None:
        print(f"- {key}")
        return
    sign = "~" if difference.in_force else "+"
    print(f"{sign} {key}")
    before = difference.in_force or {}
    for name, value in difference.wanted.items():
        if name not in before:
            print(f"    {name} = {_write_value(value)}")
        elif before[name] != value:
            print(f"    {name} = {_write_value(before[name])} -> {_write_value(value)}")


def _print_conflict(answer):
    for difference in answer.differences:
        print(
            f"{difference.kind}/{difference.name}: edited from revision "
            f"{difference.expected_revision}, since changed at revision "
            f"{difference.revision}",
            file=sys.stderr,
        )
        _print_sides(difference)
    print(
        "nothing was changed; get the records in force, edit them and apply again",
        file=sys.stderr,
    )


def _print_sides(difference):
    in_force = difference.in_force
    wanted = difference.wanted
    if in_force is None or wanted is None:
        print(f"    in force: {_write_side(in_force)}", file=sys.stderr)
        print(f"    yours:    {_write_side(wanted)}", file=sys.stderr)
        return
    for name in wanted:
        if in_force.get(name) != wanted[name]:
            print(
                f"    {name}: in force {_write_value(in_force.get(name))}, "
                f"yours {_write_value(wanted[name])}",
                file=sys.stderr,
            )


def _write_side(body):
    if body is None:
        return "deleted"
    return " ".join(f"{name}={_write_value(value)}" for name, value in body.items())


def _write_table(record):
    body = {
        "class" if name == "service_class" else name: value
        for name, value in record.body.items()
        if value != ""
    }
    header = "[limits]" if record.kind == RecordKind.LIMITS else f"[[{record.kind}]]"
    return f"{header}\n{tomli_w.dumps(body)}"


def _write_value(value):
    if value is None or value == "":
        return NOTHING
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list | tuple):
        return ",".join(map(str, value)) or NOTHING
    if isinstance(value, dict):
        return ",".join(f"{key}:{entry}" for key, entry in value.items()) or NOTHING
    return str(value)
