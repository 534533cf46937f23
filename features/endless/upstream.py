"""Bytes without an end, and an upstream in a process of its own that sends them.

Its arguments are an address and a name in ``ENDLESS``; without a name it answers each
request with ``done``. It writes its port to standard output.
"""

import asyncio
import contextlib
import re
import sys

END_OF_HEAD = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
REQUEST_ID = re.compile(rb"x-attempt-id: *(\S+)", re.IGNORECASE)
PART = b"x" * 262144
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s.1\r\n"
    b"Content-Type: %b\r\n"
)
UNFRAMED_STREAM = HEAD % (b"%b", b"text/event-stream") + b"\r\n"
SOME_LINES = b"".join(b"X-Line-%d: y\r\n" % number for number in range(2000))
ENDLESS = {
    "a head": (b"HTTP/1.1 200 OK\r\n", SOME_LINES),
    "an informational head": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000),
    "a header line": (b"HTTP/1.1 200 OK\r\nX-Line: ", PART),
    "a body": (HEAD % (b"%b", b"text/plain") + b"\r\n", PART),
    "a chunked body": (
        HEAD % (b"%b", b"text/plain") + b"Transfer-Encoding: chunked\r\n\r\n",
        b"40000\r\n" + PART + b"\r\n",
    ),
    "a chunk's size": (
        HEAD % (b"%b", b"text/plain") + b"Transfer-Encoding: chunked\r\n\r\n",
        b"0" * len(PART),
    ),
    "a chunk's extension": (
        HEAD % (b"%b", b"text/plain") + b"Transfer-Encoding: chunked\r\n\r\n4;",
        PART,
    ),
    "trailers": (
        HEAD % (b"%b", b"text/plain") + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        SOME_LINES,
    ),
    "bytes after a whole response": (
        HEAD % (b"%b", b"text/plain") + b"Content-Length: 4\r\n\r\ndone",
        PART,
    ),
    "an event": (UNFRAMED_STREAM + b"id: 1\ndata: ", PART),
    "an event in a chunked stream": (
        HEAD % (b"%b", b"text/event-stream") + b"Transfer-Encoding: chunked\r\n\r\n",
        b"40000\r\n" + PART + b"\r\n",
    ),
}


async def serve(what, reader, writer):
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            head = await reader.readuntil(END_OF_HEAD)
            length = CONTENT_LENGTH.search(head)
            await reader.readexactly(int(length[1]) if length else 0)
            found = REQUEST_ID.search(head)
            await answer(what, found[1] if found else b"none", writer)
    writer.close()


async def answer(what, request_id, writer):
    if not what:
        writer.write(HEAD % (request_id, b"text/plain"))
        writer.write(b"Content-Length: 4\r\n\r\ndone")
        return
    start, part = ENDLESS[what]
    writer.write(start.replace(b"%b", request_id))
    while True:
        writer.write(part)
        await writer.drain()


async def main(host, what=""):
    server = await asyncio.start_server(
        lambda reader, writer: serve(what, reader, writer), host, 0
    )
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
