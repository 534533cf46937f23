"""Runs a caller's request to its outcome: slot, claim, attempts, response."""

import asyncio
import contextlib
import functools
import logging
from collections.abc import Callable
from dataclasses import dataclass

from jujubenotch.crashes import digest_part, digest_request
from jujubenotch.dispatch.answers import (
    make_block_answer,
    make_claim_timeout_answer,
    make_failure_answer,
    make_give_up_answer,
    make_look_up_timeout_answer,
    make_refusal_answer,
)
from jujubenotch.dispatch.attempt import run_attempt
from jujubenotch.dispatch.attempt_state import Attempt, read_clock_s, report_attempt
from jujubenotch.dispatch.call import (
    Answer,
    Call,
    CallerDisconnectedError,
    Progress,
    Sink,
    describe_configuration,
    find_resume_point,
    find_target,
)
from jujubenotch.dispatch.decide import (
    AttemptResult,
    GiveUp,
    Retry,
    decide_next,
    record_attempt,
    record_send,
)
from jujubenotch.dispatch.leaving import make_leaving
from jujubenotch.dispatch.model import Dispatcher
from jujubenotch.dispatch.protocol import AnswerKind
from jujubenotch.dispatch.receive import has_event_stream
from jujubenotch.dispatch.retries import (
    can_resume_elsewhere,
    end_retry,
    find_retry_end,
    spend_retry_budget,
    start_retry,
)
from jujubenotch.dispatch.service_silence import watch_attempt
from jujubenotch.dispatch.shared_budget import RetryEnd
from jujubenotch.dispatch.silence import watch_exchange
from jujubenotch.dispatch.time_limit import bound_deadline, limit_wait
from jujubenotch.dispatch.work_request import make_work_request
from jujubenotch.invariants import assert_invariant
from jujubenotch.logs import log_event
from jujubenotch.outcomes import FailureReason, Outcome, Refusal
from jujubenotch.streams import StreamOrigin
from jujubenotch.work import WorkReport, WorkResult, describe_basis

logger = logging.getLogger(__name__)

MAX_LOGGED_PARTS = 8


async def dispatch(dispatcher: Dispatcher, call: Call, sink: Sink) -> Answer:
    """Run a call to its outcome.

    When the caller disconnects, a call that is claimed, or that was sent and is
    not idempotent, continues so that its outcome is recorded. Every other call
    is cancelled.

    :param dispatcher: The dispatcher.
    :param call: The call.
    :param sink: Receives the events of a stream.
    :returns: The response for the caller.
    """
    progress = Progress()
    if call.outlives_caller:
        sink = _ignore_disconnects(sink)
    task = asyncio.create_task(_run_call(dispatcher, call, progress, sink))
    dispatcher.in_progress.add(task)
    task.add_done_callback(dispatcher.in_progress.discard)
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        if not progress.must_finish:
            task.cancel()
        raise


@dataclass(frozen=True, kw_only=True)
class _DisconnectTolerantSink:
    """A sink that discards its input once the caller has disconnected."""

    start: Callable
    send: Callable


def _ignore_disconnects(sink):
    async def start(status, headers, *, is_framed=True):
        with contextlib.suppress(CallerDisconnectedError):
            await sink.start(status, headers, is_framed=is_framed)

    async def send(events):
        with contextlib.suppress(CallerDisconnectedError):
            await sink.send(events)

    return _DisconnectTolerantSink(start=start, send=send)


async def wait_until_idle(dispatcher: Dispatcher) -> None:
    """Wait until no call is in progress.

    :param dispatcher: The dispatcher.
    """
    while dispatcher.in_progress:
        await asyncio.wait(dispatcher.in_progress)


async def _run_call(dispatcher, call, progress, sink):
    reports = []
    answer = None
    _record_arrival(dispatcher, call)
    dispatcher.meter.record_arrival(call)
    try:
        if call.idempotency_key:
            answer = await _look_up(dispatcher, call)
        if answer is None:
            answer = await _run_attempts(dispatcher, call, progress, sink, reports)
    except CallerDisconnectedError:
        answer = make_failure_answer(progress, FailureReason.CALLER_LEFT)
    except asyncio.CancelledError:
        answer = make_failure_answer(progress, FailureReason.CALLER_LEFT)
        raise
    finally:
        if answer is None:
            answer = make_failure_answer(progress, FailureReason.UPSTREAM_ERROR)
        if call.is_borrowed:
            answer.attempts = progress.attempts
        start_retry(progress)
        end_retry(dispatcher, progress, RetryEnd.NOT_SENT)
        _finish(dispatcher, call, progress, answer, reports)
    return answer


