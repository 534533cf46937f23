"""Decides what follows an attempt of a call, and logs why."""

import functools
import logging

from jujubenotch.crashes import digest_part, digest_request
from jujubenotch.dispatch.answers import make_give_up_answer
from jujubenotch.dispatch.attempt_state import Attempt, read_clock_s
from jujubenotch.dispatch.call import Answer, Call, Progress, describe_configuration
from jujubenotch.dispatch.decide import (
    AttemptResult,
    GiveUp,
    Retry,
    decide_next,
    record_attempt,
)
from jujubenotch.dispatch.model import Dispatcher
from jujubenotch.dispatch.retries import can_resume_elsewhere, spend_retry_budget
from jujubenotch.logs import log_event
from jujubenotch.work import Grant

logger = logging.getLogger(__name__)

MAX_LOGGED_PARTS = 8


def follow_attempt(
    dispatcher: Dispatcher,
    call: Call,
    progress: Progress,
    grant: Grant,
    attempt: Attempt,
) -> Answer | None:
    """Decide what follows an attempt that has ended.

    :param dispatcher: The dispatcher.
    :param call: The call.
    :param progress: The call's progress; changed in place.
    :param grant: The slot that the attempt had.
    :param attempt: The attempt.
    :returns: The response for the caller; ``None`` when a further attempt follows.
    """
    end = attempt.end
    dispatcher.observer.record(
        call.request_id,
        "attempt-ended",
        reason=end,
        upstream=grant.upstream,
        error=attempt.error,
        took_s=round(read_clock_s() - attempt.sent_at_s, 4),
        **describe_configuration(call.basis),
    )
    if attempt.is_broken_off:
        _log_broken_off(call, grant, attempt)
    if end is AttemptResult.COMPLETED:
        return attempt.answer
    record_attempt(progress, end)
    progress.failed_upstreams |= {grant.upstream}
    now_s = read_clock_s()
    upstream = dispatcher.read_configuration().upstreams.get(grant.upstream)
    can_resume = can_resume_elsewhere(call, upstream) and bool(progress.last_event_id)
    decide = functools.partial(
        decide_next, call, progress, end, can_resume=can_resume, now_s=now_s
    )
    decision = decide(has_budget=True)
    if isinstance(decision, Retry) and not spend_retry_budget(
        dispatcher, call, progress
    ):
        decision = decide(has_budget=False)
    if isinstance(decision, GiveUp):
        return make_give_up_answer(progress, attempt, decision)
    dispatcher.observer.count_retry(decision.reason)
    dispatcher.observer.record(call.request_id, "retried", reason=decision.reason)
    log_event(
        logger,
        logging.WARNING,
        "request-retried",
        request_id=call.request_id,
        reason=decision.reason,
        upstream=grant.upstream,
        **dispatcher.retry_budget.describe(progress.allowed_retry_target, now_s),
    )
    return None


def _log_broken_off(call, grant, attempt):
    now_s = read_clock_s()
    begun_s = now_s - attempt.head_at_s if attempt.head_at_s else None
    log_event(
        logger,
        logging.WARNING,
        "response-broken-off",
        request_id=call.request_id,
        upstream=grant.upstream,
        sent_s=round(now_s - attempt.sent_at_s, 3),
        begun_s=None if begun_s is None else round(begun_s, 3),
        streamed_s=round(attempt.last_token_at_s - attempt.first_token_at_s, 3),
        request=digest_call(call),
        parts=[digest_part(part) for part in call.shared_parts[:MAX_LOGGED_PARTS]],
    )


def digest_call(call: Call) -> str:
    """Return the digest of what a call asks for, which is the same in its repeats.

    :param call: The call.
    """
    return digest_request(
        team=call.team.name,
        method=call.method,
        path=call.path,
        parts=call.shared_parts,
        body=call.body,
    )
