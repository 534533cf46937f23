"""An upstream in a process of its own, which can be stopped by a signal.

It writes a line with the id of each request that arrives to its journal, and its port
to standard output. Beside the journal it writes when it holds a run: the id, the
monotonic time of the begin in seconds, and that of the end. Like most upstreams it ends a
run when the connection is closed. Refused requests are in neither file, but in a third one;
a fourth one has the ids of the responses that were sent once more.
"""

import asyncio
import contextlib
import random
import re
import socket
import sys
import time
from dataclasses import dataclass, field
from typing import TextIO

from features.scripted_upstream import REPORT, REPORT_REQUEST, RESET_ON_CLOSE

END_OF_HEAD = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
REQUEST_ID = re.compile(rb"x-attempt-id: *(\S+)", re.IGNORECASE)
LAST_EVENT = re.compile(rb"last-event-id: *(\d+)", re.IGNORECASE)
EVENTS = 20
EVENT_INTERVAL_S = 0.1
WORK_S = 0.03
RUNS_SUFFIX = ".runs"
REFUSED_SUFFIX = ".refused"
COPIES_SUFFIX = ".copies"
# With this argument the process is sound, but sends no event of any stream.
HOLDS_STREAMS = "holds-streams"
# With this argument the process refuses some requests that may run once and some
# streams, and sends each refusal and some answers once more, later.
COPIES_RESPONSES = "copies-responses"
# With this argument the process answers some requests with a status that HTTP doesn't
# have, or with a part of an answer before it has read them.
ANSWERS_ODDLY = "answers-oddly"
ODD_RATIO = 0.15
INVALID_STATUSES = (b"000 None", b"099 None", b"101 Other", b"600 High")
STREAM_PATHS = re.compile(rb"POST /(stream|resume)/")
REFUSED_PATHS = re.compile(rb"POST /(send|stream|resume)/")
REFUSED_RATIO = 0.3
COPIED_ANSWER_RATIO = 0.2
MAX_COPY_DELAY_S = 0.4
# An answer that begins later lets a copy come before it.
MAX_BEGIN_DELAY_S = 0.2


@dataclass(kw_only=True)
class Journal:
    """The files of what arrived and ran, when it ran, was refused, and was copied."""

    arrivals: TextIO
    runs: TextIO
    refused: TextIO
    copies: TextIO


