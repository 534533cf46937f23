"""Makes small journals without violations, which scenarios then change."""

from benchmarks.journals import (
    CallerRequest,
    Change,
    Commit,
    FaultSpan,
    Journals,
    RevisionInForce,
    UpstreamEntry,
)
from benchmarks.schedule import FaultKind

INSTANCE = "a-1"
SIBLING = "a-2"
ENGINE = "engine-1"
QUERY_AT_S = 100.0


def make_request(number, sent_s, **fields):
    values = {
        "digest": f"digest-{number}",
        "request_id": f"{INSTANCE}-f00-{number}",
        "instance": INSTANCE,
        "service_class": "query",
        "tier": 0,
        "target": "model",
        "outcome": "completed",
        "ended_s": sent_s + 1.0,
        "deadline_s": 10.0,
        "is_right": True,
    }
    return CallerRequest(number=number, sent_s=sent_s, **values | fields)


def make_upstream_entries(request, upstream=ENGINE):
    sender = request.instance
    return [
        UpstreamEntry(
            upstream=upstream,
            event=event,
            digest=request.digest,
            time_s=request.sent_s + 0.5,
            request_id=request.request_id,
            sender=sender,
            sender_process=f"{sender}-f00",
            idempotency_key=request.idempotency_key,
        )
        for event in ("received", "started")
    ]


def make_fault(kind, target, begin_s, settled_s, exit_code=None):
    return FaultSpan(
        kind=kind,
        target=target,
        begin_s=begin_s,
        settled_s=settled_s,
        exit_code=exit_code,
    )


def add_request(journals, request, *, has_run=True):
    journals.told.append(request)
    if has_run:
        journals.ran += make_upstream_entries(request)


def make_journals():
    """Make the journals of a run from 0 s to 200 s with 60 queries and one change.

    A query is sent each second.
    """
    journals = Journals(
        data_centres={INSTANCE: "a", SIBLING: "a", ENGINE: "a"},
        began_s=0.0,
        stopped_s=200.0,
    )
    for number in range(60):
        add_request(journals, make_request(number, float(number)))
    submission = make_request(
        900, 61.0, idempotency_key="key-900", service_class="call", target="returns"
    )
    add_request(journals, submission)
    journals.faults = [
        make_fault(FaultKind.UPSTREAM_LEAVES, ENGINE, 150.0, 160.0),
        make_fault(FaultKind.STOP_INSTANCE, INSTANCE, 170.0, 175.0, exit_code=0),
    ]
    journals.changes = [
        Change(
            change_id="c-1",
            instance=INSTANCE,
            result="accepted",
            told_s=50.0,
            revision=2,
        )
    ]
    journals.commits = [Commit(change_id="c-1", revision=2, time_s=49.9)]
    for name in (INSTANCE, SIBLING):
        journals.in_force += [
            RevisionInForce(instance=name, process=0, revision=1, time_s=0.0),
            RevisionInForce(instance=name, process=0, revision=2, time_s=51.0),
        ]
    return journals
