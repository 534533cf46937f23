"""Upstreams that run requests, journal them, and spoil some answers on demand."""

import asyncio
import random
import re
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum

from benchmarks.site.copies import MAX_DELAY_S, Copying, draws_copy, is_refusal
from benchmarks.site.model import (
    Arrival,
    ResponseCopy,
    SiteFault,
    Statement,
    StreamPart,
)
from standins.relay_core import RESET_ON_CLOSE

END_OF_HEAD = b"\r\n\r\n"
MAX_QUEUED = 24
PLAIN_WORK_S = 0.03
FIRST_EVENT_S = 0.05
EVENT_GAP_S = 0.02
SPOILED_RATIO = 0.3
LATE_EXTRA_S = 0.05
END_POLL_S = 0.1
COPY_POLL_S = 0.01
BAD_MARK = "bad-"
CRASH_DELAY_S = 0.03
MS_PER_S = 1000
REPORT_PATH = "/v1/report"
ENDLESS_PART_BYTES = 65536
# Answers without an end: header lines, or none for an answer without a head, and the
# bytes that are repeated.
ENDLESS_ANSWERS = (
    (b"Transfer-Encoding: chunked\r\n", b"0"),
    (b"Transfer-Encoding: chunked\r\n", b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
    (b"Content-Type: text/event-stream\r\n", b"x"),
    (None, b"HTTP/1.1 102 Processing\r\n\r\n"),
)
INVALID_STATUSES = (b"000 None", b"099 None", b"101 Other", b"600 High", b"999 High")
_FIELD = re.compile(rb"^([^:\r\n]+):[ \t]*([^\r\n]*)\r$", re.MULTILINE)


class Spoiling(StrEnum):
    """The ways in which an upstream spoils some of its answers."""

    CUT = "cut"
    UNSIGNED = "unsigned"
    OTHER_ID = "other-id"
    GARBAGE = "garbage"
    ERROR = "error"
    REFUSE = "refuse"
    EXTRA = "extra"
    MUTE = "mute"
    ENDLESS = "endless"
    INVALID_STATUS = "invalid-status"
    EARLY = "early"


@dataclass(kw_only=True)
class Upstream:
    """One upstream of the site, which stands for a process of its own.

    :param slots: The number of requests that the upstream runs concurrently.
    :param record: Called with each request that the upstream has received.
    :param record_statement: Called with each statement that the upstream sends.
    :param version: The version of its software.
    :param record_part: Called with each part of a stream that the upstream writes.
    :param crash: Called with the upstream and the content of a request that ends it.
    :param port: The port to listen on; 0 for a free one, which is set on opening.
    :param slowdown: The factor by which work takes longer than normal.
    :param silent_until_s: Until when nothing is read or sent; monotonic, in seconds.
    :param spoiling: How some of the answers are spoiled; ``None`` for none.
    :param says_leaving: Whether all responses say that the upstream is leaving.
    :param limit_per_s: The limit that all responses name; ``None`` for none.
    :param turn_away_s: Some requests are turned away for so long; ``None`` for none.
    :param copying: How often requests are refused and responses copied; ``None`` for
        not at all.
    :param record_copy: Called with each copy that the upstream sends.
    :param responses: What was written of the response that each connection carries.
    :param is_unframed: Whether its answers have no length and end with the connection;
        an answer that is cut ends by a reset, which comes together with its last bytes.
    :param episode: The number of times that it has begun to make statements.
    :param queued: The number of requests that wait or run.
    :param slot_semaphore: Limits the running requests to the slots.
    """

    name: str
    service: str
    host: str
    slots: int
    record: Callable[[Arrival], None]
    record_statement: Callable[[Statement], None]
    version: str = "v1"
    record_part: Callable[[StreamPart], None] = lambda part: None
    crash: Callable[["Upstream", str], None] = lambda upstream, content: None
    port: int = 0
    slowdown: float = 1.0
    silent_until_s: float = 0.0
    spoiling: Spoiling | None = None
    is_leaving: bool = False
    says_leaving: bool = False
    limit_per_s: float | None = None
    turn_away_s: float | None = None
    copying: Copying | None = None
    record_copy: Callable[[ResponseCopy], None] = lambda copy: None
    is_unframed: bool = False
    episode: int = 0
    queued: int = 0
    generator: random.Random = field(default_factory=random.Random)
    tasks: set[asyncio.Task] = field(default_factory=set)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    responses: dict[asyncio.StreamWriter, list[bytes]] = field(default_factory=dict)
    server: asyncio.Server | None = None
    slot_semaphore: asyncio.Semaphore | None = None


@dataclass(frozen=True, kw_only=True)
class RequestHead:
    """The head of a request."""

    path: str
    fields: dict[str, str]

    @property
    def request_id(self) -> str:
        """The caller's id of the request."""
        return self.fields.get("x-attempt-id", "")

    @property
    def bad_content(self) -> str:
        """The path, or the prompt part except the last, that crashes upstreams."""
        parts = self.fields.get("x-prompt-prefix", "").split(",")[:-1]
        contents = [part.partition(":")[0] for part in parts] + [self.path]
        return next((each for each in contents if BAD_MARK in each), "")


async def open_upstream(upstream: Upstream) -> None:
    """Start to listen, on the upstream's port if it is set.

    :param upstream: The upstream.
    """
    upstream.slot_semaphore = asyncio.Semaphore(upstream.slots)

    async def serve(reader, writer):
        task = asyncio.current_task()
        upstream.tasks.add(task)
        upstream.writers.add(writer)
        try:
            await _serve(upstream, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            upstream.tasks.discard(task)
            upstream.writers.discard(writer)
            writer.close()
            upstream.responses.pop(writer, None)

    upstream.server = await asyncio.start_server(
        serve, upstream.host, upstream.port, reuse_address=True
    )
    upstream.port = upstream.server.sockets[0].getsockname()[1]


async def close_upstream(upstream: Upstream) -> None:
    """Close an upstream at once and reset its connections.

    :param upstream: The upstream.
    """
    upstream.server.close()
    for writer in list(upstream.writers):
        _reset(writer)
    for task in list(upstream.tasks):
        task.cancel()
    await asyncio.sleep(0)


def make_body(request_id: str, path: str) -> bytes:
    """Make the body of the answer to a plain request.

    :param request_id: The caller's id of the request.
    :param path: The request's path.
    """
    return f"{request_id} {path} ".encode() * 8


def make_event(request_id: str, number: int) -> bytes:
    """Make an event of a stream.

    :param request_id: The caller's id of the request.
    :param number: The event's id.
    """
    return b"id: %d\ndata: %b-%d\n\n" % (number, request_id.encode(), number)


def count_events(path: str) -> int:
    """Return the number of events of a stream, which is the last part of its path."""
    return int(path.rpartition("/")[2])


async def _serve(upstream, reader, writer):
    while True:
        head = _read_head(await reader.readuntil(END_OF_HEAD))
        if upstream.spoiling is Spoiling.EARLY and _draws_spoiled(upstream):
            _answer_early(upstream, head, writer)
            return
        await reader.readexactly(int(head.fields.get("content-length", "0")))
        await _wait_out_silence(upstream)
        answer_task = asyncio.create_task(_answer(upstream, head, writer))
        try:
            if not await _wait_while_open(reader, answer_task):
                return
        finally:
            answer_task.cancel()
        response = b"".join(upstream.responses.pop(writer))
        if upstream.is_leaving:
            return
        _copy_sometimes(upstream, writer, response)


def _answer_early(upstream, head, writer):
    """Reset a connection after a part of an answer, with the request's body unread."""
    if head.path == REPORT_PATH:
        return
    _record(upstream, head, is_run=True)
    body = make_body(head.request_id, head.path)
    answer = _write_head(upstream, head, b"200 OK", b"", length=None)
    writer.write(answer + body[: len(body) // 2])
    _reset(writer)


def _copy_sometimes(upstream, writer, response):
    copying = upstream.copying
    if copying is None or not draws_copy(copying, response, upstream.generator):
        return
    task = asyncio.create_task(_send_copy(upstream, writer, response))
    upstream.tasks.add(task)
    task.add_done_callback(upstream.tasks.discard)


async def _send_copy(upstream, writer, response):
    """Send a copy later, before or after but never amid another response."""
    await asyncio.sleep(upstream.generator.uniform(0.0, MAX_DELAY_S))
    while writer in upstream.responses:
        await asyncio.sleep(COPY_POLL_S)
    if writer.is_closing():
        return
    writer.write(response)
    copy = ResponseCopy(
        upstream=upstream.name,
        is_refusal=is_refusal(response),
        at_s=time.monotonic(),
    )
    upstream.record_copy(copy)


async def _wait_out_silence(upstream):
    while (left_s := upstream.silent_until_s - time.monotonic()) > 0:
        await asyncio.sleep(left_s)


async def _wait_while_open(reader, answer_task):
    """Wait until the answer is sent or the connection is closed.

    :returns: Whether the connection can take another request.
    """
    while not answer_task.done():
        if reader.at_eof():
            return False
        await asyncio.wait([answer_task], timeout=END_POLL_S)
    return await answer_task


def _read_head(block):
    line = block.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
    fields = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in _FIELD.findall(block)
    }
    return RequestHead(path=line[1], fields=fields)


async def _answer(upstream, head, writer):
    """Answer a request.

    :returns: Whether the connection can take another request.
    """
    if head.path == REPORT_PATH:
        await _send(upstream, writer, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        return True
    if head.fields.get("x-expect-instance", upstream.name) != upstream.name:
        return await _refuse(upstream, head, writer, b"421 Misdirected Request")
    spoiling = _draw_spoiling(upstream)
    if upstream.turn_away_s is not None and _draws_spoiled(upstream):
        return await _turn_away(upstream, head, writer)
    is_full = upstream.queued >= MAX_QUEUED
    if is_full or spoiling is Spoiling.REFUSE or _draws_refused(upstream):
        return await _refuse(upstream, head, writer, b"503 Service Unavailable")
    _record(upstream, head, is_run=True)
    upstream.queued += 1
    try:
        async with upstream.slot_semaphore:
            return await _run(upstream, head, writer, spoiling)
    finally:
        upstream.queued -= 1


def _draws_refused(upstream):
    if upstream.copying is None:
        return False
    return upstream.generator.random() < upstream.copying.refused_ratio


def _draws_spoiled(upstream):
    return upstream.generator.random() < SPOILED_RATIO


def _draw_spoiling(upstream):
    if upstream.spoiling and _draws_spoiled(upstream):
        return upstream.spoiling
    return None


async def _turn_away(upstream, head, writer):
    wait_s = upstream.turn_away_s
    _state(upstream, head, SiteFault.TURN_AWAY, wait_s)
    extra = b"Retry-After: %.2f\r\n" % wait_s
    return await _refuse(upstream, head, writer, b"503 Service Unavailable", extra)


async def _refuse(upstream, head, writer, status, extra=b""):
    _record(upstream, head, is_run=False)
    proof = b"X-Not-Executed: 1\r\n" + extra
    await _send(upstream, writer, _write_head(upstream, head, status, proof, length=0))
    return True


def _record(upstream, head, *, is_run):
    arrival = Arrival(
        request_id=head.request_id,
        upstream=upstream.name,
        service=upstream.service,
        instance=head.fields.get("x-seen-by", ""),
        at_s=time.monotonic(),
        is_run=is_run,
        team=head.fields.get("x-tenant", ""),
        wait_s=float(head.fields.get("x-deadline-ms", "0")) / MS_PER_S,
        bad_content=head.bad_content,
    )
    upstream.record(arrival)


async def _run(upstream, head, writer, spoiling):
    if spoiling is Spoiling.MUTE:
        await asyncio.Event().wait()
    if spoiling is Spoiling.GARBAGE:
        await _send(upstream, writer, b"\x00\x01 what\r\n\r\n")
        return False
    if spoiling is Spoiling.INVALID_STATUS:
        status = upstream.generator.choice(INVALID_STATUSES)
        body = make_body(head.request_id, head.path)
        start = _write_head(upstream, head, status, b"", length=len(body))
        await _send(upstream, writer, start + body)
        return False
    if spoiling is Spoiling.ENDLESS:
        return await _send_without_end(upstream, head, writer)
    if upstream.service == "model":
        return await _stream(upstream, head, writer, spoiling)
    await asyncio.sleep(PLAIN_WORK_S * upstream.slowdown)
    await _wait_out_silence(upstream)
    if head.bad_content:
        return _crash(upstream, head)
    return await _send_plain(upstream, head, writer, spoiling)


async def _send_without_end(upstream, head, writer):
    """Send bytes that are no answer until the connection is closed."""
    extra, part = upstream.generator.choice(ENDLESS_ANSWERS)
    if extra is not None:
        start = _write_head(upstream, head, b"200 OK", extra, length=None)
        await _send(upstream, writer, start)
    part *= max(1, ENDLESS_PART_BYTES // len(part))
    while True:
        await _send(upstream, writer, part)


async def _send_plain(upstream, head, writer, spoiling):
    if spoiling is Spoiling.ERROR:
        status = b"500 Internal Server Error"
        await _send(
            upstream, writer, _write_head(upstream, head, status, b"", length=0)
        )
        return True
    body = make_body(head.request_id, head.path)
    length = None if upstream.is_unframed else len(body)
    answer = _write_head(upstream, head, b"200 OK", b"", length=length)
    answer = _spoil_head(answer, head, spoiling) + body
    if spoiling is Spoiling.CUT:
        await _send(upstream, writer, answer[: -len(body) // 2])
        return _cut(upstream, writer)
    await _send(upstream, writer, answer)
    if spoiling is Spoiling.EXTRA and not upstream.is_unframed:
        # Without a length it would be a part of the answer.
        await asyncio.sleep(LATE_EXTRA_S)
        await _send(upstream, writer, answer)
    return not upstream.is_unframed


async def _stream(upstream, head, writer, spoiling):
    last = count_events(head.path)
    first = int(head.fields.get("last-event-id", "0")) + 1
    stop = (first + last) // 2 if spoiling is Spoiling.CUT else last
    extra = b"Content-Type: text/event-stream\r\n"
    if not upstream.is_unframed:
        extra += b"Transfer-Encoding: chunked\r\n"
    await asyncio.sleep(FIRST_EVENT_S * upstream.slowdown)
    start = _write_head(upstream, head, b"200 OK", extra, length=None)
    await _send(upstream, writer, _spoil_head(start, head, spoiling))
    if head.bad_content:
        await asyncio.sleep(CRASH_DELAY_S)
        return _crash(upstream, head)
    if first <= stop:
        _record_part(upstream, head, first)
    for number in range(first, stop + 1):
        event = make_event(head.request_id, number)
        chunk = b"%x\r\n%b\r\n" % (len(event), event)
        await _wait_out_silence(upstream)
        await _send(upstream, writer, event if upstream.is_unframed else chunk)
        if number < stop or not upstream.is_unframed:
            await asyncio.sleep(EVENT_GAP_S * upstream.slowdown)
    if stop < last:
        if not upstream.is_unframed:
            # The stream is cut in the middle of an event.
            await _send(upstream, writer, b"40\r\nid: %d\nda" % (stop + 1))
        return _cut(upstream, writer)
    if not upstream.is_unframed:
        await _send(upstream, writer, b"0\r\n\r\n")
    return not upstream.is_unframed


def _cut(upstream, writer):
    """End an answer early; the connection can take no other request."""
    if upstream.is_unframed:
        _reset(writer)
    return False


def _reset(writer):
    """Reset a connection; what was written before still arrives."""
    connection = writer.get_extra_info("socket")
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def _record_part(upstream, head, first):
    part = StreamPart(
        stream=head.fields.get("resumes", head.request_id),
        upstream=upstream.name,
        version=upstream.version,
        first=first,
        at_s=time.monotonic(),
    )
    upstream.record_part(part)


def _crash(upstream, head):
    upstream.crash(upstream, head.bad_content)
    return False


def _write_head(upstream, head, status, extra, *, length):
    if length is not None:
        extra += b"Content-Length: %d\r\n" % length
    if upstream.is_leaving or upstream.is_unframed and length is None:
        extra += b"Connection: close\r\n"
    if upstream.says_leaving:
        _state(upstream, head, SiteFault.SAY_LEAVING, 1.0)
        extra += b"Server-Leaving: 1\r\n"
    if upstream.limit_per_s is not None:
        _state(upstream, head, SiteFault.NAME_LIMIT, upstream.limit_per_s)
        extra += b"Server-Limit: %.2f\r\n" % upstream.limit_per_s
    return (
        b"HTTP/1.1 %b\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s.%b\r\n%b\r\n"
        % (status, head.request_id.encode(), upstream.name.encode(), extra)
    )


def _state(upstream, head, kind, value):
    statement = Statement(
        upstream=upstream.name,
        instance=head.fields.get("x-seen-by", ""),
        kind=kind,
        value=value,
        episode=upstream.episode,
        at_s=time.monotonic(),
    )
    upstream.record_statement(statement)


def _spoil_head(answer, head, spoiling):
    if spoiling is Spoiling.UNSIGNED:
        return re.sub(rb"X-Response-Signature: [^\r]*\r\n", b"", answer)
    if spoiling is Spoiling.OTHER_ID:
        return answer.replace(head.request_id.encode(), b"0" * 16)
    return answer


async def _send(upstream, writer, data):
    if writer.is_closing():
        raise ConnectionResetError(
            "the connection was closed before the answer was sent"
        )
    upstream.responses.setdefault(writer, []).append(data)
    writer.write(data)
    await writer.drain()
