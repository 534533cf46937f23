"""Decides whether a call leaves an upstream that is silent."""

import logging
from dataclasses import dataclass, replace

from jujubenotch.dispatch.attempt_state import Attempt, read_clock_s
from jujubenotch.dispatch.call import Call, Progress
from jujubenotch.dispatch.decide import (
    AttemptResult,
    GiveUp,
    Retry,
    decide_next,
    record_attempt,
)
from jujubenotch.dispatch.model import Dispatcher
from jujubenotch.dispatch.process_check import find_state, start_check
from jujubenotch.dispatch.retries import can_resume_elsewhere, spend_retry_budget
from jujubenotch.dispatch.service_silence import is_process_heard, is_silent
from jujubenotch.dispatch.silence_limit import Leaving
from jujubenotch.logs import log_event
from jujubenotch.records import Upstream
from jujubenotch.upstreams import ProcessState
from jujubenotch.work import Grant

logger = logging.getLogger(__name__)

# A process that has sent something so lately also learns that a connection is closed.
HEARD_LATELY_S = 0.3


@dataclass(kw_only=True)
class _SilentExchange:
    """An exchange that may leave its upstream.

    :param is_reported: Whether the capacity knows that the process stands still.
    """

    dispatcher: Dispatcher
    upstream: Upstream
    grant: Grant
    call: Call
    progress: Progress
    attempt: Attempt
    is_reported: bool = False


def make_leaving(
    dispatcher: Dispatcher,
    upstream: Upstream,
    grant: Grant,
    call: Call,
    progress: Progress,
    attempt: Attempt,
) -> Leaving:
    """Make the decisions of an exchange whose upstream falls silent.

    A call that can't be sent again waits on: a late response is worth more than none.
    So does one whose service is silent as a whole, as no upstream would answer sooner,
    unless this instance reaches none and another instance does. A stream waits on while
    the process of its upstream stands still and would go on with it beside another one.

    :param dispatcher: The dispatcher.
    :param upstream: The upstream.
    :param grant: The slot on it.
    :param call: The call.
    :param progress: The call's progress; changed when the call leaves.
    :param attempt: The attempt in progress.
    :returns: What happens at the limit on the upstream's silence.
    """
    exchange = _SilentExchange(
        dispatcher=dispatcher,
        upstream=upstream,
        grant=grant,
        call=call,
        progress=progress,
        attempt=attempt,
    )
    return Leaving(
        prepare=lambda: _prepare(exchange, read_clock_s()),
        decide=lambda: _decide(exchange, read_clock_s()),
    )


def _prepare(exchange, now_s):
    """Check the process early, so that its state is known when the limit passes."""
    can_leave = isinstance(_decide_next(exchange, now_s), Retry)
    if can_leave and _needs_process_state(exchange, now_s):
        _start_check(exchange)


def _decide(exchange, now_s):
    reason = _find_reason_to_stay(exchange, now_s)
    if reason is not None:
        _log_wait(exchange, reason, now_s)
        return False
    return spend_retry_budget(exchange.dispatcher, exchange.call, exchange.progress)


def _find_reason_to_stay(exchange, now_s):
    dispatcher, call = exchange.dispatcher, exchange.call
    service = exchange.attempt.origin.service
    is_service_silent = is_silent(
        dispatcher.service_silence,
        service,
        silence_s=call.silence_timeout_s,
        now_s=now_s,
    )
    if is_service_silent and not dispatcher.is_out_of_reach(service):
        return "service-silent"
    decision = _decide_next(exchange, now_s)
    if isinstance(decision, GiveUp):
        return decision.reason
    if not _needs_process_state(exchange, now_s):
        return None
    state = find_state(dispatcher.process_checks, exchange.attempt.process, now_s)
    if state is None:
        _start_check(exchange)
        return "process-unknown"
    if state is ProcessState.STANDS_STILL:
        _start_check(exchange)
        _report_standstill(exchange, now_s)
        return state
    return None


def _decide_next(exchange, now_s):
    left = replace(exchange.progress)
    record_attempt(left, AttemptResult.SILENT)
    return decide_next(
        exchange.call,
        left,
        AttemptResult.SILENT,
        can_resume=can_resume_elsewhere(exchange.call, exchange.upstream),
        has_budget=True,
        now_s=now_s,
    )


def _needs_process_state(exchange, now_s):
    """Return whether the process might still hold the call after it was left.

    Plain idempotent calls may run on two upstreams at once. A process that has left the
    list, or was replaced, has ended or is about to.
    """
    dispatcher, process = exchange.dispatcher, exchange.attempt.process
    name = exchange.upstream.name
    if dispatcher.process_checks is None or not exchange.call.is_stream:
        return False
    is_listed = name in dispatcher.read_configuration().upstreams
    if not is_listed or dispatcher.identify_process(name) != process:
        return False
    since_s = now_s - HEARD_LATELY_S
    return not is_process_heard(dispatcher.service_silence, process, since_s)


def _start_check(exchange):
    start_check(
        exchange.dispatcher.process_checks,
        exchange.upstream,
        exchange.attempt.process,
    )


def _report_standstill(exchange, now_s):
    if not exchange.is_reported:
        exchange.is_reported = True
        exchange.dispatcher.record_standstill(exchange.grant, now_s)


def _log_wait(exchange, reason, now_s):
    attempt = exchange.attempt
    log_event(
        logger,
        logging.INFO,
        "silent-upstream-kept",
        request_id=exchange.call.request_id,
        upstream=exchange.upstream.name,
        reason=reason,
        silent_s=round(now_s - max(attempt.heard_s, attempt.sent_at_s), 3),
    )
