"""Runs one attempt of a call on one upstream."""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass

from jujubenotch.dispatch.call import Answer, Call, Progress, Sink, find_resume_point
from jujubenotch.dispatch.decide import WORK_RESULTS, AttemptResult
from jujubenotch.dispatch.protocol import AnswerKind, UpstreamProtocol
from jujubenotch.dispatch.silence_limit import (
    Leaving,
    limit_silence,
    pause_limit,
    resume_limit,
)
from jujubenotch.outcomes import Outcome
from jujubenotch.records import Upstream
from jujubenotch.streams import StreamOrigin
from jujubenotch.upstreams import (
    AnswerTooLargeError,
    ConnectFailedError,
    ConnectionLostError,
    EventBuffer,
    SilentUpstreamError,
    UpstreamAnswer,
    UpstreamConnections,
    UpstreamRequest,
    check_not_truncated,
    hold_response,
    open_exchange,
    read_body,
    read_last_id,
    record_held,
    repeats_events,
    take_complete_events,
    translate_errors,
)
from jujubenotch.work import WorkReport

FIRST_ERROR_STATUS = 500
USAGE_TAIL_BYTES = 1024
MAX_ERROR_LENGTH = 160
# Largest part of a stream that is forwarded in one write. Up to three copies of a part
# are in memory while its caller doesn't read.
MAX_FORWARD_BYTES = 32 * 1024
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

_COMPLETION_TOKENS = re.compile(rb'"completion_tokens": ?(\d+)')


class StreamRestartedError(Exception):
    """The upstream restarted a stream that it was asked to resume."""


@dataclass(kw_only=True)
class Attempt:
    """The measurements and the result of one attempt.

    :param sent_at_s: The monotonic time of the send, in seconds.
    :param end: How the attempt ended; ``None`` while it is in progress.
    :param answer: The complete response, or the status of a completed stream.
    :param tokens: The number of tokens received.
    :param first_token_at_s: The monotonic time of the first event, in seconds;
        0 before it.
    :param last_token_at_s: The monotonic time of the latest event, in seconds;
        0 before the first one.
    :param head_at_s: The monotonic time at which the head of the response arrived,
        in seconds; 0 before it.
    :param origin: Where a stream that begins with this attempt has its origin.
    :param process: The process that the request was sent to; empty when unknown.
    :param error: What the connection's error says; empty without one.
    :param is_broken_off: Whether the connection ended before the response did.
    """

    sent_at_s: float
    end: AttemptResult | None = None
    answer: Answer | None = None
    tokens: int = 0
    first_token_at_s: float = 0.0
    last_token_at_s: float = 0.0
    head_at_s: float = 0.0
    origin: StreamOrigin | None = None
    process: str = ""
    error: str = ""
    is_broken_off: bool = False

    @property
    def heard_s(self) -> float:
        """When the upstream last sent something, monotonic, in seconds; 0 before."""
        return max(self.head_at_s, self.last_token_at_s)


async def run_attempt(
    connections: UpstreamConnections,
    protocol: UpstreamProtocol,
    upstream: Upstream,
    call: Call,
    progress: Progress,
    attempt: Attempt,
    sink: Sink,
    record_head: Callable[[UpstreamAnswer], None],
    record_stream_start: Callable[[], None],
    leaving: Leaving | None = None,
) -> None:
    """Send a call to an upstream and forward the response.

    :param connections: The connections to upstreams.
    :param protocol: The protocol of the upstream.
    :param upstream: The upstream to send the call to.
    :param call: The call.
    :param progress: The call's progress; changed in place.
    :param attempt: The attempt; its end and measurements are set here.
    :param sink: Receives the events of a stream.
    :param record_head: Called when the head of the response arrives.
    :param record_stream_start: Called before the head of a stream is forwarded.
    :param leaving: What happens when the upstream has been silent for the call's
        limit; ``None`` ends the attempt.
    :raises CallerDisconnectedError: The caller has disconnected.
    """
    receiver = _Receiver(
        connections=connections,
        protocol=protocol,
        call=call,
        progress=progress,
        attempt=attempt,
        sink=sink,
        record_head=record_head,
        record_stream_start=record_stream_start,
    )
    try:
        await _exchange(receiver, upstream, leaving or Leaving())
    except ConnectFailedError as error:
        attempt.end = AttemptResult.CONNECT_FAILED
        attempt.error = str(error)[:MAX_ERROR_LENGTH]
    except SilentUpstreamError:
        attempt.end = AttemptResult.SILENT
    except ConnectionLostError as error:
        attempt.end = AttemptResult.LOST
        attempt.error = str(error)[:MAX_ERROR_LENGTH]
        attempt.is_broken_off = True
    except StreamRestartedError:
        attempt.end = AttemptResult.RESTARTED
    except AnswerTooLargeError:
        attempt.end = AttemptResult.UPSTREAM_ERROR
    if progress.is_stream_started and attempt.end is AttemptResult.LOST:
        attempt.end = AttemptResult.TRUNCATED


