"""One attempt of a call on one upstream."""

import asyncio
import re
from dataclasses import dataclass

from jujubenotch.admission import WorkReport
from jujubenotch.dispatch.call import Answer, Call, Progress, Sink
from jujubenotch.dispatch.decide import WORK_RESULTS, AttemptEnd
from jujubenotch.outcomes import Outcome
from jujubenotch.records import Upstream
from jujubenotch.upstreams import (
    END_MARKER,
    AnswerTooLargeError,
    ConnectFailedError,
    ConnectionLostError,
    EventBuffer,
    SilentUpstreamError,
    UpstreamAnswer,
    UpstreamConnections,
    UpstreamRequest,
    open_exchange,
    read_last_id,
    read_whole,
    take_whole_events,
    translated_errors,
)

FIRST_ERROR_STATUS = 500
USAGE_TAIL_BYTES = 1024
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


@dataclass(kw_only=True)
class Attempt:
    """What one attempt has measured and what it came to.

    :param end: How it ended; ``None`` while it goes on.
    :param answer: The whole answer, or the head of a completed stream.
    :param first_token_at_s: Monotonic; 0 before the first event.
    :param last_token_at_s: Monotonic; 0 before the first event.
    """

    sent_at_s: float
    end: AttemptEnd | None = None
    answer: Answer | None = None
    tokens: int = 0
    first_token_at_s: float = 0.0
    last_token_at_s: float = 0.0


async def make_attempt(
    connections: UpstreamConnections,
    upstream: Upstream,
    call: Call,
    progress: Progress,
    attempt: Attempt,
    sink: Sink,
) -> None:
    """Send a call to an upstream and forward what comes back.

    :param connections: The connections to upstreams.
    :param upstream: Where to send it.
    :param call: The call.
    :param progress: Its progress; changed in place.
    :param attempt: The attempt; its end is set here.
    :param sink: Where the events of a stream go.
    :raises CallerGoneError: The caller has left.
    """
    request = make_upstream_request(upstream, call, progress)
    try:
        async with open_exchange(connections, request) as answer:
            await _receive(connections, call, progress, attempt, sink, answer)
    except ConnectFailedError:
        attempt.end = AttemptEnd.CONNECT_FAILED
    except SilentUpstreamError:
        attempt.end = AttemptEnd.SILENT
    except ConnectionLostError:
        attempt.end = AttemptEnd.LOST
    except AnswerTooLargeError:
        attempt.end = AttemptEnd.UPSTREAM_ERROR
    if progress.is_started and attempt.end is AttemptEnd.LOST:
        attempt.end = AttemptEnd.TRUNCATED


def make_upstream_request(
    upstream: Upstream, call: Call, progress: Progress
) -> UpstreamRequest:
    """Write the request for an upstream.

    :param upstream: Where it goes.
    :param call: The call.
    :param progress: Its progress; a started stream asks for the rest.
    :returns: The request.
    """
    headers = call.headers + (("X-Request-Id", call.request_id),)
    if call.idempotency_key:
        headers += (("Idempotency-Key", call.idempotency_key),)
    if progress.last_event_id:
        headers += (("Last-Event-ID", progress.last_event_id),)
    return UpstreamRequest(
        method=call.method,
        url=upstream.url + call.path,
        headers=headers,
        body=call.body,
        is_repeatable=call.is_idempotent,
        is_stream=call.is_stream,
    )


def report_attempt(attempt: Attempt) -> WorkReport:
    """Write the report that goes back with the slot.

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
    """Tell whether the body of an answer is a stream of events.

    :param answer: The answer's head.
    :returns: True for ``text/event-stream``.
    """
    content_type = answer.response.headers.get("Content-Type", "")
    return content_type.startswith("text/event-stream")


async def _receive(connections, call, progress, attempt, sink, answer):
    if answer.is_not_started:
        attempt.end = AttemptEnd.REFUSED
        return
    if call.is_stream and has_event_stream(answer):
        await _forward_stream(call, progress, attempt, sink, answer)
        return
    body = await read_whole(answer, connections.limits.max_answer_bytes)
    _set_whole_answer(attempt, answer, body)


def _set_whole_answer(attempt, answer, body):
    attempt.first_token_at_s = read_clock_s()
    attempt.last_token_at_s = attempt.first_token_at_s
    attempt.tokens = _read_usage(body)
    is_error = answer.status >= FIRST_ERROR_STATUS
    attempt.end = AttemptEnd.UPSTREAM_ERROR if is_error else AttemptEnd.COMPLETED
    attempt.answer = Answer(
        outcome=Outcome.FAILED if is_error else Outcome.COMPLETED,
        status=answer.status,
        headers=keep_end_to_end(answer.headers),
        body=body,
    )


def _read_usage(body):
    usage = _COMPLETION_TOKENS.search(body, max(0, len(body) - USAGE_TAIL_BYTES))
    return int(usage.group(1)) if usage else 1


def keep_end_to_end(headers):
    """Drop the headers that belong to one connection only.

    :param headers: Names and values.
    :returns: The headers that go on to the other side.
    """
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    )


def read_clock_s() -> float:
    """Read the monotonic clock of the running loop.

    :returns: Seconds.
    """
    return asyncio.get_running_loop().time()


async def _forward_stream(call, progress, attempt, sink, answer):
    if not progress.is_started:
        await sink.start(answer.status, keep_end_to_end(answer.headers))
        progress.is_started = True
    buffer = EventBuffer()
    try:
        await _forward_events(call, progress, attempt, sink, answer, buffer)
    finally:
        attempt.tokens = buffer.events
        progress.last_event_id = read_last_id(buffer) or progress.last_event_id
    is_whole = buffer.is_ended or buffer.partial.strip() == END_MARKER
    if not is_whole:
        attempt.end = AttemptEnd.TRUNCATED
        return
    attempt.end = AttemptEnd.COMPLETED
    attempt.answer = Answer(
        outcome=Outcome.COMPLETED, status=answer.status, is_streamed=True
    )


async def _forward_events(call, progress, attempt, sink, answer, buffer):
    read_time_s = asyncio.get_running_loop().time
    keeps_events = bool(call.idempotency_key)
    send = sink.send
    with translated_errors():
        async for chunk in answer.response.content.iter_any():
            events = take_whole_events(buffer, chunk)
            if not events:
                continue
            attempt.last_token_at_s = read_time_s()
            if not attempt.first_token_at_s:
                attempt.first_token_at_s = attempt.last_token_at_s
            if keeps_events:
                progress.recorded.append(events)
            await send(events)
