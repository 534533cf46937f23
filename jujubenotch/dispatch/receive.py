"""Receives the response of one upstream, and forwards the events of a stream."""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass

from jujubenotch.dispatch.attempt_state import Attempt, read_clock_s
from jujubenotch.dispatch.call import Answer, Call, Progress, Sink, find_resume_point
from jujubenotch.dispatch.decide import AttemptResult
from jujubenotch.dispatch.protocol import AnswerKind, UpstreamProtocol
from jujubenotch.dispatch.silence_limit import (
    SilenceLimit,
    pause_limit,
    resume_limit,
)
from jujubenotch.outcomes import Outcome
from jujubenotch.upstreams import (
    EventBuffer,
    UpstreamAnswer,
    UpstreamConnections,
    check_not_truncated,
    hold_response,
    hold_while_alive,
    read_body,
    read_last_id,
    record_held,
    repeats_events,
    take_complete_events,
    translate_errors,
)

FIRST_SUCCESS_STATUS = 200
LAST_SUCCESS_STATUS = 299
FIRST_ERROR_STATUS = 500
USAGE_TAIL_BYTES = 1024
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


def has_event_stream(answer: UpstreamAnswer) -> bool:
    """Tell whether the body of a response is a stream of events.

    :param answer: The response.
    :returns: True when the response is a success of the type ``text/event-stream``. A
        failure of that type is a complete answer, and never the rest of a stream.
    """
    if not FIRST_SUCCESS_STATUS <= answer.status <= LAST_SUCCESS_STATUS:
        return False
    content_type = answer.response.headers.get("Content-Type", "")
    return content_type.startswith("text/event-stream")


@dataclass(frozen=True, kw_only=True)
class Receiver:
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


async def receive(
    receiver: Receiver, answer: UpstreamAnswer, silence: SilenceLimit
) -> None:
    """Receive a response whose head has arrived, and set how its attempt ended.

    :param receiver: The context of the attempt; its state is changed in place.
    :param answer: The response.
    :param silence: The limit on the silence of the upstream.
    :raises UpstreamError: The response did not arrive completely.
    :raises StreamRestartedError: The upstream restarted a stream that was resumed.
    :raises CallerDisconnectedError: The caller has disconnected.
    """
    attempt = receiver.attempt
    kind = receiver.protocol.classify_answer(receiver.call, answer)
    if kind is not AnswerKind.OWN:
        if kind is AnswerKind.UNPROVED:
            answer.close_connection()
        attempt.end = _ENDS_BY_KIND[kind]
        return
    if receiver.call.is_stream and _can_forward_events(receiver.progress, answer):
        await _forward_stream(receiver, answer, silence)
        return
    body = await read_body(receiver.connections, answer, lambda: _note_heard(silence))
    if receiver.progress.is_stream_started:
        # A stream can only be resumed by another stream.
        attempt.end = AttemptResult.UPSTREAM_ERROR
        return
    _set_complete_answer(attempt, answer, body)
    hold_while_alive(receiver.connections.memory, attempt.answer, len(body))


def _can_forward_events(progress, answer):
    is_same_stream = progress.stream_status in (0, answer.status)
    return is_same_stream and has_event_stream(answer)


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
    progress.stream_status = answer.status


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