async def _exchange(receiver, upstream, leaving):
    """Send the request and receive its response, within the limit on silence."""
    call = receiver.call
    request = make_upstream_request(
        receiver.protocol, upstream, call, receiver.progress
    )
    async with (
        limit_silence(call.silence_timeout_s, leaving) as silence,
        open_exchange(receiver.connections, request) as answer,
    ):
        receiver.attempt.head_at_s = silence.heard_s = read_clock_s()
        receiver.record_head(answer)
        await _receive(receiver, answer, silence)


def make_upstream_request(
    protocol: UpstreamProtocol, upstream: Upstream, call: Call, progress: Progress
) -> UpstreamRequest:
    """Make the request for an upstream.

    :param protocol: The protocol of the upstream.
    :param upstream: The upstream that the request is for.
    :param call: The call.
    :param progress: The call's progress; a started stream is resumed.
    :returns: The request.
    """
    # After a first attempt there, its response may be repeated on the connection, and
    # has the same request id as the response to this attempt.
    has_failed = upstream.name in progress.failed_upstreams
    may_repeat = call.is_idempotent or call.is_cancelled_on_disconnect
    return UpstreamRequest(
        method=call.method,
        url=upstream.url + call.path,
        headers=protocol.write_headers(upstream, call, progress, read_clock_s()),
        body=call.body,
        is_repeatable=may_repeat and not has_failed,
        is_stream=call.is_stream,
    )


def report_attempt(attempt: Attempt) -> WorkReport:
    """Make the report that is passed on when the slot is released.

    :param attempt: An attempt that has ended.
    :returns: The report; its durations are in seconds.
    """
    first_token_s = None
    between_tokens_s = None
    if attempt.tokens:
        first_token_s = attempt.first_token_at_s - attempt.sent_at_s
    if attempt.last_token_at_s > attempt.first_token_at_s and attempt.tokens > 1:
        span_s = attempt.last_token_at_s - attempt.first_token_at_s
        between_tokens_s = span_s / (attempt.tokens - 1)
    return WorkReport(
        result=WORK_RESULTS[attempt.end],
        tokens=attempt.tokens,
        first_token_s=first_token_s,
        between_tokens_s=between_tokens_s,
    )


def has_event_stream(answer: UpstreamAnswer) -> bool:
    """Tell whether the body of a response is a stream of events.

    :param answer: The response.
    :returns: True when the content type is ``text/event-stream``.
    """
    content_type = answer.response.headers.get("Content-Type", "")
    return content_type.startswith("text/event-stream")


@dataclass(frozen=True, kw_only=True)
class _Receiver:
    """The context for receiving one response."""

    connections: UpstreamConnections
    protocol: UpstreamProtocol
    call: Call
    progress: Progress
    attempt: Attempt
    sink: Sink
    record_head: Callable[[UpstreamAnswer], None]
    record_stream_start: Callable[[], None]


_ENDS_BY_KIND = {
    AnswerKind.NOT_STARTED: AttemptResult.REFUSED,
    AnswerKind.MISDIRECTED: AttemptResult.MISDIRECTED,
    AnswerKind.UNPROVED: AttemptResult.LOST,
}


async def _receive(receiver, answer, silence):
    attempt = receiver.attempt
    kind = receiver.protocol.classify_answer(receiver.call, answer)
    if kind is not AnswerKind.OWN:
        attempt.end = _ENDS_BY_KIND[kind]
        return
    if receiver.call.is_stream and has_event_stream(answer):
        await _forward_stream(receiver, answer, silence)
        return
    body = await read_body(receiver.connections, answer, lambda: _note_heard(silence))
    if receiver.progress.is_stream_started:
        # A stream can only be resumed by another stream.
        attempt.end = AttemptResult.UPSTREAM_ERROR
        return
    _set_complete_answer(attempt, answer, body)


def _note_heard(silence):
    silence.heard_s = read_clock_s()


