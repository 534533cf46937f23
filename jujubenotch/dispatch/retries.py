"""Spends the retry budget and decides whether a call leaves a silent upstream."""

import logging
from dataclasses import replace

from jujubenotch.dispatch.attempt import Attempt, read_clock_s
from jujubenotch.dispatch.call import Call, Progress, find_target
from jujubenotch.dispatch.decide import (
    AttemptResult,
    Retry,
    decide_next,
    record_attempt,
)
from jujubenotch.dispatch.model import Dispatcher
from jujubenotch.dispatch.service_silence import is_silent
from jujubenotch.dispatch.shared_budget import RetryEnd
from jujubenotch.logs import log_event
from jujubenotch.records import Upstream

logger = logging.getLogger(__name__)


def spend_retry_budget(dispatcher: Dispatcher, call: Call, progress: Progress) -> bool:
    """Spend the budget for the next attempt, unless that is done already.

    :param dispatcher: The dispatcher.
    :param call: The call, which would otherwise be sent again.
    :param progress: The call's progress; changed in place.
    :returns: Whether the budget allows it.
    """
    if progress.allowed_retry_target:
        return True
    budget = dispatcher.retry_budget
    target = find_target(call, progress)
    now_s = read_clock_s()
    if budget.may_retry(target, now_s):
        progress.allowed_retry_target = target
        return True
    log_event(
        logger,
        logging.WARNING,
        "retry-budget-spent",
        request_id=call.request_id,
        service=target,
        **budget.describe(target, now_s),
    )
    return False


def start_retry(progress: Progress) -> None:
    """Let the budget that was spent for the next attempt be that of the present one.

    :param progress: The call's progress; changed in place.
    """
    if progress.allowed_retry_target:
        progress.retry_target = progress.allowed_retry_target
        progress.allowed_retry_target = ""


def end_retry(dispatcher: Dispatcher, progress: Progress, end: RetryEnd) -> None:
    """Record what became of a retry, unless that is recorded already.

    :param dispatcher: The dispatcher.
    :param progress: The call's progress; changed in place.
    :param end: What is known of the retry.
    """
    if progress.retry_target:
        target, progress.retry_target = progress.retry_target, ""
        dispatcher.retry_budget.record_retry_end(target, end, read_clock_s())


def find_retry_end(attempt: Attempt) -> RetryEnd:
    """Find out what the end of an attempt tells about whether it arrived.

    :param attempt: The attempt.
    """
    if attempt.head_at_s:
        return RetryEnd.ARRIVED
    if attempt.end is AttemptResult.CONNECT_FAILED:
        return RetryEnd.NOT_SENT
    return RetryEnd.UNCONFIRMED


def can_resume_elsewhere(call: Call, upstream: Upstream | None) -> bool:
    """Return whether a started stream of a call may go on at another upstream.

    :param call: The call.
    :param upstream: The upstream of the last attempt; ``None`` when it has left.
    """
    return call.can_resume_elsewhere or bool(upstream and upstream.resumes_streams)


def try_to_leave(
    dispatcher: Dispatcher,
    upstream: Upstream,
    call: Call,
    progress: Progress,
    attempt: Attempt,
) -> bool:
    """Spend the budget for leaving a silent upstream, if a call is to leave it.

    A call that can't be sent again waits on: a late response is worth more than none.
    So does one whose service is silent as a whole, as no upstream would answer sooner,
    unless this instance reaches none and another instance does.

    :param dispatcher: The dispatcher.
    :param upstream: The upstream, which has been silent for the call's limit.
    :param call: The call.
    :param progress: The call's progress; changed in place when it leaves.
    :param attempt: The attempt in progress.
    :returns: Whether the call leaves the upstream for another one.
    """
    now_s = read_clock_s()
    service = attempt.origin.service
    is_service_silent = is_silent(
        dispatcher.service_silence,
        service,
        silence_s=call.silence_timeout_s,
        now_s=now_s,
    )
    if is_service_silent and not dispatcher.is_out_of_reach(service):
        _log_wait(call, upstream, attempt, "service-silent", now_s)
        return False
    left = replace(progress)
    record_attempt(left, AttemptResult.SILENT)
    decision = decide_next(
        call,
        left,
        AttemptResult.SILENT,
        can_resume=can_resume_elsewhere(call, upstream),
        has_budget=True,
        now_s=now_s,
    )
    if isinstance(decision, Retry):
        return spend_retry_budget(dispatcher, call, progress)
    _log_wait(call, upstream, attempt, decision.reason, now_s)
    return False


def _log_wait(call, upstream, attempt, reason, now_s):
    log_event(
        logger,
        logging.INFO,
        "silent-upstream-kept",
        request_id=call.request_id,
        upstream=upstream.name,
        reason=reason,
        silent_s=round(now_s - max(attempt.heard_s, attempt.sent_at_s), 3),
    )
