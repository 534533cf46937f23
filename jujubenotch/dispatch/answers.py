"""Makes the responses of calls that have no complete response of an upstream."""

from jujubenotch.dispatch.attempt_state import Attempt
from jujubenotch.dispatch.call import Answer, Progress
from jujubenotch.dispatch.decide import GiveUp, determine_outcome
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


def make_refusal_answer(progress: Progress, refusal: Refusal) -> Answer:
    """Make the response of a call that was refused a slot.

    The status of a refusal promises that the call was not run, so a call of which that
    isn't proved gets another one.

    :param progress: The call's progress; an earlier attempt may have run.
    :param refusal: The reason, and when the caller may retry.
    :returns: The response.
    """
    outcome = determine_outcome(progress)
    status = BAD_GATEWAY
    if outcome is Outcome.NOT_RUN:
        status = STATUS_BY_REFUSAL.get(refusal.reason, SERVICE_UNAVAILABLE)
    return Answer(
        outcome=outcome,
        status=status,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
        is_streamed=progress.is_stream_started,
    )


def make_block_answer(progress: Progress, refusal: Refusal) -> Answer:
    """Make the response of a call that must not be sent to any upstream.

    Unlike the response of other refusals it doesn't ask the caller to come back.

    :param progress: The call's progress; an earlier attempt may have run.
    :param refusal: The reason.
    :returns: The response.
    """
    return Answer(
        outcome=determine_outcome(progress),
        status=BAD_GATEWAY,
        reason=refusal.reason,
        detail=refusal.detail,
        is_streamed=progress.is_stream_started,
    )


def make_give_up_answer(
    progress: Progress, attempt: Attempt, decision: GiveUp
) -> Answer:
    """Make the response of a call that gets no further attempt.

    :param progress: The call's progress.
    :param attempt: The last attempt; an error response of its upstream is
        forwarded.
    :param decision: The outcome and its reason.
    :returns: The response.
    """
    if attempt.answer is not None and not progress.is_stream_started:
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
        is_streamed=progress.is_stream_started,
    )


def make_failure_answer(progress: Progress, reason: FailureReason) -> Answer:
    """Make the response of a call that did not end by the result of an attempt.

    :param progress: The call's progress.
    :param reason: Why the call ended.
    :returns: The response.
    """
    outcome = determine_outcome(progress)
    return Answer(
        outcome=outcome,
        status=BAD_GATEWAY,
        reason=reason,
        is_streamed=progress.is_stream_started,
    )


def make_look_up_timeout_answer() -> Answer:
    """Make the response of a call whose key was not looked up by the deadline.

    :returns: The response; an earlier request with the key may have run.
    """
    return Answer(
        outcome=Outcome.UNKNOWN,
        status=GATEWAY_TIMEOUT,
        reason=FailureReason.DEADLINE_PASSED,
        detail="nothing was sent now, but an earlier request with this key may have "
        "run; repeat it with the same key",
        retry_after_s=UNREACHABLE_RETRY_AFTER_S,
    )


def make_claim_timeout_answer() -> Answer:
    """Make the response of a call whose key was not claimed by the deadline.

    :returns: The response; the request was not sent.
    """
    return Answer(
        outcome=Outcome.NOT_RUN,
        status=SERVICE_UNAVAILABLE,
        reason=RefusalReason.DEADLINE_PASSED,
        detail="the key was not claimed before the deadline; repeat it with the same "
        "key",
        retry_after_s=UNREACHABLE_RETRY_AFTER_S,
    )
