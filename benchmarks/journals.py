"""The journals of a randomised run, joined for the rules to be checked on.

All times are in seconds on the wall clock of the machine that ran it.
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
class Told:
    """What one caller was told of its request.

    :param digest: Of the request, as the upstreams journal it.
    :param request_id: Given by the instance; empty without an answer.
    :param instance: Where it was sent.
    :param idempotency_key: Empty unless it must not run twice.
    :param outcome: ``no-answer`` or ``cut`` when the end was not told.
    :param sent_s: When it was sent.
    :param ended_s: When the caller had its final answer or gave up.
    :param is_right: Whether the whole answer was that of this very request.
    :param answers: Final answers that it was given.
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
class Ran:
    """One event in an upstream's journal.

    :param event: ``received``, ``started`` or ``ended``.
    :param sender: The instance that sent it.
    :param sender_process: Tells apart the instance's processes over restarts.
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
    """A fault as it was carried out.

    :param settled_s: When the run had taken it back; for a restart, when the
        process was ready.
    :param exit_code: Of a process that was told to stop.
    """

    kind: FaultKind
    target: str
    begin_s: float
    settled_s: float
    exit_code: int | None = None


@dataclass(frozen=True, kw_only=True)
class Change:
    """What an operator was told of a change.

    :param result: ``accepted``, ``conflict``, ``refused``, ``invalid``, or empty
        without an answer.
    :param revision: The revision that it made; 0 unless accepted.
    """

    change_id: str
    instance: str
    result: str
    told_s: float
    revision: int = 0
    reason: str = ""


@dataclass(frozen=True, kw_only=True)
class InForce:
    """An instance put a revision in force.

    :param process: Counts the instance's processes, from 0.
    """

    instance: str
    process: int
    revision: int
    time_s: float


@dataclass(frozen=True, kw_only=True)
class Commit:
    """A change that the platform committed.

    :param revision: The revision that it made.
    """

    change_id: str
    revision: int
    time_s: float


@dataclass(kw_only=True)
class Journals:
    """All that is known of a run.

    :param data_centres: By the name of each instance and upstream.
    :param began_s: When the load began.
    :param stopped_s: When the fleet was told to stop.
    :param ended: Exit codes of processes that ended by themselves.
    :param violations: Lines of logs that tell a violated invariant.

    >>> Journals(data_centres={}).told
    []
    """

    data_centres: dict[str, str]
    began_s: float = 0.0
    stopped_s: float = 0.0
    told: list[Told] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    faults: list[FaultSpan] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    commits: list[Commit] = field(default_factory=list)
    in_force: list[InForce] = field(default_factory=list)
    ended: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)


def read_ran(upstream: str, events: Iterable[dict]) -> list[Ran]:
    """Read an upstream's journal.

    :param upstream: Its name.
    :param events: The journal's events.
    """
    return [
        Ran(
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
    """Read the changes of records in the platform's journal.

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
    instance: str, path: Path, killed_s: Sequence[float]
) -> tuple[list[InForce], list[str]]:
    """Read the log of an instance's processes, one after the other.

    :param instance: Its name.
    :param path: The file; lines of JSON.
    :param killed_s: When a process of the instance was killed.
    :returns: Revisions in force, and lines of violated invariants.
    """
    in_force = []
    violations = []
    stops = 0
    for event in _read_events(path):
        time_s = _parse_time(event["asctime"])
        if event["event"] == "instance-stopped":
            stops += 1
        if event["event"] == "configuration-in-force":
            entry = InForce(
                instance=instance,
                process=stops + sum(killed <= time_s for killed in killed_s),
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
    """Select the faults of some kinds on some targets.

    :param faults: All faults of the run.
    :param kinds: The kinds.
    :param targets: The targets.
    """
    kinds = set(kinds)
    targets = set(targets)
    return [each for each in faults if each.kind in kinds and each.target in targets]


def is_struck(
    spans: Iterable[FaultSpan], begin_s: float, end_s: float, margin_s: float = 0.0
) -> bool:
    """Tell whether a fault was in force in some part of a time.

    :param spans: The faults.
    :param begin_s: The begin of the time.
    :param end_s: The end of the time.
    :param margin_s: How long a fault still counts after it was taken back.
    """
    return any(
        span.begin_s <= end_s and span.settled_s + margin_s >= begin_s for span in spans
    )


def _split_request_id(request_id):
    # NAME-INCARNATION-NUMBER, where the name may hold hyphens.
    process, _, _ = request_id.rpartition("-")
    sender, _, _ = process.rpartition("-")
    return {"sender": sender, "sender_process": process}


def _read_events(path):
    for line in path.read_bytes().splitlines():
        if line.startswith(b"{"):
            yield orjson.loads(line)


def _parse_time(text):
    return datetime.strptime(text, LOG_TIME_FORMAT).timestamp()
