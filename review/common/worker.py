"""A worker that speaks the platform's protocol: ``worker.py ID PORT MODE``.

It writes a line for each request that it runs and for the end of each run. MODE is a
list of words joined by commas:

``stream``        answers with 40 events, 0.1 s apart, and resumes at ``Last-Event-Id``
``open``          no answer has a length
``paced``         tells how long work takes, as the fourth figure of its load
``late``          begins each of its streams later than the others do
``quick``         answers with 16 events, 0.05 s apart, and doesn't record them
``resets``        each 20th answer is broken off after half of its body, by a reset
"""

import asyncio
import itertools
import socket
import struct
import sys

EVENTS = 40
EVENT_PAUSE_S = 0.1
WORK_S = 0.09
WARM_UP_PATH = "/warm-up"
WARM_UP_EVENTS = 2
LATE_S = 0.3
QUICK_PAUSE_S = 0.05
QUICK_EVENTS = 16
SLOTS = 12
BODY_BYTES = 800
RESET_EACH = 20
# A socket that is closed with this value of SO_LINGER resets its channel.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def say(*words):
    """Write a line of the record."""
    print(*words, flush=True)


async def read_request(reader):
    """Return the request line, the headers and the body of the next request."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def break_off(writer, content):
    """Send a part of an answer and reset the channel.

    :param writer: The channel.
    :param content: The part.
    """
    writer.write(content)
    channel = writer.get_extra_info("socket")
    channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Worker:
    """The behaviour of one worker."""

    def __init__(self, name, modes):
        self.name = name
        self.modes = modes
        self.numbers = itertools.count(1)
        self.running = 0

    async def serve(self, reader, writer):
        """Serve one channel."""
        try:
            while await self.serve_request(reader, writer):
                pass
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def serve_request(self, reader, writer):
        """Serve one request; return whether the channel is kept."""
        first, headers, _ = await read_request(reader)
        request_id = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", self.name)
        if expected != self.name:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                b"X-Attempt-Id: %b\r\nX-Instance-Id: %b\r\n\r\n"
                % (request_id.encode(), self.name.encode())
            )
            return True
        after = int(headers.get("last-event-id") or 0)
        path = first.split()[1]
        say("runs", request_id, path, f"after={after}")
        self.running += 1
        try:
            return await self.answer(writer, request_id, after, path)
        finally:
            self.running -= 1
            say("ended", request_id)

    def describe_load(self):
        """Return the header with the running and waiting requests and the slots."""
        pace = ",100" if "paced" in self.modes else ""
        return f"X-Instance-Load: {self.running},0,{SLOTS}{pace}"

    async def answer(self, writer, request_id, after, path):
        """Send the answer; return whether the channel is kept."""
        is_open = "open" in self.modes
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {request_id}",
            f"X-Instance-Id: {self.name}",
            "X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1",
            self.describe_load(),
        ]
        if is_open:
            lines.append("Connection: close")
        if "stream" in self.modes:
            await self.send_stream(writer, lines, request_id, after, path, is_open)
        elif not await self.send_body(writer, lines, request_id, is_open):
            return False
        return not is_open

    async def send_body(self, writer, lines, request_id, is_open):
        """Send a whole answer; return whether it was not broken off."""
        await asyncio.sleep(WORK_S)
        body = f"{self.name} {request_id} ".encode().ljust(BODY_BYTES, b".")
        if not is_open:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        if "resets" in self.modes and next(self.numbers) % RESET_EACH == 0:
            say("resets", request_id)
            break_off(writer, head + body[: BODY_BYTES // 2])
            return False
        writer.write(head + body)
        await writer.drain()
        return True

    async def send_stream(self, writer, lines, request_id, after, path, is_open):
        """Send the events of a stream after a given one."""
        is_quick = "quick" in self.modes
        last = QUICK_EVENTS if is_quick else EVENTS
        if path.endswith(WARM_UP_PATH):
            last = WARM_UP_EVENTS
        lines.append("Content-Type: text/event-stream")
        if not is_open:
            lines.append("Transfer-Encoding: chunked")
        if "late" in self.modes:
            await asyncio.sleep(LATE_S)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(after + 1, last + 1):
            await asyncio.sleep(QUICK_PAUSE_S if is_quick else EVENT_PAUSE_S)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(event if is_open else b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if not is_quick:
                say("made", request_id, f"event={number}")
        if not is_open:
            writer.write(b"0\r\n\r\n")
            await writer.drain()


async def main():
    """Serve until the process is killed."""
    name, port, modes = sys.argv[1:4]
    worker = Worker(name, modes.split(","))
    server = await asyncio.start_server(worker.serve, "127.0.0.1", int(port))
    say("listening")
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