def _record_arrival(dispatcher, call):
    if not call.is_borrowed:
        # The request of a caller earns retries at the instance that it came to.
        dispatcher.retry_budget.record_request(call.target, read_clock_s())
    dispatcher.observer.record(
        call.request_id,
        "arrived",
        team=call.team.name,
        service_class=call.service_class.name,
        tier=call.service_class.tier,
        target=call.target,
        idempotent=call.is_idempotent,
        stream=call.is_stream,
        expected_tokens=call.expected_tokens,
    )


def _finish(dispatcher, call, progress, answer, reports):
    assert_invariant(
        answer.outcome is not Outcome.NOT_RUN or not progress.may_have_run,
        "not-run-was-not-sent",
        request_id=call.request_id,
    )
    if progress.is_claimed:
        dispatcher.claims.finish(call, _with_recorded_events(answer, progress))
    if answer.outcome is Outcome.COMPLETED:
        dispatcher.retry_budget.record_success(call.target, read_clock_s())
    report = reports[-1] if reports else None
    dispatcher.observer.count_end(call, answer, report)
    dispatcher.meter.record_end(call, answer)


def _with_recorded_events(answer, progress):
    if not answer.is_streamed:
        return answer
    return Answer(
        outcome=answer.outcome,
        status=answer.status,
        reason=answer.reason,
        headers=(("Content-Type", "text/event-stream"),),
        body=b"".join(progress.recorded_events),
        is_streamed=True,
    )


async def _run_attempts(dispatcher, call, progress, sink, reports):
    refusal = await _find_origin(dispatcher, call, progress)
    if refusal is not None:
        return make_refusal_answer(progress, refusal)
    while True:
        # A stop may have begun since the call came, or since its last attempt.
        call = bound_deadline(dispatcher.time_limit, call)
        block = dispatcher.find_block(call)
        if block is not None:
            return make_block_answer(progress, block)
        answer = await _send_elsewhere(dispatcher, call, progress, sink)
        if answer is not None:
            return answer
        grant = await _acquire(dispatcher, call, progress)
        if isinstance(grant, Refusal):
            return make_refusal_answer(progress, grant)
        dispatcher.observer.record(
            call.request_id,
            "granted",
            upstream=grant.upstream,
            home=grant.coordinator,
            software_version=grant.software_version,
            resumes=call.resumed_request_id,
            after_event=find_resume_point(call, progress),
            **describe_basis(grant.basis),
            **describe_configuration(call.basis),
        )
        progress.must_finish = call.outlives_caller
        if call.idempotency_key and not progress.is_claimed:
            answer = await _claim_call(dispatcher, call, progress, grant)
            if answer is not None:
                return answer
            if not progress.is_claimed:
                continue
        attempt = await _run_attempt_on_slot(dispatcher, call, progress, grant, sink)
        reports.append(report_attempt(attempt))
        answer = _decide(dispatcher, call, progress, grant, attempt)
        if answer is not None:
            return answer


async def _send_elsewhere(dispatcher, call, progress, sink):
    is_passed_on = True
    start_retry(progress)
    try:
        answer = await dispatcher.send_elsewhere(call, progress, sink)
        is_passed_on = answer is not None
        return answer
    finally:
        if is_passed_on:
            # The other instance may have sent it, whatever it answered.
            end_retry(dispatcher, progress, RetryEnd.UNCONFIRMED)


async def _find_origin(dispatcher, call, progress):
    """Find where the stream began that a call resumes, or return a refusal."""
    origin = call.origin
    if call.resume_after_event_id and origin is None:
        origin = await dispatcher.find_stream_origin(call)
    if isinstance(origin, Refusal):
        return origin
    progress.origin = origin
    return None


async def _acquire(dispatcher, call, progress):
    """Acquire a slot for an attempt; for the rest of a stream at a listed process."""
    while True:
        grant = await dispatcher.capacity.acquire(make_work_request(call, progress))
        if isinstance(grant, Refusal):
            return grant
        if not await _is_replaced(dispatcher, call, progress, grant):
            return grant
        _release_slot(dispatcher, grant, WorkResult.CANCELLED)
        progress.failed_upstreams |= {grant.upstream}


async def _is_replaced(dispatcher, call, progress, grant):
    """Tell whether a stream can't go on at an upstream, as another process is there.

    That one may have another software version, which the list doesn't show yet.
    """
    if progress.origin is None or not find_resume_point(call, progress):
        return False
    try:
        return await dispatcher.is_replaced(grant.upstream)
    except asyncio.CancelledError:
        _release_slot(dispatcher, grant, WorkResult.CANCELLED)
        raise


