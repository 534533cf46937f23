"""The journals of a randomised run, in the form that the rules are checked on.

All times are wall-clock times of the machine that the run took place on, in seconds.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

import orjson

from benchmarks.schedule import FaultKind

CHANGE_IDS_TABLE = "configuration-change-ids"
LOG_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
STARTED = "started"
RECEIVED = "received"


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A request as its caller saw it.

    :param digest: The digest of the request, as in the upstreams' journals.
    :param request_id: The id that the instance assigned; empty without an answer.
    :param instance: The instance that the request was sent to.
    :param idempotency_key: The key of a request that must not run twice; otherwise
        empty.
    :param outcome: The reported outcome; ``no-answer`` or ``cut`` if the caller got
        no final answer.
    :param sent_s: When the request was sent.
    :param ended_s: When the caller got its final answer or gave up.
    :param is_right: Whether the answer was complete and belonged to this request.
    :param answers: The number of final answers that the caller got.
    """

    number: int
    digest: str
    instance: str
    service_class: str
    tier: int
    target: str
    outcome: str
    sent_s: float
    ended_s: float
    deadline_s: float
    request_id: str = ""
    reason: str = ""
    idempotency_key: str = ""
    is_right: bool = False
    answers: int = 1


@dataclass(frozen=True, kw_only=True)
class UpstreamEntry:
    """One event of a request in an upstream's journal.

    :param event: ``received``, ``started`` or ``ended``.
    :param sender: The instance that sent the request.
    :param sender_process: The process of the instance that sent the request; a
        restarted instance is another process.
    """

    upstream: str
    event: str
    digest: str
    time_s: float
    request_id: str = ""
    sender: str = ""
    sender_process: str = ""
    idempotency_key: str = ""


@dataclass(frozen=True, kw_only=True)
class FaultSpan:
    """An injected fault.

    :param settled_s: When the fault had been cleared; for a restart, when the
        process was ready.
    :param exit_code: The exit code of a process that was stopped as planned.
    """

    kind: FaultKind
    target: str
    begin_s: float
    settled_s: float
    exit_code: int | None = None


@dataclass(frozen=True, kw_only=True)
class Change:
    """A change of records as its operator saw it.

    :param result: ``accepted``, ``unchanged``, ``conflict``, ``refused``,
        ``invalid``, or empty without an answer.
    :param told_s: When the operator got the result or gave up.
    :param revision: The revision that the change created; 0 unless accepted.
    """

    change_id: str
    instance: str
    result: str
    told_s: float
    revision: int = 0
    reason: str = ""


@dataclass(frozen=True, kw_only=True)
class RevisionInForce:
    """A revision of the records that came into force at an instance.

    :param process: The number of the instance's process: 0 for the first one, one
        more after each restart.
    :param time_s: When the revision came into force.
    """

    instance: str
    process: int
    revision: int
    time_s: float


@dataclass(frozen=True, kw_only=True)
class Commit:
    """A change that the platform committed.

    :param revision: The revision that the change created.
    """

    change_id: str
    revision: int
    time_s: float


@dataclass(kw_only=True)
class Journals:
    """All journals of a run.

    :param data_centres: The data centre of each instance and upstream, by its name.
    :param began_s: When the load began.
    :param stopped_s: When the fleet was asked to stop.
    :param told: The requests as their callers saw them.
    :param ran: The events in the upstreams' journals.
    :param ended: Exit codes of processes that ended unexpectedly, by name.
    :param violations: Log lines that report a violated invariant.

    >>> Journals(data_centres={}).told
    []
    """

    data_centres: dict[str, str]
    began_s: float = 0.0
    stopped_s: float = 0.0
    told: list[CallerRequest] = field(default_factory=list)
    ran: list[UpstreamEntry] = field(default_factory=list)
    faults: list[FaultSpan] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    commits: list[Commit] = field(default_factory=list)
    in_force: list[RevisionInForce] = field(default_factory=list)
    ended: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)


def read_upstream_journal(upstream: str, events: Iterable[dict]) -> list[UpstreamEntry]:
    """Read an upstream's journal.

    :param upstream: The upstream's name.
    :param events: The journal's events.
    """
    return [
        UpstreamEntry(
            upstream=upstream,
            event=event["event"],
            digest=event["digest"],
            time_s=event["time_s"],
            idempotency_key=event["idempotency_key"] or "",
            request_id=event["request_id"] or "",
            **_split_request_id(event["request_id"] or ""),
        )
        for event in events
    ]


def read_commits(events: Iterable[dict]) -> list[Commit]:
    """Read the committed changes of records from the platform's journal.

    :param events: The journal's events.
    """
    return [
        Commit(
            change_id=write["key"],
            revision=orjson.loads(write["value"])["revision"],
            time_s=event["time_s"],
        )
        for event in events
        if event["event"] == "committed"
        for write in event["writes"]
        if write["table"] == CHANGE_IDS_TABLE
    ]


def read_logs(
    instance: str, path: Path, kill_times_s: Sequence[float]
) -> tuple[list[RevisionInForce], list[str]]:
    """Read the log that the successive processes of an instance wrote.

    :param instance: The instance's name.
    :param path: The log file, with one JSON object on each line.
    :param kill_times_s: The times at which a process of the instance was killed.
    :returns: The revisions that came into force, and the log lines that report a
        violated invariant.
    """
    in_force = []
    violations = []
    stops = 0
    for event in _read_events(path):
        time_s = _parse_time(event["asctime"])
        if event["event"] == "instance-stopped":
            stops += 1
        if event["event"] == "configuration-in-force":
            entry = RevisionInForce(
                instance=instance,
                process=stops
                + sum(kill_time_s <= time_s for kill_time_s in kill_times_s),
                revision=event["revision"],
                time_s=time_s,
            )
            in_force.append(entry)
        if event["event"] == "invariant-violated":
            violations.append(f"{instance}: {orjson.dumps(event).decode()}")
    return in_force, violations


def select_spans(
    faults: Sequence[FaultSpan], kinds: Iterable[FaultKind], targets: Iterable[str]
) -> list[FaultSpan]:
    """Select the faults by kind and target.

    :param faults: All faults of the run.
    :param kinds: The kinds to select.
    :param targets: The targets to select.
    """
    kinds = set(kinds)
    targets = set(targets)
    return [each for each in faults if each.kind in kinds and each.target in targets]


def has_overlap(
    spans: Iterable[FaultSpan], begin_s: float, end_s: float, margin_s: float = 0.0
) -> bool:
    """Return whether any fault overlaps a time interval.

    :param spans: The faults.
    :param begin_s: The start of the interval.
    :param end_s: The end of the interval.
    :param margin_s: How long a fault still counts after it was cleared.
    """
    return any(
        span.begin_s <= end_s and span.settled_s + margin_s >= begin_s for span in spans
    )


def _split_request_id(request_id):
    # The form is NAME-INCARNATION-NUMBER, and the name may contain hyphens.
    process, _, _ = request_id.rpartition("-")
    sender, _, _ = process.rpartition("-")
    return {"sender": sender, "sender_process": process}


def _read_events(path):
    for line in path.read_bytes().splitlines():
        if line.startswith(b"{"):
            yield orjson.loads(line)


def _parse_time(text):
    return datetime.strptime(text, LOG_TIME_FORMAT).timestamp()
