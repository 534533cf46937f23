"""Converts results, records and traces to response documents."""

from dataclasses import asdict
from typing import Any

from jujubenotch.operators.documents import (
    ApplyResponse,
    DifferenceDocument,
    ProblemDocument,
    RecordDocument,
    RecordsDocument,
    TraceDocument,
    TraceEventDocument,
)
from jujubenotch.records import (
    Accepted,
    ChangeRefusal,
    ChangeResult,
    ConfigurationReplica,
    Conflict,
    InvalidRecords,
    Preview,
    Problem,
    RecordBody,
    RecordDifference,
    Unchanged,
    get_record_key,
    list_records,
    read_record_revision,
)
from jujubenotch.traces import Trace


def convert_result(
    replica: ConfigurationReplica, change_id: str, result: ChangeResult | Preview
) -> ApplyResponse:
    """Convert the result of a change to a response document.

    :param replica: The replica, from which the revision in force is read.
    :param change_id: The id of the change.
    :param result: The result of the change or of its preview.
    :returns: The response document.
    """
    fields = {"change_id": change_id, "revision": replica.revision}
    match result:
        case Accepted():
            fields |= {"result": "accepted", "revision": result.revision}
            fields |= {"is_repeated": result.is_repeated}
        case Unchanged():
            fields |= {"result": "unchanged", "revision": result.revision}
        case Preview():
            fields |= {"result": "preview", "revision": result.revision}
            fields |= {"differences": _list_differences(result)}
        case Conflict():
            fields |= {"result": "conflict", "revision": result.revision}
            fields |= {"differences": _list_differences(result)}
        case InvalidRecords():
            problems = [convert_problem(problem) for problem in result.problems]
            fields |= {"result": "invalid", "problems": problems}
        case ChangeRefusal():
            fields |= {"result": "refused", **asdict(result)}
    return ApplyResponse(**fields)


def convert_problem(problem: Problem) -> ProblemDocument:
    """Convert a problem to a response document.

    :param problem: The problem.
    :returns: The document.
    """
    return ProblemDocument(**asdict(problem), text=str(problem))


def convert_records(
    replica: ConfigurationReplica, kind: str, name: str
) -> RecordsDocument:
    """List the records in force.

    :param replica: The replica that holds the records.
    :param kind: The kind to list; an empty string lists all kinds.
    :param name: The name to list; an empty string lists all names.
    :returns: The records, each with its revision.
    """
    records = []
    for body in list_records(replica.configuration):
        key = get_record_key(body)
        if kind in ("", key.kind) and name in ("", key.name):
            records.append(_convert_record(replica, key, body))
    return RecordsDocument(revision=replica.revision, records=records)


def convert_trace(trace: Trace) -> TraceDocument:
    """Convert the trace of a request to a response document.

    :param trace: The trace.
    :returns: The document.
    """
    events = [
        TraceEventDocument(
            after_s=round(event.after_s, 6), event=event.event, fields=event.fields
        )
        for event in trace.events
    ]
    return TraceDocument(
        request_id=trace.request_id, events=events, dropped_events=trace.dropped_events
    )


def _convert_record(replica, key, body):
    return RecordDocument(
        kind=key.kind,
        name=key.name,
        revision=read_record_revision(replica, key).revision,
        body=_convert_body(body),
    )


def _list_differences(result: Preview | Conflict) -> list[DifferenceDocument]:
    expected = result.expected_revisions if isinstance(result, Conflict) else {}
    return [
        _convert_difference(difference, expected.get(difference.key))
        for difference in result.differences
    ]


def _convert_difference(difference: RecordDifference, expected_revision):
    return DifferenceDocument(
        kind=difference.key.kind,
        name=difference.key.name,
        revision=difference.revision,
        expected_revision=expected_revision,
        in_force=_convert_body(difference.in_force),
        wanted=_convert_body(difference.wanted),
    )


def _convert_body(body: RecordBody | None) -> dict[str, Any] | None:
    return None if body is None else asdict(body)
