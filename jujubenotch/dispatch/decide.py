"""Decides between a retry and a final response after a failed attempt."""

from dataclasses import dataclass
from enum import StrEnum

from jujubenotch.dispatch.call import MAX_ATTEMPTS, Call, Progress
from jujubenotch.outcomes import FailureReason, Outcome, RefusalReason, RetryReason
from jujubenotch.work import WorkResult


class AttemptResult(StrEnum):
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
    AttemptResult.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    AttemptResult.REFUSED: RetryReason.UPSTREAM_REFUSED,
    AttemptResult.MISDIRECTED: RetryReason.MISDIRECTED,
    AttemptResult.UPSTREAM_ERROR: RetryReason.UPSTREAM_ERROR,
    AttemptResult.LOST: RetryReason.CONNECTION_LOST,
    AttemptResult.SILENT: RetryReason.SILENT,
    AttemptResult.TRUNCATED: RetryReason.STREAM_TRUNCATED,
    AttemptResult.RESTARTED: RetryReason.STREAM_RESTARTED,
}

WORK_RESULTS = {
    AttemptResult.COMPLETED: WorkResult.COMPLETED,
    AttemptResult.CONNECT_FAILED: WorkResult.CONNECT_FAILED,
    AttemptResult.REFUSED: WorkResult.REFUSED,
    AttemptResult.MISDIRECTED: WorkResult.CONNECT_FAILED,
    AttemptResult.UPSTREAM_ERROR: WorkResult.ERROR,
    AttemptResult.LOST: WorkResult.LOST,
    AttemptResult.SILENT: WorkResult.SILENT,
    AttemptResult.TRUNCATED: WorkResult.LOST,
    AttemptResult.RESTARTED: WorkResult.ERROR,
    AttemptResult.DEADLINE: WorkResult.CANCELLED,
}


class NotRunProof(StrEnum):
    """What proves that a request was not run, although it was about to be sent.

    ``NOT_SENT`` is the failure to establish a connection; ``REFUSED`` a response that
    names the request and says that it was not started; ``MISDIRECTED`` a response that
    names it and comes from another process than the expected one.
    """

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"


_PROOF_BY_END = {
    AttemptResult.CONNECT_FAILED: NotRunProof.NOT_SENT,
    AttemptResult.REFUSED: NotRunProof.REFUSED,
    AttemptResult.MISDIRECTED: NotRunProof.MISDIRECTED,
}

_ENDS_PROVING_RUN = frozenset(
    {AttemptResult.UPSTREAM_ERROR, AttemptResult.TRUNCATED, AttemptResult.RESTARTED}
)

_FAILURE_REASONS = {
    AttemptResult.UPSTREAM_ERROR: FailureReason.UPSTREAM_ERROR,
    AttemptResult.LOST: FailureReason.CONNECTION_LOST,
    AttemptResult.SILENT: FailureReason.SILENT,
    AttemptResult.TRUNCATED: FailureReason.STREAM_TRUNCATED,
    AttemptResult.RESTARTED: FailureReason.STREAM_RESTARTED,
    AttemptResult.DEADLINE: FailureReason.DEADLINE_PASSED,
}

_REFUSAL_REASONS = {
    AttemptResult.CONNECT_FAILED: RefusalReason.UPSTREAM_UNREACHABLE,
    AttemptResult.REFUSED: RefusalReason.UPSTREAM_REFUSED,
    AttemptResult.MISDIRECTED: RefusalReason.UPSTREAM_UNREACHABLE,
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


def record_send(progress: Progress) -> None:
    """Record that a call is about to be sent, before its first byte can leave.

    From now on it may have run, unless :func:`record_attempt` finds a proof.

    :param progress: The call's progress; changed in place.
    """
    progress.unproved_sends += 1


def record_attempt(progress: Progress, end: AttemptResult) -> None:
    """Update a call's progress with what the end of an attempt proves.

    :param progress: The call's progress, with the send recorded; changed in place.
    :param end: How the attempt ended.
    """
    proof = find_proof(end)
    if proof is not None:
        accept_proof(progress, proof)
    else:
        progress.runs += 1
    if end in _ENDS_PROVING_RUN:
        progress.has_run = True


def find_proof(end: AttemptResult) -> NotRunProof | None:
    """Return what the end of an attempt proves, or ``None`` if the call may have run.

    :param end: How the attempt ended.
    """
    return _PROOF_BY_END.get(end)


def accept_proof(progress: Progress, proof: NotRunProof) -> None:
    """Take back that a call may have run for its last send.

    :param progress: The call's progress; changed in place.
    :param proof: What proves it; there is no other way to take it back.
    """
    progress.unproved_sends -= 1


def decide_next(
    call: Call,
    progress: Progress,
    end: AttemptResult,
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
    if end is AttemptResult.DEADLINE or now_s >= call.deadline_s:
        return make_give_up(progress, end)
    has_spent_attempts = (
        progress.attempts >= MAX_ATTEMPTS or progress.runs >= call.max_runs
    )
    if has_spent_attempts or not has_budget:
        return make_give_up(progress, end)
    return Retry(reason=RETRY_REASONS[end])


def make_give_up(progress: Progress, end: AttemptResult) -> GiveUp:
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
