"""Callers that keep connections open and use them until the instance closes them."""

import asyncio
import random
import re
import time
from contextlib import suppress
from dataclasses import dataclass, field

from benchmarks.site.documents import HOST
from benchmarks.site.model import STREAMS, RouteKind, SiteJournal, Told

MS_PER_S = 1000
CONNECT_TIMEOUT_S = 1.0
# Well below the idle timeout in the configuration.
LONGEST_REST_S = 4.0
EXTRA_WAIT_S = 2.0
POLL_INTERVAL_S = 1.0
MISSES_UNTIL_OUT = 2
END_OF_HEAD = b"\r\n\r\n"
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
KINDS = (RouteKind.READ, RouteKind.SEND, RouteKind.STREAM, RouteKind.RESUME)
SHORTEST_WAIT_S = 1.5
LONGEST_WAIT_S = 4.0
MAX_EVENTS = 30
# The share of read requests that go to routes which are added and removed in the run.
EXTRA_PREFIX_RATIO = 0.25
_ID_LINE = re.compile(rb"^id: ?(\d+)$", re.MULTILINE)


@dataclass(kw_only=True)
class Entrance:
    """The addresses at which callers reach an instance.

    :param port: The port of the relay in front of the callers' listener.
    :param ready_port: The port at which the instance reports its readiness.
    :param misses: The number of consecutive readiness checks that failed.
    """

    instance: str
    host: str
    port: int
    ready_host: str
    ready_port: int
    misses: int = 0

    @property
    def is_open(self) -> bool:
        """Whether new connections are opened to the instance."""
        return self.misses < MISSES_UNTIL_OUT


@dataclass(kw_only=True)
class Channel:
    """A caller's connection to an instance.

    :param used_s: When the connection was opened or its last answer ended.
    """

    entrance: Entrance
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used_s: float


@dataclass(kw_only=True)
class Callers:
    """The callers of a site.

    :param keys: The keys that callers use, including revoked ones.
    :param prefixes: The prefixes of all added routes; callers go on using them
        after their removal.
    :param idle: The open connections without a request.
    """

    entrances: list[Entrance]
    journal: SiteJournal
    keys: list[str]
    generator: random.Random
    prefixes: list[str] = field(default_factory=list)
    idle: list[Channel] = field(default_factory=list)


async def poll_readiness(entrances: list[Entrance]) -> None:
    """Check the readiness of each instance each second, as a load balancer does.

    :param entrances: The addresses of the instances; changed in place.
    """
    while True:
        await asyncio.gather(*(_poll(entrance) for entrance in entrances))
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
            group.create_task(_call(callers))
            await asyncio.sleep(callers.generator.expovariate(per_s))
    for channel in callers.idle:
        channel.writer.close()


async def _poll(entrance):
    is_ready = False
    with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(POLL_INTERVAL_S):
            reader, writer = await asyncio.open_connection(
                entrance.ready_host, entrance.ready_port
            )
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await reader.readuntil(b"\r\n")
            is_ready = line.split(b" ")[1] == b"200"
            writer.close()
    entrance.misses = 0 if is_ready else entrance.misses + 1


async def _call(callers):
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            channel = await _take_channel(callers)
    except (OSError, TimeoutError):
        # No request was sent, and a real caller would try another instance.
        return
    told = _draw_request(callers, channel.entrance.instance)
    callers.journal.told.append(told)
    wait_s = told.deadline_s - told.sent_s
    goes_on = False
    try:
        async with asyncio.timeout(wait_s + EXTRA_WAIT_S):
            await _send(channel, told, wait_s)
            goes_on = await _read_answer(channel, told)
    except TimeoutError:
        told.error = "no end in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        told.error = f"{type(error).__name__}: {error}"
    told.ended_s = time.monotonic()
    _put_back(callers, channel, goes_on=goes_on)


def _draw_request(callers, instance):
    generator = callers.generator
    kind = generator.choice(KINDS)
    path = f"/{kind}/{generator.randint(1, MAX_EVENTS)}"
    asks_extra = callers.prefixes and generator.random() < EXTRA_PREFIX_RATIO
    if kind is RouteKind.READ and asks_extra:
        path = generator.choice(callers.prefixes) + "1"
    now_s = time.monotonic()
    return Told(
        request_id=f"{generator.getrandbits(64):016x}",
        kind=kind,
        path=path,
        key=generator.choice(callers.keys),
        instance=instance,
        sent_s=now_s,
        deadline_s=now_s + generator.uniform(SHORTEST_WAIT_S, LONGEST_WAIT_S),
    )


async def _take_channel(callers):
    now_s = time.monotonic()
    callers.generator.shuffle(callers.idle)
    while callers.idle:
        channel = callers.idle.pop()
        is_fresh = now_s - channel.used_s < LONGEST_REST_S
        has_ended = channel.reader.at_eof() or channel.writer.is_closing()
        if is_fresh and not has_ended:
            return channel
        channel.writer.close()
    is_open = [each for each in callers.entrances if each.is_open]
    entrance = callers.generator.choice(is_open or callers.entrances)
    reader, writer = await asyncio.open_connection(entrance.host, entrance.port)
    return Channel(entrance=entrance, reader=reader, writer=writer, used_s=now_s)


def _put_back(callers, channel, *, goes_on):
    if not goes_on:
        channel.writer.transport.abort()
        return
    channel.used_s = time.monotonic()
    callers.idle.append(channel)


async def _send(channel, told, wait_s):
    method = "GET" if told.kind is RouteKind.READ else "POST"
    body = b"" if told.kind is RouteKind.READ else b"{}" * 20
    head = (
        f"{method} {told.path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Attempt-Id: {told.request_id}\r\nX-Seen-By: {told.instance}\r\n"
        f"X-Deadline-Ms: {int(wait_s * MS_PER_S)}\r\n"
        f"Authorization: Bearer {told.key}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    if channel.writer.is_closing():
        raise ConnectionResetError("ended before the request was sent")
    channel.writer.write(head.encode() + body)
    await channel.writer.drain()


async def _read_answer(channel, told):
    """Read an answer into ``told``.

    :returns: Whether the connection can take another request.
    """
    block = await channel.reader.readuntil(END_OF_HEAD)
    lines = block.decode("latin-1").split("\r\n")
    told.status = int(lines[0].split(" ")[1])
    fields = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    told.is_signed = "x-response-signature" in fields
    told.retry_after_s = float(fields.get("retry-after", "0"))
    closes = fields.get("connection", "").lower() == "close"
    if "transfer-encoding" in fields:
        await _read_chunks(channel, told)
    elif "content-length" in fields:
        told.body = await channel.reader.readexactly(int(fields["content-length"]))
    else:
        told.body = await channel.reader.read()
        closes = True
    told.is_whole = True
    return not closes


async def _read_chunks(channel, told):
    while True:
        size = int(await channel.reader.readuntil(b"\r\n"), 16)
        chunk = await channel.reader.readexactly(size + 2)
        if not size:
            return
        told.body += chunk[:-2]
        is_success = FIRST_SUCCESS <= told.status < FIRST_REDIRECT
        if told.kind in STREAMS and is_success:
            told.events = tuple(int(each) for each in _ID_LINE.findall(told.body))