async def _claim_call(dispatcher, call, progress, grant):
    """Claim a call whose slot was granted.

    When this returns ``None`` and the call is not claimed, the slot has been
    released and the caller of this function must acquire another one.
    """
    answer = await _take_claim(dispatcher, call, grant)
    if answer is None:
        progress.is_claimed = True
        return None
    progress.must_finish = False
    if answer.reason is FailureReason.CLAIM_HELD:
        # Another request holds the claim. Its outcome is awaited without
        # occupying a slot.
        return await _look_up(dispatcher, call)
    return answer


async def _look_up(dispatcher, call):
    try:
        async with asyncio.timeout_at(call.deadline_s):
            return await dispatcher.claims.look_up(call)
    except TimeoutError:
        return make_look_up_timeout_answer()


async def _take_claim(dispatcher, call, grant):
    answer = None
    is_decided = False
    try:
        async with asyncio.timeout_at(call.deadline_s):
            answer = await dispatcher.claims.claim(call)
        is_decided = True
    except TimeoutError:
        # A cancelled claim operation releases whatever it has written, so no
        # claim stays held.
        answer = make_claim_timeout_answer()
    finally:
        if not is_decided or answer is not None:
            _release_slot(dispatcher, grant, WorkResult.CANCELLED)
    return answer


def _release_slot(dispatcher, grant, result):
    dispatcher.capacity.release(grant, WorkReport(result=result), read_clock_s())


async def _run_attempt_on_slot(dispatcher, call, progress, grant, sink):
    attempt = Attempt(
        sent_at_s=read_clock_s(),
        process=dispatcher.identify_process(grant.upstream),
        origin=StreamOrigin(
            service=find_target(call, progress),
            software_version=grant.software_version,
        ),
    )
    upstream = dispatcher.read_configuration().upstreams.get(grant.upstream)
    progress.attempts += 1
    record_send(progress)
    start_retry(progress)
    dispatcher.meter.record_attempt_start(attempt.origin.service)
    try:
        if upstream is None:
            attempt.end = AttemptResult.CONNECT_FAILED
        else:
            with watch_attempt(dispatcher.service_silence, attempt):
                await _run_attempt_until_deadline(
                    dispatcher, grant, upstream, call, progress, attempt, sink
                )
    finally:
        dispatcher.meter.record_attempt_end(attempt.origin.service, attempt.tokens)
        end_retry(dispatcher, progress, find_retry_end(attempt))
        if attempt.end is None:
            _release_slot(dispatcher, grant, WorkResult.CANCELLED)
        else:
            dispatcher.capacity.release(grant, report_attempt(attempt), read_clock_s())
            dispatcher.record_attempt(call, attempt)
    return attempt


async def _run_attempt_until_deadline(
    dispatcher, grant, upstream, call, progress, attempt, sink
):
    try:
        async with limit_wait(dispatcher.time_limit, call.deadline_s):
            work = run_attempt(
                dispatcher.connections,
                dispatcher.protocol,
                upstream,
                call,
                progress,
                attempt,
                sink,
                lambda head: _record_head(dispatcher, grant, call, progress, head),
                lambda: _record_stream_start(dispatcher, grant, call, progress),
                make_leaving(dispatcher, upstream, grant, call, progress, attempt),
            )
            await watch_exchange(
                dispatcher.exchange_registry, upstream.name, call, attempt, work
            )
    except TimeoutError:
        attempt.end = AttemptResult.DEADLINE


def _record_stream_start(dispatcher, grant, call, progress):
    _record_begin(dispatcher, call, progress)
    dispatcher.record_first_event(grant, read_clock_s())
    dispatcher.record_stream_start(call, progress.origin)


def _record_begin(dispatcher, call, progress):
    """Count a call that has begun, unless it only continues a stream."""
    if progress.has_begun or call.resume_after_event_id:
        return
    progress.has_begun = True
    dispatcher.meter.record_begin(call)


def _record_head(dispatcher, grant, call, progress, head):
    now_s = read_clock_s()
    dispatcher.record_response_start(grant, now_s)
    end_retry(dispatcher, progress, RetryEnd.ARRIVED)
    if dispatcher.protocol.is_for_other(call, head):
        log_event(
            logger,
            logging.WARNING,
            "response-for-other-request",
            request_id=call.request_id,
            upstream=grant.upstream,
            status=head.status,
        )
        return
    load = dispatcher.protocol.read_load(head)
    if load is not None:
        dispatcher.capacity.record_load(grant.upstream, load, now_s)
    notice = dispatcher.protocol.read_notice(head)
    if notice is not None:
        dispatcher.record_notice(grant.upstream, notice)
    is_stream = call.is_stream and has_event_stream(head)
    if not is_stream:
        kind = dispatcher.protocol.classify_answer(call, head)
        if kind is AnswerKind.OWN:
            _record_begin(dispatcher, call, progress)


def _decide(dispatcher, call, progress, grant, attempt):
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
