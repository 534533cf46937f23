"""Callers that keep connections open and use them until the instance closes them."""

import asyncio
import random
import re
import time
from contextlib import suppress
from dataclasses import dataclass, field, replace

from benchmarks.site.documents import HOST
from benchmarks.site.model import (
    STREAMING_KINDS,
    CallerRequest,
    RouteKind,
    SiteFault,
    SiteJournal,
)

MS_PER_S = 1000
CONNECT_TIMEOUT_S = 1.0
# Well below the idle timeout in the configuration.
MAX_IDLE_S = 4.0
EXTRA_WAIT_S = 2.0
POLL_INTERVAL_S = 1.0
FAILED_CHECKS_UNTIL_CLOSED = 2
END_OF_HEAD = b"\r\n\r\n"
READ_BYTES = 65536
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
KINDS = (RouteKind.READ, RouteKind.SEND, RouteKind.STREAM, RouteKind.RESUME)
MIN_WAIT_S = 1.5
MAX_WAIT_S = 4.0
MAX_EVENTS = 30
TOPICS = 12
BODY_BYTES = 40
# Some uploads take longer than an upstream that answers early.
LONG_BODY_BYTES = 90_000
LONG_BODY_EACH = 8
# Callers resume this share of the streams that broke off, within this time.
RESUME_RATIO = 0.8
MAX_RETURN_S = 0.3
MIN_RESUME_S = 0.5
# The last digit of a resumption's id; other ids are hexadecimal.
RESUMPTION_MARK = "r"
# The share of the requests that may have a content that crashes upstreams.
BAD_CONTENT_RATIO = 0.15
# The share of read requests that go to routes which are added and removed in the run.
EXTRA_PREFIX_RATIO = 0.25
_ID_LINE = re.compile(rb"^id: ?(\d+)$", re.MULTILINE)


@dataclass(kw_only=True)
class InstanceEndpoint:
    """The addresses at which callers reach an instance.

    :param port: The port of the relay in front of the callers' listener.
    :param ready_port: The port at which the instance reports its readiness.
    :param failed_checks: The number of consecutive readiness checks that failed.
    """

    instance: str
    host: str
    port: int
    ready_host: str
    ready_port: int
    failed_checks: int = 0

    @property
    def is_open(self) -> bool:
        """Whether new connections are opened to the instance."""
        return self.failed_checks < FAILED_CHECKS_UNTIL_CLOSED


@dataclass(kw_only=True)
class Connection:
    """A caller's connection to an instance.

    :param used_s: When the connection was opened or its last answer ended.
    """

    endpoint: InstanceEndpoint
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used_s: float


@dataclass(kw_only=True)
class Callers:
    """The callers of a site.

    :param keys: The keys that callers use, including revoked ones.
    :param bad_content: The contents that crash upstreams and that callers send now.
    :param prefixes: The prefixes of all added routes; callers go on using them
        after their removal.
    :param idle: The open connections without a request.
    """

    endpoints: list[InstanceEndpoint]
    journal: SiteJournal
    keys: list[str]
    generator: random.Random
    bad_content: dict[SiteFault, str] = field(default_factory=dict)
    prefixes: list[str] = field(default_factory=list)
    idle: list[Connection] = field(default_factory=list)


async def poll_readiness(endpoints: list[InstanceEndpoint]) -> None:
    """Check the readiness of each instance each second, as a load balancer does.

    :param endpoints: The addresses of the instances; changed in place.
    """
    while True:
        await asyncio.gather(*(_poll(endpoint) for endpoint in endpoints))
        await asyncio.sleep(POLL_INTERVAL_S)


async def send_load(callers: Callers, duration_s: float, per_s: float) -> None:
    """Send requests at random times, and wait for all their answers.

    :param callers: The callers.
    :param duration_s: How long requests are sent.
    :param per_s: The average number of requests per second.
    """
    end_s = time.monotonic() + duration_s
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end_s:
            group.create_task(_send_request(callers))
            await asyncio.sleep(callers.generator.expovariate(per_s))
    for connection in callers.idle:
        connection.writer.close()


async def _poll(endpoint):
    is_ready = False
    with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(POLL_INTERVAL_S):
            reader, writer = await asyncio.open_connection(
                endpoint.ready_host, endpoint.ready_port
            )
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await reader.readuntil(b"\r\n")
            is_ready = line.split(b" ")[1] == b"200"
            writer.close()
    endpoint.failed_checks = 0 if is_ready else endpoint.failed_checks + 1


async def _send_request(callers, resumed=None):
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            connection = await _take_connection(callers)
    except (OSError, TimeoutError):
        # No request was sent, and a real caller would try another instance.
        return
    instance = connection.endpoint.instance
    if resumed is None:
        request = _draw_request(callers, instance)
    else:
        request = _make_resumption(resumed, instance)
    callers.journal.told.append(request)
    wait_s = request.deadline_s - request.sent_s
    stays_open = False
    try:
        async with asyncio.timeout(wait_s + EXTRA_WAIT_S):
            await _send(connection, request, wait_s)
            stays_open = await _read_answer(connection, request)
    except TimeoutError:
        request.error = "no end in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        request.error = f"{type(error).__name__}: {error}"
    request.ended_s = time.monotonic()
    _put_back(callers, connection, stays_open=stays_open)
    if _may_resume(callers, request):
        await asyncio.sleep(callers.generator.uniform(0.0, MAX_RETURN_S))
        await _send_request(callers, resumed=request)


