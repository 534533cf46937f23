"""Upstreams that end when they begin to respond to a request with a bad content.

Each crash breaks off all responses of the upstream's process. A new process, with
another identifier, starts at another address after a pause.
"""

import asyncio
import contextlib
import itertools
import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from features.platform.site import (
    answer_correctly,
    list_upstream,
    run,
    unlist_upstream,
)
from features.platform.upstream_kinds import LAST_CHUNK, STREAM_HEAD, read_id
from features.scripted_upstream import CONTENT_LENGTH, END_OF_HEAD

PROMPT_LINE = re.compile(rb"x-prompt-prefix: *(\S+)", re.IGNORECASE)
RESTART_PAUSE_S = 0.4
# The time from the beginning of a response to the crash that it causes.
CRASH_DELAY_S = 0.06
EVENT_PAUSE_S = 0.03
EVENTS = 4


@dataclass(frozen=True, kw_only=True)
class Arrival:
    at_s: float
    upstream: str
    head: bytes
    is_bad: bool


@dataclass(kw_only=True)
class CrashingUpstreams:
    """The upstreams of one service of a test site.

    ``is_bad`` tells from the head and the body of a request whether it ends the
    process that begins to run it. The responses are streams or, if not ``is_stream``,
    whole answers that begin at their end.
    """

    site: object
    is_bad: Callable[[bytes, bytes], bool]
    is_stream: bool = True
    arrivals: list[Arrival] = field(default_factory=list)
    crashes_s: list[float] = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)
    tasks: set = field(default_factory=set)
    url: str = ""


@dataclass(kw_only=True)
class _Process:
    name: str
    server: asyncio.Server | None = None
    writers: set = field(default_factory=set)
    is_down: bool = False


def start_upstreams(site, count, is_bad, *, is_stream=True):
    upstreams = CrashingUpstreams(site=site, is_bad=is_bad, is_stream=is_stream)
    for _ in range(count):
        process = run(site, _start_process(upstreams))
        _list(upstreams, process)
    return upstreams


async def _start_process(upstreams):
    process = _Process(name=f"i-{next(upstreams.numbers)}")

    async def serve(reader, writer):
        process.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await _serve(upstreams, process, reader, writer)
        process.writers.discard(writer)
        writer.close()

    process.server = await asyncio.start_server(serve, upstreams.site.host, 0)
    return process


def _list(upstreams, process):
    port = process.server.sockets[0].getsockname()[1]
    upstreams.url = f"http://{upstreams.site.host}:{port}"
    upstreams.site.upstreams[process.name] = upstreams
    list_upstream(upstreams.site, process.name, born=1_700_000_000_000, slots=48)


async def _serve(upstreams, process, reader, writer):
    while True:
        head = await reader.readuntil(END_OF_HEAD)
        length = CONTENT_LENGTH.search(head)
        body = await reader.readexactly(int(length[1])) if length else b""
        is_bad = upstreams.is_bad(head, body)
        upstreams.arrivals.append(
            Arrival(
                at_s=time.monotonic(), upstream=process.name, head=head, is_bad=is_bad
            )
        )
        await _respond(upstreams, process, writer, head, is_bad)


async def _respond(upstreams, process, writer, head, is_bad):
    if upstreams.is_stream:
        writer.write(STREAM_HEAD % read_id(head))
    if is_bad:
        await asyncio.sleep(CRASH_DELAY_S)
        await _crash(upstreams, process)
        return
    if not upstreams.is_stream:
        await asyncio.sleep(EVENTS * EVENT_PAUSE_S)
        writer.write(b"".join(answer_correctly(head)))
        return
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_PAUSE_S)
        if process.is_down:
            return
        event = b"id: %d\ndata: w%d\n\n" % (number, number)
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
    writer.write(LAST_CHUNK)


async def _crash(upstreams, process):
    if process.is_down:
        return
    process.is_down = True
    upstreams.crashes_s.append(time.monotonic())
    process.server.close()
    for writer in list(process.writers):
        writer.transport.abort()
    task = asyncio.create_task(_replace(upstreams, process))
    upstreams.tasks.add(task)
    task.add_done_callback(upstreams.tasks.discard)


async def _replace(upstreams, process):
    await asyncio.sleep(RESTART_PAUSE_S)
    successor = await _start_process(upstreams)
    # The site's helpers wait for the event loop that runs this task.
    await asyncio.to_thread(unlist_upstream, upstreams.site, process.name)
    await asyncio.to_thread(_list, upstreams, successor)


def has_part(part):
    """Return a function that tells whether a prompt contains a part, but not last."""

    def is_bad(head, body):
        found = PROMPT_LINE.search(head)
        entries = found[1].split(b",")[:-1] if found else []
        return part.encode() in [entry.partition(b":")[0] for entry in entries]

    return is_bad
