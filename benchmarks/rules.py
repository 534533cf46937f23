"""The rules on requests that a randomised run is checked against.

Each rule takes the journals and returns one line for each violation.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from benchmarks.journals import (
    RECEIVED,
    STARTED,
    CallerRequest,
    Journals,
    UpstreamEntry,
    has_overlap,
    select_spans,
)
from benchmarks.progress import check_progress, list_windows
from benchmarks.schedule import PROCESS_FAULTS, FaultKind
from jujubenotch.outcomes import Outcome, RefusalReason

Journal = TypeVar("Journal")

ANSWER_BOUND_S = 3.0
SETTLE_S = 5.0
MIN_WAIT_S = 0.5
# The max-wait guarantee may start requests of lower tiers before others: up to an
# eighth of all starts, and two more.
GUARANTEE_SLOT_SHARE = 0.125
GUARANTEE_EXTRA_STARTS = 2
LOAD_REASONS = frozenset(
    {
        RefusalReason.QUEUE_FULL,
        RefusalReason.DEADLINE_PASSED,
        RefusalReason.DEADLINE_UNREACHABLE,
        RefusalReason.POWER_CAP,
    }
)
FINAL_OUTCOMES = frozenset(Outcome)
PEER_FAULTS = frozenset(
    {
        FaultKind.CUT_PEERS,
        FaultKind.CUT_PEERS_ONE_WAY,
        FaultKind.SILENCE_PEERS,
    }
)


@dataclass(frozen=True, kw_only=True)
class Rule(Generic[Journal]):
    """A rule on the journals of one kind of run.

    :param count: Counts the items that the rule is checked on.
    :param check: Returns one line for each violation of the rule.
    """

    name: str
    count: Callable[[Journal], int]
    check: Callable[[Journal], list[str]]


def check_at_most_once(journals: Journals) -> list[str]:
    """No request with a non-idempotent key runs twice.

    :param journals: The journals.
    """
    starts = Counter(
        entry.idempotency_key
        for entry in journals.ran
        if entry.event == STARTED and entry.idempotency_key
    )
    return [f"{key} ran {count} times" for key, count in starts.items() if count > 1]


def check_not_run(journals: Journals) -> list[str]:
    """No request that was reported to its caller as not run reached an upstream.

    Several requests may have the same key, and one of them may be refused while
    another one runs. Such requests are distinguished by the request id.

    :param journals: The journals.
    """
    received = {entry.digest: entry for entry in journals.ran}
    request_ids = {entry.request_id for entry in journals.ran}
    request_counts = Counter(request.digest for request in journals.told)
    return [
        f"{_describe(request)} reached {received[request.digest].upstream}"
        for request in journals.told
        if request.outcome == Outcome.NOT_RUN
        and request.digest in received
        and (request_counts[request.digest] == 1 or request.request_id in request_ids)
    ]


def check_completed(journals: Journals) -> list[str]:
    """Each completed answer is the complete answer to its own request.

    :param journals: The journals.
    """
    return [
        f"{_describe(request)} was completed with a wrong answer"
        for request in journals.told
        if request.outcome == Outcome.COMPLETED and not request.is_right
    ]


def check_answered(journals: Journals) -> list[str]:
    """Each caller gets one final answer, at most 3 s after the deadline.

    A request may stay unanswered or be answered late if its instance was killed,
    paused or stopped while the caller waited. Requests that a planned stop cuts
    off are checked by :func:`check_planned_stops`.

    :param journals: The journals.
    """
    violations = []
    for request in journals.told:
        if request.answers > 1:
            violations.append(
                f"{_describe(request)} got {request.answers} final answers"
            )
        if _had_process_fault(journals, request):
            continue
        if request.outcome not in FINAL_OUTCOMES:
            violations.append(f"{_describe(request)} got no final answer")
        elif request.ended_s - request.sent_s > request.deadline_s + ANSWER_BOUND_S:
            violations.append(
                f"{_describe(request)} was answered more than {ANSWER_BOUND_S:g} s late"
            )
    return violations


def check_tiers(journals: Journals) -> list[str]:
    """No request is refused for load while its instance serves lower tiers.

    The rule is checked on refused requests that waited for at least half a second.
    It is broken if, during the wait, upstreams received more lower-tier requests
    for the same target from the same instance than the max-wait guarantee allows:
    an eighth of all such requests of any tier, and two more. While the
    sessions between instances are lost, each instance divides the capacity by its
    own counts; requests that waited during such a time are left out.

    :param journals: The journals.
    """
    requests_by_digest = {request.digest: request for request in journals.told}
    by_instance = defaultdict(list)
    for entry in journals.ran:
        if entry.event == RECEIVED:
            by_instance[entry.sender].append(entry)
    violations = []
    for request in journals.told:
        if not _was_refused_for_load(request) or _had_disturbing_fault(
            journals, request
        ):
            continue
        received = [
            requests_by_digest[entry.digest]
            for entry in by_instance[request.instance]
            if request.sent_s <= entry.time_s <= request.ended_s
            and entry.digest in requests_by_digest
            and requests_by_digest[entry.digest].target == request.target
        ]
        lower_tier_count = sum(other.tier > request.tier for other in received)
        if lower_tier_count > GUARANTEE_EXTRA_STARTS + GUARANTEE_SLOT_SHARE * len(
            received
        ):
            violations.append(
                f"{_describe(request)} was refused while {lower_tier_count} of the "
                f"{len(received)} requests sent to upstreams were of lower tiers"
            )
    return violations


def check_planned_stops(journals: Journals) -> list[str]:
    """Planned stops cut off no request in progress, and exit with code 0.

    A request was in progress if an upstream received it from the stopped instance
    while its caller waited.

    :param journals: The journals.
    """
    received = defaultdict(list)
    for entry in journals.ran:
        if entry.event == RECEIVED:
            received[entry.digest, entry.sender].append(entry.time_s)
    violations = []
    for span in journals.faults:
        if span.kind is not FaultKind.STOP_INSTANCE:
            continue
        if span.exit_code != 0:
            violations.append(
                f"{span.target} was stopped and exited with code {span.exit_code}"
            )
        for request in journals.told:
            # The same instance may have sent a copy of the request earlier.
            was_sent = any(
                request.sent_s <= time_s <= request.ended_s
                for time_s in received[request.digest, span.target]
            )
            was_in_progress = request.instance == span.target and was_sent
            overlaps = (
                request.sent_s <= span.settled_s and request.ended_s >= span.begin_s
            )
            is_cut = request.outcome not in FINAL_OUTCOMES
            if (
                was_in_progress
                and overlaps
                and is_cut
                and not _was_killed_or_paused(journals, request)
            ):
                violations.append(
                    f"{_describe(request)} was cut off by the stop of {span.target}"
                )
    return violations


def check_ends(journals: Journals) -> list[str]:
    """No process exits unexpectedly, and no invariant is violated.

    :param journals: The journals.
    """
    ended = [
        f"{name} exited unexpectedly with code {code}"
        for name, code in journals.ended.items()
    ]
    return ended + journals.violations


def _had_process_fault(journals, request):
    spans = select_spans(journals.faults, PROCESS_FAULTS, [request.instance])
    return has_overlap(spans, request.sent_s, request.ended_s)


def _was_killed_or_paused(journals, request):
    kinds = PROCESS_FAULTS - {FaultKind.STOP_INSTANCE}
    spans = select_spans(journals.faults, kinds, [request.instance])
    return has_overlap(spans, request.sent_s, request.ended_s)


def _was_refused_for_load(request):
    is_refused = request.outcome == Outcome.NOT_RUN and request.reason in LOAD_REASONS
    return is_refused and request.ended_s - request.sent_s >= MIN_WAIT_S


def _had_disturbing_fault(journals, request):
    data_centre = journals.data_centres[request.instance]
    siblings = _list_members(journals, data_centre)
    process_faults = select_spans(journals.faults, PROCESS_FAULTS, siblings)
    peer_faults = select_spans(journals.faults, PEER_FAULTS, [data_centre, *siblings])
    return has_overlap(
        process_faults + peer_faults, request.sent_s, request.ended_s, SETTLE_S
    )


def _list_members(journals, data_centre):
    return [
        name for name, other in journals.data_centres.items() if other == data_centre
    ]


def _describe(request: CallerRequest) -> str:
    return (
        f"request {request.number} ({request.service_class} at {request.instance}, "
        f"{request.outcome} {request.reason})"
    )


def _count_received(journals: Journals) -> list[UpstreamEntry]:
    return [entry for entry in journals.ran if entry.event == RECEIVED]


REQUEST_RULES = (
    Rule(
        name="no non-idempotent key ran twice",
        count=lambda journals: len(
            {entry.idempotency_key for entry in journals.ran if entry.idempotency_key}
        ),
        check=check_at_most_once,
    ),
    Rule(
        name="nothing told not-run was run",
        count=lambda journals: sum(
            request.outcome == Outcome.NOT_RUN for request in journals.told
        ),
        check=check_not_run,
    ),
    Rule(
        name="each completed answer is right",
        count=lambda journals: sum(
            request.outcome == Outcome.COMPLETED for request in journals.told
        ),
        check=check_completed,
    ),
    Rule(
        name="one final answer by the deadline",
        count=lambda journals: sum(
            not _had_process_fault(journals, request) for request in journals.told
        ),
        check=check_answered,
    ),
    Rule(
        name="no upper tier refused before a lower one",
        count=lambda journals: sum(
            _was_refused_for_load(request)
            and not _had_disturbing_fault(journals, request)
            for request in journals.told
        ),
        check=check_tiers,
    ),
    Rule(
        name="each class progresses",
        count=lambda journals: len(list_windows(journals)),
        check=check_progress,
    ),
    Rule(
        name="no planned stop cuts a request",
        count=lambda journals: sum(
            span.kind is FaultKind.STOP_INSTANCE for span in journals.faults
        ),
        check=check_planned_stops,
    ),
    Rule(
        name="no process ended by itself",
        count=lambda journals: len(journals.data_centres),
        check=check_ends,
    ),
)
