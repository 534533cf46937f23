"""An upstream in a process of its own, which can be stopped by a signal.

It writes a line with the id of each request that arrives to its journal, and its port
to standard output. Beside the journal it writes when it holds a run: the id, the
monotonic time of the begin in seconds, and that of the end. Like most upstreams it ends a
run when the connection is closed.
"""

import asyncio
import contextlib
import re
import sys
import time

from features.scripted_upstream import REPORT, REPORT_REQUEST

END_OF_HEAD = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
REQUEST_ID = re.compile(rb"x-attempt-id: *(\S+)", re.IGNORECASE)
LAST_EVENT = re.compile(rb"last-event-id: *(\d+)", re.IGNORECASE)
EVENTS = 20
EVENT_INTERVAL_S = 0.1
WORK_S = 0.03
RUNS_SUFFIX = ".runs"
# With this argument the process is sound, but sends no event of any stream.
HOLDS_STREAMS = "holds-streams"


async def serve(journal, runs, reader, writer):
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            head = await reader.readuntil(END_OF_HEAD)
            length = CONTENT_LENGTH.search(head)
            await reader.readexactly(int(length[1]) if length else 0)
            if head.startswith(REPORT_REQUEST):
                writer.write(REPORT)
                continue
            request_id = REQUEST_ID.search(head)[1]
            journal.write(request_id.decode() + "\n")
            begin_s = time.monotonic()
            try:
                if not await run_while_open(head, request_id, reader, writer):
                    break
            finally:
                end_s = time.monotonic()
                runs.write(f"{request_id.decode()} {begin_s} {end_s}\n")
    writer.close()


async def run_while_open(head, request_id, reader, writer):
    """Answer a request; return whether its connection is still open."""
    work = asyncio.create_task(answer(head, request_id, writer))
    closed = asyncio.create_task(reader.read(1))
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


async def answer(head, request_id, writer):
    writer.write(
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s.1\r\n"
        % request_id
    )
    if b"/resume/" not in head.split(b"\r\n", 1)[0]:
        await asyncio.sleep(WORK_S)
        writer.write(b"Content-Length: 4\r\n\r\ndone")
        return
    writer.write(
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    if HOLDS_STREAMS in sys.argv:
        await writer.drain()
        await asyncio.Event().wait()
    after = LAST_EVENT.search(head)
    for number in range(int(after[1]) + 1 if after else 1, EVENTS + 1):
        event = b"id: %d\ndata: w%d\n\n" % (number, number)
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
    writer.write(b"0\r\n\r\n")


async def main(host, journal_path):
    with (
        open(journal_path, "a", buffering=1) as journal,
        open(journal_path + RUNS_SUFFIX, "a", buffering=1) as runs,
    ):
        server = await asyncio.start_server(
            lambda reader, writer: serve(journal, runs, reader, writer), host, 0
        )
        print(server.sockets[0].getsockname()[1], flush=True)
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:3]))