def _set_complete_answer(attempt, answer, body):
    attempt.first_token_at_s = read_clock_s()
    attempt.last_token_at_s = attempt.first_token_at_s
    attempt.tokens = _read_usage(body)
    is_error = answer.status >= FIRST_ERROR_STATUS
    attempt.end = AttemptResult.UPSTREAM_ERROR if is_error else AttemptResult.COMPLETED
    attempt.answer = Answer(
        outcome=Outcome.FAILED if is_error else Outcome.COMPLETED,
        status=answer.status,
        headers=remove_hop_by_hop_headers(answer.headers),
        body=body,
        is_framed=answer.response.is_framed,
    )


def _read_usage(body):
    usage = _COMPLETION_TOKENS.search(body, max(0, len(body) - USAGE_TAIL_BYTES))
    return int(usage.group(1)) if usage else 1


def remove_hop_by_hop_headers(headers):
    """Remove the hop-by-hop headers.

    :param headers: Names and values.
    :returns: The end-to-end headers, which are forwarded.
    """
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    )


def read_clock_s() -> float:
    """Read the monotonic clock of the running event loop.

    :returns: The time in seconds.
    """
    return asyncio.get_running_loop().time()


async def _forward_stream(receiver, answer, silence):
    progress = receiver.progress
    attempt = receiver.attempt
    buffer = EventBuffer(end_marker=receiver.protocol.end_marker)
    try:
        await _forward_events(receiver, answer, buffer, silence)
        check_not_truncated(answer)
        if _is_complete(buffer, answer):
            await _start_stream(receiver, answer)
            await _forward_rest(receiver, buffer)
    finally:
        attempt.tokens = buffer.events
        progress.last_event_id = read_last_id(buffer) or progress.last_event_id
    if not _is_complete(buffer, answer):
        attempt.end = AttemptResult.TRUNCATED
        attempt.is_broken_off = True
        return
    attempt.end = AttemptResult.COMPLETED
    attempt.answer = Answer(
        outcome=Outcome.COMPLETED, status=answer.status, is_streamed=True
    )


async def _start_stream(receiver, answer):
    """Send the head of a stream to the caller, unless it was sent before.

    Until its first event a stream that breaks off can still be repeated as a whole, or
    answered with an error.
    """
    progress = receiver.progress
    if progress.is_stream_started:
        return
    progress.origin = progress.origin or receiver.attempt.origin
    receiver.record_stream_start()
    await receiver.sink.start(
        answer.status,
        remove_hop_by_hop_headers(answer.headers),
        is_framed=answer.response.is_framed,
    )
    progress.is_stream_started = True


def _is_complete(buffer, answer):
    if not buffer.end_marker:
        is_inside_event = bool(buffer.partial.strip())
        # Without a length, a connection that ends before the first event can't be told
        # from an upstream that ended.
        is_empty = not answer.response.is_framed and not buffer.events
        return not is_inside_event and not is_empty
    return buffer.is_ended or buffer.partial.strip() == buffer.end_marker


async def _forward_rest(receiver, buffer):
    """Forward the blank lines after the last event of a complete body."""
    if buffer.partial and not buffer.end_marker:
        await receiver.sink.send(bytes(buffer.partial))


async def _forward_events(receiver, answer, buffer, silence):
    """Forward the events of a stream as they arrive.

    An upstream that sends bytes but completes no event has stalled. The time that a
    slow caller takes to receive events doesn't count.
    """
    connections = receiver.connections
    with translate_errors(), hold_response(connections, answer) as held:
        await _forward_while_events_come(receiver, answer, buffer, silence, held)
    pause_limit(silence)


async def _forward_while_events_come(receiver, answer, buffer, silence, held):
    attempt = receiver.attempt
    read_time_s = asyncio.get_running_loop().time
    keeps_events = bool(receiver.call.idempotency_key)
    send = receiver.sink.send
    resume_after_event_id = find_resume_point(receiver.call, receiver.progress)
    async for chunk in answer.response.content.iter_chunked(MAX_FORWARD_BYTES):
        events = take_complete_events(buffer, chunk)
        record_held(receiver.connections.memory, held, len(buffer.partial))
        if not events:
            continue
        if resume_after_event_id and repeats_events(events, resume_after_event_id):
            buffer.last_events = b""
            raise StreamRestartedError
        resume_after_event_id = ""
        pause_limit(silence)
        attempt.last_token_at_s = read_time_s()
        if not attempt.first_token_at_s:
            attempt.first_token_at_s = attempt.last_token_at_s
        await _start_stream(receiver, answer)
        if keeps_events:
            receiver.progress.recorded_events.append(events)
        await send(events)
        resume_limit(silence, read_time_s())