def _may_resume(callers, request):
    """Return whether a caller asks once for the rest of a stream that broke off."""
    is_broken = request.kind is RouteKind.RESUME and not request.is_whole
    if not is_broken or not request.events or request.resumes:
        return False
    has_time = request.deadline_s - time.monotonic() > MIN_RESUME_S
    return has_time and callers.generator.random() < RESUME_RATIO


def _make_resumption(request, instance):
    """Make the request for the rest of a stream."""
    return replace(
        request,
        request_id=f"{request.request_id[:-1]}{RESUMPTION_MARK}",
        instance=instance,
        sent_s=time.monotonic(),
        resumes=request.request_id,
        after_event=request.events[-1],
        ended_s=0.0,
        status=0,
        retry_after_s=0.0,
        body=b"",
        events=(),
        is_whole=False,
        is_signed=False,
        error="",
    )


def _draw_request(callers, instance):
    generator = callers.generator
    kind = generator.choice(KINDS)
    path = f"/{kind}/{generator.randint(1, MAX_EVENTS)}"
    uses_extra_route = callers.prefixes and generator.random() < EXTRA_PREFIX_RATIO
    if kind is RouteKind.READ and uses_extra_route:
        path = generator.choice(callers.prefixes) + "1"
    prompt = ""
    if kind in STREAMING_KINDS:
        topic = _draw_content(callers, SiteFault.BAD_PART)
        topic = topic or f"topic-{generator.randrange(TOPICS)}"
        prompt = f"first:300,{topic}:200,own-{generator.getrandbits(32):x}:100"
    elif kind is RouteKind.READ:
        path = _draw_content(callers, SiteFault.BAD_REQUEST) or path
    now_s = time.monotonic()
    return CallerRequest(
        request_id=f"{generator.getrandbits(64):016x}",
        kind=kind,
        path=path,
        key=generator.choice(callers.keys),
        instance=instance,
        sent_s=now_s,
        deadline_s=now_s + generator.uniform(MIN_WAIT_S, MAX_WAIT_S),
        prompt=prompt,
    )


def _draw_content(callers, kind):
    content = callers.bad_content.get(kind, "")
    return content if callers.generator.random() < BAD_CONTENT_RATIO else ""


async def _take_connection(callers):
    now_s = time.monotonic()
    callers.generator.shuffle(callers.idle)
    while callers.idle:
        connection = callers.idle.pop()
        is_fresh = now_s - connection.used_s < MAX_IDLE_S
        has_ended = connection.reader.at_eof() or connection.writer.is_closing()
        if is_fresh and not has_ended:
            return connection
        connection.writer.close()
    open_endpoints = [each for each in callers.endpoints if each.is_open]
    endpoint = callers.generator.choice(open_endpoints or callers.endpoints)
    reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    return Connection(endpoint=endpoint, reader=reader, writer=writer, used_s=now_s)


def _put_back(callers, connection, *, stays_open):
    if not stays_open:
        connection.writer.transport.abort()
        return
    connection.used_s = time.monotonic()
    callers.idle.append(connection)


async def _send(connection, request, wait_s):
    method = "GET" if request.kind is RouteKind.READ else "POST"
    body = b"" if request.kind is RouteKind.READ else _make_request_body(request)
    head = (
        f"{method} {request.path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Attempt-Id: {request.request_id}\r\nX-Seen-By: {request.instance}\r\n"
        f"X-Deadline-Ms: {int(wait_s * MS_PER_S)}\r\n"
        f"Authorization: Bearer {request.key}\r\nContent-Length: {len(body)}\r\n"
    )
    if request.prompt:
        head += f"X-Prompt-Prefix: {request.prompt}\r\nX-Token-Count: 600,200\r\n"
    if request.resumes:
        head += (
            f"Last-Event-Id: {request.after_event}\r\nResumes: {request.resumes}\r\n"
        )
    head += "\r\n"
    if connection.writer.is_closing():
        raise ConnectionResetError("ended before the request was sent")
    connection.writer.write(head.encode() + body)
    await connection.writer.drain()


def _make_request_body(request):
    is_long = int(request.request_id[:8], 16) % LONG_BODY_EACH == 0
    return b"{}" * ((LONG_BODY_BYTES if is_long else BODY_BYTES) // 2)


async def _read_answer(connection, request):
    """Read an answer into ``request``.

    :returns: Whether the connection can take another request.
    """
    block = await connection.reader.readuntil(END_OF_HEAD)
    lines = block.decode("latin-1").split("\r\n")
    request.status = int(lines[0].split(" ")[1])
    fields = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    request.is_signed = "x-response-signature" in fields
    request.retry_after_s = float(fields.get("retry-after", "0"))
    will_close = fields.get("connection", "").lower() == "close"
    if "transfer-encoding" in fields:
        await _read_chunks(connection, request)
    elif "content-length" in fields:
        request.body = await connection.reader.readexactly(
            int(fields["content-length"])
        )
    else:
        await _read_to_end(connection, request)
        will_close = True
    request.is_whole = True
    return not will_close


async def _read_to_end(connection, request):
    """Read an answer that has no length; a reset raises an error."""
    while part := await connection.reader.read(READ_BYTES):
        request.body += part
        _note_events(request)


async def _read_chunks(connection, request):
    while True:
        size = int(await connection.reader.readuntil(b"\r\n"), 16)
        chunk = await connection.reader.readexactly(size + 2)
        if not size:
            return
        request.body += chunk[:-2]
        _note_events(request)


def _note_events(request):
    is_success = FIRST_SUCCESS <= request.status < FIRST_REDIRECT
    if request.kind in STREAMING_KINDS and is_success:
        request.events = tuple(int(each) for each in _ID_LINE.findall(request.body))
