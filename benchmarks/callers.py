"""Sends a planned load and records the outcome of each request."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import aiohttp
import orjson

from benchmarks.workload import PlannedRequest
from standins.answers import (
    count_expected_tokens,
    make_expected_service_response,
    make_expected_text,
)

OUTCOME_HEADER = "X-Jujubenotch-Outcome"
REASON_HEADER = "X-Jujubenotch-Reason"
END_MARKER = "[DONE]"
NO_ANSWER = "no-answer"
CUT = "cut"
DEADLINE_GRACE_S = 15.0


@dataclass(kw_only=True)
class RequestRecord:
    """The outcome of one request as its caller observed it.

    Durations are in seconds from the time at which the request was planned.

    :param at_s: The planned time, in seconds from the start of the run.
    :param outcome: The outcome that the instance reported; ``no-answer`` when
        no response arrived before the timeout, ``cut`` for a stream that ended
        without its last event.
    :param first_token_s: ``None`` if no streamed token was received.
    :param between_tokens_s: Mean interval between two tokens; ``None`` with
        fewer than two tokens.
    :param tokens: Number of tokens received.
    :param expected_tokens: Number of tokens in the correct response; 0 for a
        request to a plain service.
    :param is_right: Whether the complete response equals the expected one.
    """

    number: int
    service_class: str
    tier: int
    team: str
    is_stream: bool
    is_service: bool
    at_s: float
    idempotency_key: str = ""
    request_id: str = ""
    outcome: str = NO_ANSWER
    reason: str = ""
    status: int = 0
    retry_after_s: float = 0.0
    first_token_s: float | None = None
    between_tokens_s: float | None = None
    total_s: float = 0.0
    tokens: int = 0
    expected_tokens: int = 0
    is_right: bool = False


@dataclass(kw_only=True)
class ReceivedStream:
    """The events received on one stream.

    :param parts: The text of each event, in the order of arrival.
    :param ids: The ids of the events, in the order of arrival.
    :param first_at_s: Monotonic time of the first event; ``None`` before it.
    :param last_at_s: Monotonic time of the last event; ``None`` before the first.
    :param error: The content of the error event, if one was received.
    """

    parts: list[str] = field(default_factory=list)
    ids: list[int] = field(default_factory=list)
    first_at_s: float | None = None
    last_at_s: float | None = None
    has_end_marker: bool = False
    error: dict | None = None


async def send_load(
    plan: Sequence[PlannedRequest],
    *,
    instance_urls: Sequence[str],
    get_key: Callable[[PlannedRequest], str],
    delay_s: float = 0.0,
) -> list[RequestRecord]:
    """Send each request at its planned time, without waiting for earlier responses.

    :param plan: The requests, ordered by planned time.
    :param instance_urls: Base URLs among which the requests are distributed.
    :param get_key: Returns the API key for a request.
    :param delay_s: Simulated one-way delay between callers and instances, in
        seconds. Each request is sent later by this delay, and each measured time
        is longer by it once more, for the way back.
    :returns: One record for each request, in the order of the plan.
    """
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        start_s = time.monotonic()
        tasks = []
        for planned in plan:
            due_s = start_s + planned.at_s + delay_s
            await asyncio.sleep(due_s - time.monotonic())
            url = instance_urls[planned.instance_draw % len(instance_urls)]
            begin_s = start_s + planned.at_s - delay_s
            sending = _send(session, url, planned, get_key(planned), begin_s)
            tasks.append(asyncio.ensure_future(sending))
        return await asyncio.gather(*tasks)


async def _send(session, url, planned, key, begin_s):
    record = _make_record(planned)
    headers = {"Authorization": f"Bearer {key}"}
    timeout_s = planned.service_class.deadline_s + DEADLINE_GRACE_S
    try:
        async with asyncio.timeout(timeout_s):
            if planned.body is None:
                await _call_service(session, url, planned, headers, record)
            else:
                await _call_model(session, url, planned, headers, record, begin_s)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        record.reason = type(error).__name__
    record.total_s = time.monotonic() - begin_s
    return record


def _make_record(planned):
    body = planned.body or {}
    return RequestRecord(
        number=planned.number,
        service_class=planned.service_class.name,
        tier=planned.service_class.tier,
        team=planned.team,
        is_stream=body.get("stream", False),
        is_service=planned.body is None,
        at_s=planned.at_s,
        idempotency_key=planned.idempotency_key,
        expected_tokens=count_expected_tokens(body) if body else 0,
    )


async def _call_service(session, url, planned, headers, record):
    path = f"/submissions/{planned.number}"
    content = planned.idempotency_key.encode()
    headers["Idempotency-Key"] = planned.idempotency_key
    async with session.post(
        f"{url}/services/{planned.target}{path}", data=content, headers=headers
    ) as response:
        received = await response.read()
    _read_response_head(response, record)
    record.is_right = received == make_expected_service_response("POST", path, content)


async def _call_model(session, url, planned, headers, record, begin_s):
    async with session.post(
        f"{url}/v1/chat/completions", json=planned.body, headers=headers
    ) as response:
        _read_response_head(response, record)
        if response.content_type == "text/event-stream":
            await _read_stream(response, planned.body, record, begin_s)
            return
        content = await response.read()
    if response.status == 200:
        text = orjson.loads(content)["choices"][0]["message"]["content"]
        record.tokens = len(text.split())
        record.is_right = text == make_expected_text(planned.body)


def _read_response_head(response, record):
    is_success = response.status < 400
    default_outcome = "completed" if is_success else "failed"
    if response.headers.get("X-Not-Started"):
        default_outcome = "not-run"
    record.status = response.status
    record.outcome = response.headers.get(OUTCOME_HEADER, default_outcome)
    record.reason = response.headers.get(REASON_HEADER, "")
    record.request_id = response.headers.get("X-Request-Id", "")
    record.retry_after_s = float(response.headers.get("Retry-After", 0))


async def _read_stream(response, body, record, begin_s):
    stream = ReceivedStream()
    record.outcome = CUT
    try:
        remainder = b""
        async for chunk in response.content.iter_any():
            *events, remainder = (remainder + chunk).split(b"\n\n")
            now_s = time.monotonic()
            for event in events:
                read_event(stream, event.decode(), now_s)
    finally:
        summarise_stream(stream, body, record, begin_s)


def read_event(stream: ReceivedStream, event: str, now_s: float) -> None:
    """Add one event to the received part of a stream.

    :param stream: The events received before this one; updated in place.
    :param event: The lines of the event, without the empty line that ends it.
    :param now_s: The current monotonic time, in seconds.
    """
    lines = event.split("\n")
    data = next((line[6:] for line in lines if line.startswith("data: ")), None)
    if data is None:
        return
    if data == END_MARKER:
        stream.has_end_marker = True
        return
    if "event: error" in lines:
        stream.error = orjson.loads(data)["error"]
        return
    stream.ids += [int(line[4:]) for line in lines if line.startswith("id: ")]
    stream.parts.append(orjson.loads(data)["choices"][0]["delta"].get("content", ""))
    stream.first_at_s = stream.first_at_s or now_s
    stream.last_at_s = now_s


def summarise_stream(
    stream: ReceivedStream, body: dict, record: RequestRecord, begin_s: float
) -> None:
    """Update the record of a request from its received stream.

    :param stream: All events received on the stream.
    :param body: The body of the request.
    :param record: The record of the request; updated in place.
    :param begin_s: The monotonic time from which durations are measured, in
        seconds: the planned time of the request, less the simulated delay.
    """
    record.tokens = len(stream.parts)
    if stream.first_at_s is not None:
        record.first_token_s = stream.first_at_s - begin_s
    if len(stream.parts) > 1:
        span_s = stream.last_at_s - stream.first_at_s
        record.between_tokens_s = span_s / (len(stream.parts) - 1)
    if stream.has_end_marker:
        record.outcome = "completed"
    if stream.error is not None:
        record.outcome = stream.error.get("outcome", "failed")
        record.reason = stream.error.get("code", "")
        record.retry_after_s = stream.error.get("retry_after_s", 0.0)
    is_complete = stream.ids == list(range(1, record.expected_tokens + 1))
    record.is_right = is_complete and "".join(stream.parts) == make_expected_text(body)
