"""Runs one attempt of a call on a slot that was granted, and releases the slot."""

import logging

from jujubenotch.dispatch.attempt import run_attempt
from jujubenotch.dispatch.attempt_state import Attempt, read_clock_s, report_attempt
from jujubenotch.dispatch.call import Call, Progress, Sink, find_target
from jujubenotch.dispatch.claiming import release_slot
from jujubenotch.dispatch.decide import AttemptResult, record_send
from jujubenotch.dispatch.leaving import make_leaving
from jujubenotch.dispatch.model import Dispatcher
from jujubenotch.dispatch.protocol import AnswerKind
from jujubenotch.dispatch.receive import has_event_stream
from jujubenotch.dispatch.retries import end_retry, find_retry_end, start_retry
from jujubenotch.dispatch.service_silence import watch_attempt
from jujubenotch.dispatch.shared_budget import RetryEnd
from jujubenotch.dispatch.silence import watch_exchange
from jujubenotch.dispatch.time_limit import limit_wait
from jujubenotch.logs import log_event
from jujubenotch.streams import StreamOrigin
from jujubenotch.work import Grant, WorkResult

logger = logging.getLogger(__name__)


async def run_on_slot(
    dispatcher: Dispatcher, call: Call, progress: Progress, grant: Grant, sink: Sink
) -> Attempt:
    """Run one attempt of a call, and release its slot.

    :param dispatcher: The dispatcher.
    :param call: The call.
    :param progress: The call's progress; changed in place.
    :param grant: The slot.
    :param sink: Receives the events of a stream.
    :returns: The attempt, with its end.
    """
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
                await _run_until_deadline(
                    dispatcher, grant, upstream, call, progress, attempt, sink
                )
    finally:
        dispatcher.meter.record_attempt_end(attempt.origin.service, attempt.tokens)
        end_retry(dispatcher, progress, find_retry_end(attempt))
        if attempt.end is None:
            release_slot(dispatcher, grant, WorkResult.CANCELLED)
        else:
            dispatcher.capacity.release(grant, report_attempt(attempt), read_clock_s())
            dispatcher.record_attempt(call, attempt)
    return attempt


async def _run_until_deadline(
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