@dataclass(kw_only=True)
class Connection:
    """A connection; its lock is held from a response's first byte to its last."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    response: bytearray = field(default_factory=bytearray)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    copies: set[asyncio.Task] = field(default_factory=set)


async def serve(journal, reader, writer):
    connection = Connection(reader=reader, writer=writer)
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            head = await reader.readuntil(END_OF_HEAD)
            if is_odd(head):
                await answer_oddly(journal, head, writer)
                break
            length = CONTENT_LENGTH.search(head)
            await reader.readexactly(int(length[1]) if length else 0)
            if head.startswith(REPORT_REQUEST):
                writer.write(REPORT)
                continue
            request_id = REQUEST_ID.search(head)[1]
            if is_refused(head):
                await refuse(journal, request_id, connection)
                continue
            if not await run_and_record(journal, head, request_id, connection):
                break
    writer.close()


def is_odd(head):
    if ANSWERS_ODDLY not in sys.argv or head.startswith(REPORT_REQUEST):
        return False
    return random.random() < ODD_RATIO


async def answer_oddly(journal, head, writer):
    """Begin a run, and end its connection after what is no whole answer."""
    request_id = REQUEST_ID.search(head)[1]
    journal.arrivals.write(request_id.decode() + "\n")
    begin_s = time.monotonic()
    status = random.choice((b"200 OK", *INVALID_STATUSES))
    kind = b"text/event-stream" if STREAM_PATHS.match(head) else b"text/plain"
    writer.write(
        b"HTTP/1.1 %b\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s.1\r\n"
        b"Content-Type: %b\r\n\r\n" % (status, request_id, kind)
    )
    writer.write(b"id: 1\ndata: w1\n\n")
    await asyncio.sleep(random.uniform(0.0, WORK_S))
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
    end_s = time.monotonic()
    journal.runs.write(f"{request_id.decode()} {begin_s} {end_s}\n")


def is_refused(head):
    if COPIES_RESPONSES not in sys.argv or not REFUSED_PATHS.match(head):
        return False
    return random.random() < REFUSED_RATIO


async def refuse(journal, request_id, connection):
    journal.refused.write(request_id.decode() + "\n")
    async with begin_response(connection):
        write(
            connection,
            b"HTTP/1.1 503 Busy\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s.1\r\n"
            b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" % request_id,
        )
    send_later(journal, request_id, connection)


async def run_and_record(journal, head, request_id, connection):
    """Run a request; return whether its connection is still open."""
    journal.arrivals.write(request_id.decode() + "\n")
    begin_s = time.monotonic()
    try:
        return await run_while_open(journal, head, request_id, connection)
    finally:
        end_s = time.monotonic()
        journal.runs.write(f"{request_id.decode()} {begin_s} {end_s}\n")


async def run_while_open(journal, head, request_id, connection):
    """Answer a request; return whether its connection is still open."""
    work = asyncio.create_task(answer(journal, head, request_id, connection))
    closed = asyncio.create_task(connection.reader.read(1))
    try:
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        if closed.done():
            return False
        await work
        return True
    finally:
        closed.cancel()
        work.cancel()
        await asyncio.gather(work, closed, return_exceptions=True)


async def answer(journal, head, request_id, connection):
    if COPIES_RESPONSES in sys.argv:
        await asyncio.sleep(random.uniform(0.0, MAX_BEGIN_DELAY_S))
    async with begin_response(connection):
        await write_answer(head, request_id, connection)
    if COPIES_RESPONSES in sys.argv and random.random() < COPIED_ANSWER_RATIO:
        send_later(journal, request_id, connection)


@contextlib.asynccontextmanager
async def begin_response(connection):
    async with connection.lock:
        connection.response.clear()
        yield


def write(connection, data):
    connection.response += data
    connection.writer.write(data)


def send_later(journal, request_id, connection):
    """Send the last response once more, but not amid another one."""
    response = bytes(connection.response)
    copy = asyncio.create_task(send_copy(journal, request_id, connection, response))
    connection.copies.add(copy)
    copy.add_done_callback(connection.copies.discard)


async def send_copy(journal, request_id, connection, response):
    await asyncio.sleep(random.uniform(0.0, MAX_COPY_DELAY_S))
    async with connection.lock:
        if not connection.writer.is_closing():
            connection.writer.write(response)
            journal.copies.write(request_id.decode() + "\n")


async def write_answer(head, request_id, connection):
    write(
        connection,
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s.1\r\n"
        % request_id,
    )
    if not STREAM_PATHS.match(head):
        await asyncio.sleep(WORK_S)
        write(connection, b"Content-Length: 4\r\n\r\ndone")
        return
    write(
        connection,
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    )
    if HOLDS_STREAMS in sys.argv:
        await connection.writer.drain()
        await asyncio.Event().wait()
    after = LAST_EVENT.search(head)
    for number in range(int(after[1]) + 1 if after else 1, EVENTS + 1):
        event = b"id: %d\ndata: w%d\n\n" % (number, number)
        write(connection, b"%x\r\n%b\r\n" % (len(event), event))
        await connection.writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
    write(connection, b"0\r\n\r\n")


def open_journal(stack, path):
    def open_lines(suffix):
        return stack.enter_context(open(path + suffix, "a", buffering=1))

    return Journal(
        arrivals=open_lines(""),
        runs=open_lines(RUNS_SUFFIX),
        refused=open_lines(REFUSED_SUFFIX),
        copies=open_lines(COPIES_SUFFIX),
    )


async def main(host, journal_path):
    with contextlib.ExitStack() as stack:
        journal = open_journal(stack, journal_path)
        server = await asyncio.start_server(
            lambda reader, writer: serve(journal, reader, writer), host, 0
        )
        print(server.sockets[0].getsockname()[1], flush=True)
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:3]))
