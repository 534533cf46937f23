"""Runs a caller's request to its outcome: slot, claim, attempts, response."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from jujubenotch.dispatch.answers import (
    make_block_answer,
    make_failure_answer,
    make_refusal_answer,
)
from jujubenotch.dispatch.attempt_state import read_clock_s, report_attempt
from jujubenotch.dispatch.call import (
    Answer,
    Call,
    CallerDisconnectedError,
    Progress,
    Sink,
    describe_configuration,
    find_resume_point,
)
from jujubenotch.dispatch.claiming import claim_call, look_up, release_slot
from jujubenotch.dispatch.follow_attempt import follow_attempt
from jujubenotch.dispatch.model import Dispatcher
from jujubenotch.dispatch.retries import end_retry, start_retry
from jujubenotch.dispatch.shared_budget import RetryEnd
from jujubenotch.dispatch.slot_attempt import run_on_slot
from jujubenotch.dispatch.time_limit import bound_deadline
from jujubenotch.dispatch.work_request import make_work_request
from jujubenotch.invariants import assert_invariant
from jujubenotch.outcomes import FailureReason, Outcome, Refusal
from jujubenotch.work import WorkResult, describe_basis


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
            answer = await look_up(dispatcher, call)
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
            answer = await claim_call(dispatcher, call, progress, grant)
            if answer is not None:
                return answer
            if not progress.is_claimed:
                continue
        attempt = await run_on_slot(dispatcher, call, progress, grant, sink)
        reports.append(report_attempt(attempt))
        answer = follow_attempt(dispatcher, call, progress, grant, attempt)
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
        release_slot(dispatcher, grant, WorkResult.CANCELLED)
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
        release_slot(dispatcher, grant, WorkResult.CANCELLED)
        raise
