"""Paths from single instances to upstreams, which can be cut for some of them.

Each instance has a store of its own, whose list names relays in place of the upstreams.
The stores share their objects.
"""

import asyncio
import contextlib
import socket
from dataclasses import dataclass, field

from aiohttp import web

from features.platform.site import list_upstream
from features.platform.upstream_kinds import (
    LAST_CHUNK,
    LAST_EVENT,
    STREAM_HEAD,
    read_id,
)
from features.scripted_upstream import (
    CONTENT_LENGTH,
    END_OF_HEAD,
    REPORT,
    REPORT_REQUEST,
    RESET_ON_CLOSE,
)
from standins.store import StoreState, build_store_app

BACKLOG_FILL = 4
WORK_S = 0.03
EVENTS = 5
MANY_EVENTS = 40
EVENTS_BY_BODY = {b"long": 100, b"many events": MANY_EVENTS}
CHUNK_BYTES = 65536
LONG_BODY_BYTES = 50_000
TURNED_AWAY = (
    b"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: %b\r\nContent-Length: 0\r\n\r\n"
)


@dataclass(kw_only=True)
class RecordingUpstream:
    """An upstream that records the requests it ran.

    ``ran`` has the ids, and ``left`` the ids whose connection closed before the end.
    With ``is_unframed`` its responses have no length; it resets the connection of one
    whose request has the body ``reset``, after the second event or part. With
    ``turns_away`` it runs no request, and answers as another process than the one expected.
    With ``early_answer`` it sends that, a format of the request's id, as soon as it has
    the head of a long request, and resets the connection.
    """

    name: str
    service: str = "plain"
    ran: list[str] = field(default_factory=list)
    left: list[str] = field(default_factory=list)
    tenants: set[str] = field(default_factory=set)
    heads: list[bytes] = field(default_factory=list)
    server: asyncio.Server | None = None
    port: int = 0
    is_unframed: bool = False
    turns_away: bool = False
    early_answer: bytes = b""


async def start_recording_upstream(host, upstream):
    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await _serve(upstream, reader, writer)
        writer.close()

    upstream.server = await asyncio.start_server(serve, host, upstream.port)
    upstream.port = upstream.server.sockets[0].getsockname()[1]


async def _serve(upstream, reader, writer):
    while True:
        head = await reader.readuntil(END_OF_HEAD)
        length = CONTENT_LENGTH.search(head)
        if upstream.early_answer and length and int(length[1]) >= LONG_BODY_BYTES:
            upstream.ran.append(read_id(head).decode())
            await _answer_early(upstream, head, writer)
            return
        body = await reader.readexactly(int(length[1])) if length else b""
        if head.startswith(REPORT_REQUEST):
            writer.write(REPORT)
            continue
        request_id = read_id(head).decode()
        if upstream.turns_away:
            upstream.heads.append(head)
            writer.write(TURNED_AWAY % read_id(head))
            continue
        upstream.ran.append(request_id)
        upstream.heads.append(head)
        if upstream.is_unframed:
            await _write_unframed(head, writer, body)
            return
        if b"/resume/" in head.split(b"\r\n", 1)[0]:
            await _write_stream(upstream, head, request_id, writer, body)
            continue
        await asyncio.sleep(WORK_S)
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s.1\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (read_id(head), len(body), body)
        )


async def _write_unframed(head, writer, body):
    is_stream = b"/stream/" in head.split(b"\r\n", 1)[0]
    kind = b"text/event-stream" if is_stream else b"text/plain"
    writer.write(
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s.1\r\n"
        b"Content-Type: %b\r\nConnection: close\r\n\r\n" % (read_id(head), kind)
    )
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(WORK_S)
        writer.write(b"id: %d\ndata: w%d\n\n" % (number, number))
        await writer.drain()
        if body == b"reset" and number == 2:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return


async def _answer_early(upstream, head, writer):
    writer.write(upstream.early_answer % read_id(head))
    await writer.drain()
    await asyncio.sleep(WORK_S)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


async def _write_stream(upstream, head, request_id, writer, body):
    writer.write(STREAM_HEAD % read_id(head))
    events = EVENTS_BY_BODY.get(body, EVENTS)
    after = LAST_EVENT.search(head)
    for number in range(int(after[1]) + 1 if after else 1, events + 1):
        await asyncio.sleep(WORK_S)
        if writer.transport.is_closing():
            upstream.left.append(request_id)
            raise ConnectionError
        event = b"id: %d\ndata: w\n\n" % number
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        with contextlib.suppress(ConnectionError):
            await writer.drain()
    writer.write(LAST_CHUNK)


@dataclass(kw_only=True)
class Path:
    """The relay between one instance and one upstream.

    A cut ``hangs``: bytes stop and new connections are not established; ``resets``: all
    connections are reset and new ones refused; or ``refuses``: only new ones are refused.
    """

    host: str
    target: tuple[str, int]
    port: int = 0
    server: asyncio.Server | None = None
    is_open: asyncio.Event = field(default_factory=asyncio.Event)
    writers: set = field(default_factory=set)
    fillers: list = field(default_factory=list)
    accepted: int = 0


async def open_path(path):
    async def relay(reader, writer):
        path.accepted += 1
        try:
            other_reader, other_writer = await asyncio.open_connection(*path.target)
        except OSError:
            writer.transport.abort()
            return
        path.writers |= {writer, other_writer}
        await asyncio.gather(
            _copy(path, reader, other_writer), _copy(path, other_reader, writer)
        )
        path.writers -= {writer, other_writer}

    path.is_open.set()
    for filler in path.fillers:
        filler.close()
    path.fillers.clear()
    path.server = await asyncio.start_server(relay, path.host, path.port)
    path.port = path.server.sockets[0].getsockname()[1]


async def _copy(path, reader, writer):
    try:
        while content := await reader.read(CHUNK_BYTES):
            await path.is_open.wait()
            writer.write(content)
            await writer.drain()
    except ConnectionError:
        # A reset is passed on as a reset.
        connection = writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.close()


async def cut_path(path, how):
    path.server.close()
    if how == "resets":
        for writer in list(path.writers):
            writer.transport.abort()
    if how == "hangs":
        path.is_open.clear()
        path.fillers = _fill_backlog(path.host, path.port)


def _fill_backlog(host, port):
    """Listen without accepting, so that further connections are not established."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(0)
    sockets = [listener]
    for _ in range(BACKLOG_FILL):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((host, port))
        sockets.append(filler)
    return sockets


async def start_own_store(view):
    """Give an instance a store of its own, which shares the objects of the site's."""
    view.state = StoreState(objects=view.state.objects)
    runner = web.AppRunner(build_store_app(view.state), shutdown_timeout=0.1)
    await runner.setup()
    listener = web.TCPSite(runner, view.host, 0)
    await listener.start()
    view.store_port = listener._server.sockets[0].getsockname()[1]
    view.resources.append(runner)


@dataclass(frozen=True, kw_only=True)
class ListedPath:
    """An upstream as the list of one instance names it."""

    url: str


def list_path(view, upstream, path):
    view.upstreams[upstream.name] = ListedPath(url=f"http://{path.host}:{path.port}")
    list_upstream(
        view, upstream.name, service=upstream.service, born=1_700_000_000_000, slots=48
    )


def count_runs(upstreams):
    """Count how often each request ran."""
    runs = {}
    for upstream in upstreams:
        for request_id in upstream.ran:
            runs[request_id] = runs.get(request_id, 0) + 1
    return runs
