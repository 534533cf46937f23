"""Decides between a retry and a final response after a failed attempt."""

from dataclasses import dataclass
from enum import StrEnum

from jujubenotch.dispatch.call import MAX_ATTEMPTS, Call, Progress
from jujubenotch.outcomes import FailureReason, Outcome, RefusalReason, RetryReason
from jujubenotch.work import WorkResult


class AttemptEnd(StrEnum):
    """How an attempt on one upstream ended."""

    COMPLETED = "completed"
    CONNECT_FAILED = "connect-failed"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    UPSTREAM_ERROR = "upstream-error"
    LOST = "lost"
    SILENT = "silent"
    TRUNCATED = "truncated"
    RESTARTED = "restarted"
    DEADLINE = "deadline"


RETRY_REASONS = {
    AttemptEnd.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    AttemptEnd.REFUSED: RetryReason.UPSTREAM_REFUSED,
    AttemptEnd.MISDIRECTED: RetryReason.MISDIRECTED,
    AttemptEnd.UPSTREAM_ERROR: RetryReason.UPSTREAM_ERROR,
    AttemptEnd.LOST: RetryReason.CONNECTION_LOST,
    AttemptEnd.SILENT: RetryReason.SILENT,
    AttemptEnd.TRUNCATED: RetryReason.STREAM_TRUNCATED,
    AttemptEnd.RESTARTED: RetryReason.STREAM_RESTARTED,
}

WORK_RESULTS = {
    AttemptEnd.COMPLETED: WorkResult.COMPLETED,
    AttemptEnd.CONNECT_FAILED: WorkResult.CONNECT_FAILED,
    AttemptEnd.REFUSED: WorkResult.REFUSED,
    AttemptEnd.MISDIRECTED: WorkResult.CONNECT_FAILED,
    AttemptEnd.UPSTREAM_ERROR: WorkResult.ERROR,
    AttemptEnd.LOST: WorkResult.LOST,
    AttemptEnd.SILENT: WorkResult.SILENT,
    AttemptEnd.TRUNCATED: WorkResult.LOST,
    AttemptEnd.RESTARTED: WorkResult.ERROR,
    AttemptEnd.DEADLINE: WorkResult.CANCELLED,
}

_ENDS_PROVING_NOT_RUN = frozenset(
    {AttemptEnd.CONNECT_FAILED, AttemptEnd.REFUSED, AttemptEnd.MISDIRECTED}
)

_ENDS_PROVING_RUN = frozenset(
    {AttemptEnd.UPSTREAM_ERROR, AttemptEnd.TRUNCATED, AttemptEnd.RESTARTED}
)

_FAILURE_REASONS = {
    AttemptEnd.UPSTREAM_ERROR: FailureReason.UPSTREAM_ERROR,
    AttemptEnd.LOST: FailureReason.CONNECTION_LOST,
    AttemptEnd.SILENT: FailureReason.SILENT,
    AttemptEnd.TRUNCATED: FailureReason.STREAM_TRUNCATED,
    AttemptEnd.RESTARTED: FailureReason.STREAM_RESTARTED,
    AttemptEnd.DEADLINE: FailureReason.DEADLINE_PASSED,
}

_REFUSAL_REASONS = {
    AttemptEnd.CONNECT_FAILED: RefusalReason.UPSTREAM_UNREACHABLE,
    AttemptEnd.REFUSED: RefusalReason.UPSTREAM_REFUSED,
    AttemptEnd.MISDIRECTED: RefusalReason.UPSTREAM_UNREACHABLE,
}


@dataclass(frozen=True, kw_only=True)
class Retry:
    """The decision to send the request once more."""

    reason: RetryReason


@dataclass(frozen=True, kw_only=True)
class GiveUp:
    """The decision to make no further attempt and answer the caller.

    :param reason: Why there is no complete response.
    """

    outcome: Outcome
    reason: FailureReason | RefusalReason


def record_attempt(progress: Progress, end: AttemptEnd) -> None:
    """Update a call's progress with what the end of an attempt proves.

    :param progress: The call's progress; changed in place.
    :param end: How the attempt ended.
    """
    if end not in _ENDS_PROVING_NOT_RUN:
        progress.may_have_run = True
        progress.runs += 1
    if end in _ENDS_PROVING_RUN:
        progress.has_run = True


def decide_next(
    call: Call,
    progress: Progress,
    end: AttemptEnd,
    *,
    can_resume: bool,
    has_budget: bool,
    now_s: float,
) -> Retry | GiveUp:
    """Choose between one more attempt and the final response.

    :param call: The caller's request.
    :param progress: The call's progress, including the attempt that just ended.
    :param end: How that attempt ended; not ``COMPLETED``.
    :param can_resume: Whether a started stream can be resumed after the last
        event that was forwarded.
    :param has_budget: Whether the retry budget allows one more attempt.
    :param now_s: The present monotonic time, in seconds.
    :returns: The decision.
    """
    is_repeatable = call.is_idempotent or not progress.may_have_run
    is_continuable = not progress.is_stream_started or can_resume
    if not is_repeatable or not is_continuable:
        return make_give_up(progress, end)
    if end is AttemptEnd.DEADLINE or now_s >= call.deadline_s:
        return make_give_up(progress, end)
    has_spent_attempts = (
        progress.attempts >= MAX_ATTEMPTS or progress.runs >= call.max_runs
    )
    if has_spent_attempts or not has_budget:
        return make_give_up(progress, end)
    return Retry(reason=RETRY_REASONS[end])


def make_give_up(progress: Progress, end: AttemptEnd) -> GiveUp:
    """Make the final decision for a call that gets no further attempt.

    :param progress: The call's progress, including the attempt that just ended.
    :param end: How that attempt ended; not ``COMPLETED``.
    :returns: The decision, with the outcome and its reason.
    """
    outcome = determine_outcome(progress)
    if outcome is Outcome.NOT_RUN:
        return GiveUp(outcome=outcome, reason=_REFUSAL_REASONS[end])
    reason = _FAILURE_REASONS.get(end, FailureReason.RETRY_BUDGET)
    return GiveUp(outcome=outcome, reason=reason)


def determine_outcome(progress: Progress) -> Outcome:
    """Determine the outcome of a call that has no complete response.

    :param progress: The call's progress.
    :returns: ``NOT_RUN`` only when no upstream can have started the request.
    """
    if progress.is_stream_started or progress.has_run:
        return Outcome.FAILED
    if progress.may_have_run:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN
