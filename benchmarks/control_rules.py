"""The rules of a randomised run on leaving upstreams and on changes of records."""

from collections import Counter, defaultdict
from itertools import pairwise

from benchmarks.journals import (
    RECEIVED,
    Change,
    FaultSpan,
    Journals,
    RevisionInForce,
    has_overlap,
    select_spans,
)
from benchmarks.rules import Rule
from benchmarks.schedule import INSTANCE_FAULTS, PROCESS_FAULTS, FaultKind

MAX_SEND_AFTER_KNOWN_S = 3.0
MAX_SEND_AFTER_PUBLISHED_S = 5.0
# Instances request a load report each half second, and the answer may take another
# half second.
LOAD_REPORT_READ_S = 1.0
IN_FORCE_BOUND_S = 4.0
START_MARGIN_S = 5.0
ACCEPTED = "accepted"
REJECTED_RESULTS = frozenset({"conflict", "invalid", "unchanged"})
PLATFORM_PATH_FAULTS = (
    FaultKind.CUT_FROM_PLATFORM,
    FaultKind.CUT_FROM_PLATFORM_ONE_WAY,
    FaultKind.SILENCE_PLATFORM,
    FaultKind.PLATFORM_DOWN,
    FaultKind.PLATFORM_SLOW,
)
PEER_FAULTS = (
    FaultKind.CUT_PEERS,
    FaultKind.CUT_PEERS_ONE_WAY,
    FaultKind.SILENCE_PEERS,
)


def check_leaving(journals: Journals) -> list[str]:
    """A leaving upstream receives no new requests after a few seconds.

    The upstream reports that it is leaving in its load report. Instances read the
    report each half second, so they know a second later at the latest, and may
    send requests for at most 3 s after that. In any case, they may send requests
    for at most 5 s after the platform publishes that the upstream is leaving. An
    instance that was paused, restarted or cut off in that time could not know;
    its requests are left out.

    :param journals: The journals.
    """
    received = defaultdict(list)
    for entry in journals.ran:
        if entry.event == RECEIVED:
            received[entry.upstream].append(entry)
    bound_s = min(
        MAX_SEND_AFTER_KNOWN_S + LOAD_REPORT_READ_S, MAX_SEND_AFTER_PUBLISHED_S
    )
    violations = []
    for span in _list_leaving_faults(journals):
        for entry in received[span.target]:
            is_late = span.begin_s + bound_s < entry.time_s < span.settled_s
            if is_late and not _was_unreachable(journals, entry):
                violations.append(
                    f"{entry.sender} sent {entry.digest[:8]} to {span.target} "
                    f"{entry.time_s - span.begin_s:.1f} s after it began to leave"
                )
    return violations


def check_in_force(journals: Journals) -> list[str]:
    """Each accepted change is in force at each instance within 4 s.

    An instance can receive a change while it runs and can reach the platform or
    its peers. If faults prevented that, the change is due 4 s after the last of
    those faults was cleared.

    :param journals: The journals.
    """
    by_instance = _group_in_force(journals)
    violations = []
    for change in _list_accepted(journals):
        for instance, entries in by_instance.items():
            due_s = _find_due_s(journals, instance, change.told_s)
            if due_s > journals.stopped_s:
                continue
            if not _is_in_force(entries, change.revision, due_s):
                violations.append(
                    f"{change.change_id} (revision {change.revision}) was not in "
                    f"force at {instance} {due_s - change.told_s:.1f} s after it "
                    "was accepted"
                )
    return violations


def check_revisions(journals: Journals) -> list[str]:
    """The revision in force at a process never decreases.

    :param journals: The journals.
    """
    violations = []
    for instance, entries in _group_in_force(journals).items():
        for before, after in pairwise(entries):
            is_same = before.process == after.process
            if is_same and after.revision < before.revision:
                violations.append(
                    f"{instance} went from revision {before.revision} "
                    f"back to {after.revision}"
                )
    return violations


