"""Spends the retry budget, and tells what became of a retry."""

import logging

from jujubenotch.dispatch.attempt_state import Attempt, read_clock_s
from jujubenotch.dispatch.call import Call, Progress, find_target
from jujubenotch.dispatch.decide import AttemptResult
from jujubenotch.dispatch.model import Dispatcher
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
