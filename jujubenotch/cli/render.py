"""Prints response documents as text or as JSON."""

import sys
from collections.abc import Iterable, Sequence

import orjson
import tomli_w
from pydantic import BaseModel

from jujubenotch.operators import (
    ApplyResponse,
    DifferenceDocument,
    DrainResponse,
    PreviewResponse,
    RecordsDocument,
    TraceDocument,
)
from jujubenotch.records import Problem, RecordKind

SCHEMA_VERSION = 2
EMPTY_VALUE = "-"


def print_json(response: BaseModel) -> None:
    """Print a response as one line of JSON.

    :param response: The response document.
    """
    print(response.model_dump_json())


def print_problems(problems: Sequence[Problem], *, is_json: bool) -> None:
    """Print all problems of the records, one problem per line.

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


def print_apply_response(response: ApplyResponse) -> None:
    """Print the result of a change.

    :param response: The response document.
    """
    match response.result:
        case "accepted":
            suffix = " (by an earlier request)" if response.is_repeated else ""
            print(f"accepted at revision {response.revision}{suffix}")
        case "unchanged":
            print(f"nothing to change at revision {response.revision}")
        case "preview":
            _print_preview(response)
        case "conflict":
            _print_conflict(response)
        case "invalid":
            for problem in response.problems:
                print(problem.text, file=sys.stderr)
            print("nothing was changed", file=sys.stderr)
        case "refused":
            print(f"{response.reason}: {response.detail}", file=sys.stderr)


def print_records(response: RecordsDocument) -> None:
    """Print records as TOML of schema version 2.

    :param response: The response document.
    """
    print(f"# revision {response.revision}")
    print(f"schema_version = {SCHEMA_VERSION}")
    for record in response.records:
        print(f"\n# changed at revision {record.revision}")
        print(_format_record(record), end="")


def print_fields(response: BaseModel) -> None:
    """Print the fields of a response, one field per line.

    :param response: The response document.
    """
    fields = response.model_dump()
    width = max(map(len, fields))
    for name, value in fields.items():
        print(f"{name:<{width}}  {_format_value(value)}")


def print_table(rows: Iterable[BaseModel]) -> None:
    """Print documents as a table with one row each, under their field names.

    :param rows: The documents, all of one type.
    """
    cells = [
        {name: _format_value(value) for name, value in row.model_dump().items()}
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


def print_trace(response: TraceDocument) -> None:
    """Print the trace of a request, one event per line.

    :param response: The response document.
    """
    if response.dropped_events:
        print(f"({response.dropped_events} older events are not kept)")
    for event in response.events:
        fields = " ".join(
            f"{name}={_format_value(value)}" for name, value in event.fields.items()
        )
        print(f"{event.after_s:10.3f} s  {event.event} {fields}".rstrip())


def print_preview(response: PreviewResponse) -> None:
    """Print where a request would go, and the upstreams it could go to.

    :param response: The response document.
    """
    print_fields(response.model_copy(update={"candidates": len(response.candidates)}))
    print()
    print_table(response.candidates)


def print_drain(response: DrainResponse) -> None:
    """Print the state of a drain.

    :param response: The response document.
    """
    if response.is_draining:
        print(f"{response.upstream} gets no new work")
    else:
        print(f"{response.upstream} gets work again")
    if not response.is_lasting:
        print(
            f"the records were not changed ({response.detail}), so the new state "
            "lasts only until the instance stops; repeat this when the platform "
            "answers",
            file=sys.stderr,
        )


def _print_preview(response):
    for difference in response.differences:
        _print_difference(difference)
    if not response.differences:
        print(f"nothing to change at revision {response.revision}")


def _print_difference(difference: DifferenceDocument):
    key = f"{difference.kind}/{difference.name}"
    if difference.wanted is None:
        print(f"- {key}")
        return
    sign = "~" if difference.in_force else "+"
    print(f"{sign} {key}")
    in_force = difference.in_force or {}
    for name, value in difference.wanted.items():
        if name not in in_force:
            print(f"    {name} = {_format_value(value)}")
        elif in_force[name] != value:
            print(
                f"    {name} = {_format_value(in_force[name])} -> "
                f"{_format_value(value)}"
            )


def _print_conflict(response):
    for difference in response.differences:
        print(
            f"{difference.kind}/{difference.name}: edited from revision "
            f"{difference.expected_revision}, since changed at revision "
            f"{difference.revision}",
            file=sys.stderr,
        )
        _print_versions(difference)
    print(
        "nothing was changed; get the records in force, edit them and apply again",
        file=sys.stderr,
    )


def _print_versions(difference):
    in_force = difference.in_force
    wanted = difference.wanted
    if in_force is None or wanted is None:
        print(f"    in force: {_format_body(in_force)}", file=sys.stderr)
        print(f"    yours:    {_format_body(wanted)}", file=sys.stderr)
        return
    for name in wanted:
        if in_force.get(name) != wanted[name]:
            print(
                f"    {name}: in force {_format_value(in_force.get(name))}, "
                f"yours {_format_value(wanted[name])}",
                file=sys.stderr,
            )


def _format_body(body):
    if body is None:
        return "deleted"
    return " ".join(f"{name}={_format_value(value)}" for name, value in body.items())


def _format_record(record):
    body = {
        "class" if name == "service_class" else name: value
        for name, value in record.body.items()
        if value != ""
    }
    header = "[limits]" if record.kind == RecordKind.LIMITS else f"[[{record.kind}]]"
    return f"{header}\n{tomli_w.dumps(body)}"


def _format_value(value):
    if value is None or value == "":
        return EMPTY_VALUE
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list | tuple):
        return ",".join(map(str, value)) or EMPTY_VALUE
    if isinstance(value, dict):
        return ",".join(f"{key}:{entry}" for key, entry in value.items()) or EMPTY_VALUE
    return str(value)
