"""Writes the answers of calls that have no whole answer of an upstream."""

from jujubenotch.dispatch.attempt import Attempt
from jujubenotch.dispatch.call import Answer, Progress
from jujubenotch.dispatch.decide import GiveUp, name_outcome
from jujubenotch.outcomes import FailureReason, Outcome, Refusal, RefusalReason

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
SERVICE_UNAVAILABLE = 503
CONFLICT = 409
TOO_MANY_REQUESTS = 429
UNPROCESSABLE = 422
UNREACHABLE_RETRY_AFTER_S = 1.0

STATUS_BY_REFUSAL = {
    RefusalReason.QUEUE_FULL: TOO_MANY_REQUESTS,
    RefusalReason.TEAM_LIMIT: TOO_MANY_REQUESTS,
    RefusalReason.DEADLINE_UNREACHABLE: TOO_MANY_REQUESTS,
    RefusalReason.POWER_CAP: TOO_MANY_REQUESTS,
    RefusalReason.CLAIM_HELD: CONFLICT,
    RefusalReason.KEY_REUSED: UNPROCESSABLE,
}


def answer_refusal(progress: Progress, refusal: Refusal) -> Answer:
    """Tell a caller that no slot was had.

    :param progress: The call's progress; an earlier attempt may have run.
    :param refusal: Why, and when to come back.
    :returns: The answer.
    """
    outcome = name_outcome(progress)
    return Answer(
        outcome=outcome,
        status=STATUS_BY_REFUSAL.get(refusal.reason, SERVICE_UNAVAILABLE),
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
        is_streamed=progress.is_started,
    )


def answer_give_up(progress: Progress, attempt: Attempt, decision: GiveUp) -> Answer:
    """Tell a caller that no further attempt is made.

    :param progress: The call's progress.
    :param attempt: The last attempt; an upstream's own error is passed on.
    :param decision: The outcome and its reason.
    :returns: The answer.
    """
    if attempt.answer is not None and not progress.is_started:
        attempt.answer.reason = decision.reason
        attempt.answer.outcome = decision.outcome
        return attempt.answer
    is_not_run = decision.outcome is Outcome.NOT_RUN
    status = SERVICE_UNAVAILABLE if is_not_run else BAD_GATEWAY
    if decision.reason is FailureReason.DEADLINE_PASSED:
        status = GATEWAY_TIMEOUT
    return Answer(
        outcome=decision.outcome,
        status=status,
        reason=decision.reason,
        detail=f"the request ended as {decision.outcome}: {decision.reason}",
        retry_after_s=UNREACHABLE_RETRY_AFTER_S if is_not_run else 0.0,
        is_streamed=progress.is_started,
    )


def tell_failure(progress: Progress, reason: FailureReason) -> Answer:
    """Tell what is known of a call that ended outside its attempts.

    :param progress: The call's progress.
    :param reason: Why it ended.
    :returns: The answer.
    """
    outcome = name_outcome(progress)
    return Answer(
        outcome=outcome,
        status=BAD_GATEWAY,
        reason=reason,
        is_streamed=progress.is_started,
    )


def answer_late_look_up() -> Answer:
    """Tell a caller that its key could not be looked up by its deadline.

    :returns: The answer; an earlier request with the key may have run.
    """
    return Answer(
        outcome=Outcome.UNKNOWN,
        status=GATEWAY_TIMEOUT,
        reason=FailureReason.DEADLINE_PASSED,
        detail="nothing was sent now, but an earlier request with this key may have "
        "run; repeat it with the same key",
        retry_after_s=UNREACHABLE_RETRY_AFTER_S,
    )


def answer_late_claim() -> Answer:
    """Tell a caller that its key could not be claimed by its deadline.

    :returns: The answer; nothing was sent.
    """
    return Answer(
        outcome=Outcome.NOT_RUN,
        status=SERVICE_UNAVAILABLE,
        reason=RefusalReason.DEADLINE_PASSED,
        detail="the key was not claimed before the deadline; repeat it with the same "
        "key",
        retry_after_s=UNREACHABLE_RETRY_AFTER_S,
    )