def check_changes(journals: Journals) -> list[str]:
    """Each accepted change is committed once, and no rejected change is.

    A change whose result its operator doesn't know may have been committed once.

    :param journals: The journals.
    """
    commit_counts = Counter(commit.change_id for commit in journals.commits)
    revisions = {commit.change_id: commit.revision for commit in journals.commits}
    violations = [
        f"{change_id} was committed {count} times"
        for change_id, count in commit_counts.items()
        if count > 1
    ]
    for change in journals.changes:
        count = commit_counts[change.change_id]
        if change.result == ACCEPTED and count == 0:
            violations.append(f"{change.change_id} was accepted but not committed")
        elif (
            change.result == ACCEPTED and revisions[change.change_id] != change.revision
        ):
            violations.append(
                f"{change.change_id} was committed at another revision than reported"
            )
        if change.result in REJECTED_RESULTS and count:
            violations.append(
                f"{change.change_id} was reported as {change.result} but committed"
            )
    return violations


def _list_leaving_faults(journals) -> list[FaultSpan]:
    return [span for span in journals.faults if span.kind is FaultKind.UPSTREAM_LEAVES]


def _was_unreachable(journals, entry):
    data_centre = journals.data_centres.get(entry.sender, "")
    kinds = (*INSTANCE_FAULTS, *PEER_FAULTS)
    spans = select_spans(journals.faults, kinds, [entry.sender, data_centre])
    return has_overlap(
        spans, entry.time_s - MAX_SEND_AFTER_KNOWN_S, entry.time_s, START_MARGIN_S
    )


def _list_accepted(journals) -> list[Change]:
    return [change for change in journals.changes if change.result == ACCEPTED]


def _group_in_force(journals) -> dict[str, list[RevisionInForce]]:
    groups = defaultdict(list)
    for entry in journals.in_force:
        groups[entry.instance].append(entry)
    return groups


def _find_due_s(journals, instance, told_s):
    targets = [instance, journals.data_centres[instance], "platform"]
    process_faults = select_spans(journals.faults, PROCESS_FAULTS, [instance])
    platform_faults = select_spans(journals.faults, PLATFORM_PATH_FAULTS, targets)
    peer_faults = select_spans(journals.faults, PEER_FAULTS, targets)
    due_s = told_s + IN_FORCE_BOUND_S
    is_postponed = True
    while is_postponed:
        begin_s = due_s - IN_FORCE_BOUND_S
        blocking = [
            each for each in process_faults if _has_overlap(each, begin_s, due_s)
        ]
        if any(_has_overlap(each, begin_s, due_s) for each in platform_faults):
            blocking += [
                each for each in peer_faults if _has_overlap(each, begin_s, due_s)
            ]
        if any(_has_overlap(each, begin_s, due_s) for each in peer_faults):
            blocking += [
                each for each in platform_faults if _has_overlap(each, begin_s, due_s)
            ]
        due_times_s = [each.settled_s + IN_FORCE_BOUND_S for each in blocking]
        is_postponed = any(end_s > due_s for end_s in due_times_s)
        due_s = max([due_s, *due_times_s])
    return due_s


def _has_overlap(span, begin_s, end_s):
    return span.begin_s <= end_s and span.settled_s >= begin_s


def _is_in_force(entries, revision, due_s):
    before = [entry for entry in entries if entry.time_s <= due_s]
    return bool(before) and before[-1].revision >= revision


CONTROL_RULES = (
    Rule(
        name="a leaving upstream gets nothing new",
        count=lambda journals: len(_list_leaving_faults(journals)),
        check=check_leaving,
    ),
    Rule(
        name="each change is in force within 4 s",
        count=lambda journals: len(_list_accepted(journals)),
        check=check_in_force,
    ),
    Rule(
        name="no revision fell",
        count=lambda journals: len(journals.in_force),
        check=check_revisions,
    ),
    Rule(
        name="no change was made twice or wrongly told",
        count=lambda journals: len(journals.changes),
        check=check_changes,
    ),
)
