"""Upstreams of several software versions, and callers that resume their streams.

Each event tells the version of the upstream that wrote it.
"""

import asyncio
import contextlib
import http.client
import random
import re
import time
from dataclasses import dataclass, field

from features.platform.site import CALL_TIMEOUT_S, HOST, KEY, list_upstream, run
from features.platform.upstream_kinds import (
    LAST_CHUNK,
    LAST_EVENT,
    STREAM_HEAD,
    read_id,
)
from features.scripted_upstream import CONTENT_LENGTH, END_OF_HEAD, REPORT_REQUEST

STARTED_MS = 1_700_000_000_000
EVENTS = 30
EVENT_PAUSE_S = 0.03
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


@dataclass(kw_only=True)
class VersionedUpstream:
    """An upstream process of one software version.

    ``arrivals`` are the ids of the requests that reached it.
    """

    name: str
    version: str
    server: asyncio.Server | None = None
    writers: set = field(default_factory=set)
    arrivals: list[str] = field(default_factory=list)
    is_down: bool = False
    started_ms: int = STARTED_MS
    url: str = ""


def start_upstream(site, name, version, **entry):
    upstream = VersionedUpstream(name=name, version=version)
    run(site, _listen(site, upstream))
    site.upstreams[name] = upstream
    fields = {"born": STARTED_MS, "version": version, **entry}
    upstream.started_ms = fields["born"]
    list_upstream(site, name, **fields)
    return upstream


def end_upstream(site, upstream):
    """End the process; its entry stays in the list, as after a crash."""

    async def end():
        upstream.is_down = True
        upstream.server.close()
        for writer in list(upstream.writers):
            writer.transport.abort()

    run(site, end())


def replace_upstream(site, upstream, version):
    """End the process and start another one in its place, which the list doesn't show."""
    end_upstream(site, upstream)
    port = int(upstream.url.rpartition(":")[2])
    upstream.version = version
    upstream.started_ms = int(time.time() * 1000)
    upstream.is_down = False
    run(site, _listen(site, upstream, port))


async def _listen(site, upstream, port=0):
    async def serve(reader, writer):
        upstream.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await _serve(upstream, reader, writer)
        upstream.writers.discard(writer)
        writer.close()

    upstream.server = await asyncio.start_server(serve, site.host, port)
    port = upstream.server.sockets[0].getsockname()[1]
    upstream.url = f"http://{site.host}:{port}"


async def _serve(upstream, reader, writer):
    while True:
        head = await reader.readuntil(END_OF_HEAD)
        length = CONTENT_LENGTH.search(head)
        if length:
            await reader.readexactly(int(length[1]))
        if head.startswith(REPORT_REQUEST):
            writer.write(_write_report(upstream))
            continue
        upstream.arrivals.append(read_id(head).decode())
        resumed = LAST_EVENT.search(head)
        writer.write(STREAM_HEAD % read_id(head))
        for number in range(int(resumed[1]) + 1 if resumed else 1, EVENTS + 1):
            if upstream.is_down:
                return
            event = b"id: %d\ndata: %b\n\n" % (number, upstream.version.encode())
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(LAST_CHUNK)


def _write_report(upstream):
    body = b'{"busy":false,"born":%d}' % upstream.started_ms
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@dataclass(kw_only=True)
class ReadStream:
    """What a caller got of one stream, over all its requests.

    ``statuses`` has the status of each request, 0 for a connection that failed.
    """

    first_id: str = ""
    events: list[tuple[int, str]] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    retry_after: str | None = None
    is_whole: bool = False

    @property
    def versions(self):
        return {version for _, version in self.events}


def read_stream(site, stream, path, *, names_first=True):
    """Read a stream at an instance, after the last event that its caller has."""
    request_id = f"{random.getrandbits(64):016x}"
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": "8000",
        "Authorization": f"Bearer {KEY}",
    }
    if stream.events:
        headers["Last-Event-Id"] = str(stream.events[-1][0])
        if names_first:
            headers["Resumes"] = stream.first_id
    connection = http.client.HTTPConnection(site.host, 8000, timeout=CALL_TIMEOUT_S)
    try:
        connection.request("POST", path, body=b"{}", headers=headers)
        response = connection.getresponse()
        stream.statuses.append(response.status)
        stream.retry_after = response.getheader("Retry-After")
        _read_events(stream, response, request_id)
    except (OSError, http.client.HTTPException):
        stream.statuses.append(0)
    finally:
        connection.close()


def _read_events(stream, response, request_id):
    content = b""
    try:
        while chunk := response.read1():
            content += chunk
        stream.is_whole = response.status == 200
    except (OSError, http.client.HTTPException):
        stream.is_whole = False
    events = [(int(number), name.decode()) for number, name in EVENT.findall(content)]
    if events and not stream.events:
        stream.first_id = request_id
    stream.events += events
