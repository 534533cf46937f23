"""The rules on requests that a randomised run is checked against.

Each rule takes the journals and returns what breaks it.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from benchmarks.journals import (
    RECEIVED,
    STARTED,
    Journals,
    Ran,
    Told,
    is_struck,
    select_spans,
)
from benchmarks.progress import check_progress, list_windows
from benchmarks.schedule import PROCESS_FAULTS, FaultKind
from jujubenotch.outcomes import Outcome, RefusalReason

Journal = TypeVar("Journal")

ANSWER_BOUND_S = 3.0
SETTLE_S = 5.0
MIN_WAIT_S = 0.5
# The floor may serve a lower tier within its bound: an eighth, and one.
GUARANTEE_SLOT_SHARE = 0.125
FLOOR_STARTS = 2
LOAD_REASONS = frozenset(
    {
        RefusalReason.QUEUE_FULL,
        RefusalReason.DEADLINE_PASSED,
        RefusalReason.DEADLINE_UNREACHABLE,
        RefusalReason.POWER_CAP,
    }
)
FINAL_OUTCOMES = frozenset(Outcome)
DISTURBING_FAULTS = frozenset(
    {
        FaultKind.CUT_PEERS,
        FaultKind.CUT_PEERS_ONE_WAY,
        FaultKind.SILENCE_PEERS,
    }
)


@dataclass(frozen=True, kw_only=True)
class Rule(Generic[Journal]):
    """A rule on the journals of one kind of run.

    :param count: Counts what it was checked on.
    :param check: Returns a line for each thing that breaks it.
    """

    name: str
    count: Callable[[Journal], int]
    check: Callable[[Journal], list[str]]


def check_at_most_once(journals: Journals) -> list[str]:
    """No non-idempotent key runs twice.

    :param journals: The journals.
    """
    starts = Counter(
        ran.idempotency_key
        for ran in journals.ran
        if ran.event == STARTED and ran.idempotency_key
    )
    return [f"{key} ran {count} times" for key, count in starts.items() if count > 1]


def check_not_run(journals: Journals) -> list[str]:
    """Nothing that a caller was told was not run reached an upstream.

    A key that was sent more than once is told apart by the request's id: one of
    its requests may be refused while another one runs.

    :param journals: The journals.
    """
    received = {ran.digest: ran for ran in journals.ran}
    request_ids = {ran.request_id for ran in journals.ran}
    sendings = Counter(told.digest for told in journals.told)
    return [
        f"{_describe(told)} reached {received[told.digest].upstream}"
        for told in journals.told
        if told.outcome == Outcome.NOT_RUN
        and told.digest in received
        and (sendings[told.digest] == 1 or told.request_id in request_ids)
    ]


def check_completed(journals: Journals) -> list[str]:
    """Each completed answer is the whole answer to that very request.

    :param journals: The journals.
    """
    return [
        f"{_describe(told)} has a wrong answer"
        for told in journals.told
        if told.outcome == Outcome.COMPLETED and not told.is_right
    ]


def check_answered(journals: Journals) -> list[str]:
    """Each caller has one final answer by its deadline and a small bound.

    A caller whose instance was killed, paused or stopped meanwhile has none
    from it; what a planned stop may cut is another rule's.

    :param journals: The journals.
    """
    broken = []
    for told in journals.told:
        if told.answers > 1:
            broken.append(f"{_describe(told)} has {told.answers} answers")
        if _has_lost_instance(journals, told):
            continue
        if told.outcome not in FINAL_OUTCOMES:
            broken.append(f"{_describe(told)} has no final answer")
        elif told.ended_s - told.sent_s > told.deadline_s + ANSWER_BOUND_S:
            broken.append(f"{_describe(told)} was answered late")
    return broken


def check_tiers(journals: Journals) -> list[str]:
    """No request is refused for load while its instance has lower tiers served.

    A refused request counts when it waited for half a second. Against it count
    lower-tier requests to the same target through the same instance that an
    upstream of the same data centre received while it waited, beyond the
    floor's part of all starts. While sessions between instances are lost each
    divides by its own counts; such times are left out.

    :param journals: The journals.
    """
    tiers = {told.digest: told for told in journals.told}
    by_instance = defaultdict(list)
    for ran in journals.ran:
        if ran.event == RECEIVED:
            by_instance[ran.sender].append(ran)
    broken = []
    for told in journals.told:
        if not _was_refused_for_load(told) or _was_disturbed(journals, told):
            continue
        received = [
            tiers[ran.digest]
            for ran in by_instance[told.instance]
            if told.sent_s <= ran.time_s <= told.ended_s
            and ran.digest in tiers
            and tiers[ran.digest].target == told.target
        ]
        lower = sum(other.tier > told.tier for other in received)
        if lower > FLOOR_STARTS + GUARANTEE_SLOT_SHARE * len(received):
            broken.append(
                f"{_describe(told)} while {lower} of {len(received)} requests of "
                "lower tiers were sent"
            )
    return broken


def check_planned_stops(journals: Journals) -> list[str]:
    """No request in progress is cut by a planned stop, and each ends with 0.

    A request was in progress if an upstream received it from the stopped instance
    while its caller waited.

    :param journals: The journals.
    """
    received = defaultdict(list)
    for ran in journals.ran:
        if ran.event == RECEIVED:
            received[ran.digest, ran.sender].append(ran.time_s)
    broken = []
    for span in journals.faults:
        if span.kind is not FaultKind.STOP_INSTANCE:
            continue
        if span.exit_code != 0:
            broken.append(f"{span.target} stopped with code {span.exit_code}")
        for told in journals.told:
            # A copy of it may have been sent by the same instance before.
            was_sent = any(
                told.sent_s <= time_s <= told.ended_s
                for time_s in received[told.digest, span.target]
            )
            is_there = told.instance == span.target and was_sent
            overlaps = told.sent_s <= span.settled_s and told.ended_s >= span.begin_s
            is_cut = told.outcome not in FINAL_OUTCOMES
            if is_there and overlaps and is_cut and not _was_killed(journals, told):
                broken.append(f"{_describe(told)} was cut by a stop of {span.target}")
    return broken


def check_ends(journals: Journals) -> list[str]:
    """No process ends by an invariant or by itself.

    :param journals: The journals.
    """
    ended = [f"{name} ended with {code}" for name, code in journals.ended.items()]
    return ended + journals.violations


def _has_lost_instance(journals, told):
    spans = select_spans(journals.faults, PROCESS_FAULTS, [told.instance])
    return is_struck(spans, told.sent_s, told.ended_s)


def _was_killed(journals, told):
    kinds = PROCESS_FAULTS - {FaultKind.STOP_INSTANCE}
    spans = select_spans(journals.faults, kinds, [told.instance])
    return is_struck(spans, told.sent_s, told.ended_s)


def _was_refused_for_load(told):
    is_refused = told.outcome == Outcome.NOT_RUN and told.reason in LOAD_REASONS
    return is_refused and told.ended_s - told.sent_s >= MIN_WAIT_S


def _was_disturbed(journals, told):
    data_centre = journals.data_centres[told.instance]
    siblings = _list_members(journals, data_centre)
    process = select_spans(journals.faults, PROCESS_FAULTS, siblings)
    links = select_spans(journals.faults, DISTURBING_FAULTS, [data_centre, *siblings])
    return is_struck(process + links, told.sent_s, told.ended_s, SETTLE_S)


def _list_members(journals, data_centre):
    return [
        name for name, place in journals.data_centres.items() if place == data_centre
    ]


def _describe(told: Told) -> str:
    return (
        f"request {told.number} ({told.service_class} at {told.instance}, "
        f"{told.outcome} {told.reason})"
    )


def _count_received(journals: Journals) -> list[Ran]:
    return [ran for ran in journals.ran if ran.event == RECEIVED]


REQUEST_RULES = (
    Rule(
        name="no non-idempotent key ran twice",
        count=lambda journals: len(
            {ran.idempotency_key for ran in journals.ran if ran.idempotency_key}
        ),
        check=check_at_most_once,
    ),
    Rule(
        name="nothing told not-run was run",
        count=lambda journals: sum(
            told.outcome == Outcome.NOT_RUN for told in journals.told
        ),
        check=check_not_run,
    ),
    Rule(
        name="each completed answer is right",
        count=lambda journals: sum(
            told.outcome == Outcome.COMPLETED for told in journals.told
        ),
        check=check_completed,
    ),
    Rule(
        name="one final answer by the deadline",
        count=lambda journals: sum(
            not _has_lost_instance(journals, told) for told in journals.told
        ),
        check=check_answered,
    ),
    Rule(
        name="no upper tier refused before a lower one",
        count=lambda journals: sum(
            _was_refused_for_load(told) and not _was_disturbed(journals, told)
            for told in journals.told
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
