"""A failure that answers the rest of a broken stream makes the stream look complete."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent / "common-2"), str(FOLDER.parents[1])]

from harness import TROUBLE, Client, configuration, route, run  # noqa: E402

KEY = "key-agents-1"
SERVERS = 6
EVENTS, PAUSE_S = 36, 0.05
STREAMS_PER_S, PLAY_S = 80, 14.0
# One server at a time crashes, in seconds after the first request, and is away so long.
CRASHES_S, AWAY_S = (4.0, 9.0), 3.0
# Each server fails each seventh of its requests by itself, calm or not.
FAILS_EACH = 7
WAIT_S = 10.0
MOST = 0


class Case:
    """The state of one play."""

    def __init__(self, site):
        self.site = site
        self.machine = None
        self.counts = Counter()
        self.ends = Counter()
        self.false = []
        self.begun_s = 0.0
        self.writers = {}

    async def crash(self):
        """Crash one server after the other; each comes back with a new id."""
        for number, at_s in enumerate(CRASHES_S):
            await asyncio.sleep(max(0.0, self.begun_s + at_s - time.monotonic()))
            server = self.site.servers[number]
            self.site.note("crashes", server.name)
            server.listener.close()
            for writer in self.writers.pop(server.name, ()):
                writer.transport.abort()
            await asyncio.sleep(AWAY_S)
            self.site.unpublish(server)
            server.name = f"{server.name}-again"
            server.born = int(time.time() * 1000)
            await server.open()
            self.site.publish(server)

    async def serve(self, server, request, reader, writer):
        """Send a stream, or the rest of it; fail or break it off at times."""
        self.writers.setdefault(server.name, set()).add(writer)
        self.counts[server.name] += 1
        number = self.counts[server.name]
        first = int(request.headers.get("last-event-id", "-1")) + 1
        is_failing = number % FAILS_EACH == 0
        self.site.note(
            "runs", request.id, "at", server.name, "from", first, f"fails={is_failing}"
        )
        head = f"X-Attempt-Id: {request.id}\r\nX-Response-Signature: s-{request.id}\r\n"
        head += "Content-Type: text/event-stream\r\n"
        if is_failing:
            failure = f"HTTP/1.1 500 Failure\r\n{head}Content-Length: 0\r\n\r\n"
            writer.write(failure.encode())
            await writer.drain()
            return True
        head = f"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for piece in range(first, EVENTS):
            event = f"id: {piece}\ndata: {piece}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def open(self):
        """Start the servers and the machine."""
        site = self.site
        await site.open_store()
        for number in range(SERVERS):
            server = site.add_server(f"i-{number}", "jn-models", self.serve)
            await server.open()
            site.publish(server)
        fields = {"stream-resume": True, "max-attempts": 2}
        routes = [route("tech-query", "streaming", "jn-models", **fields)]
        site.configure(configuration(1, routes, {"agents": [KEY]}))
        self.machine = site.add_machine()
        await self.machine.start()
        await self.machine.wait_ready()

    async def ask(self, number):
        """Ask for a stream, and look for pieces that it lacks."""
        request_id = f"r-{number}"
        headers = (
            "X-Model: m",
            "X-Token-Count: 628,280",
            f"X-Prompt-Prefix: 5c1e07a2:119,{number:x}aa:79,{number:x}bb:430",
        )
        answer = await Client(self.machine.address).ask(
            "/tech-query/x", request_id, KEY, wait_s=WAIT_S, body=b"{}", headers=headers
        )
        pieces = answer.body.count(b"\ndata: ")
        is_whole = pieces == EVENTS
        self.ends[answer.status, answer.end, f"whole={is_whole}"] += 1
        if answer.status == 200 and answer.end == "complete" and not is_whole:
            self.false.append(request_id)
            self.site.note(request_id, f"complete with {pieces} of {EVENTS} pieces")


async def play(site):
    """Return whether a stream ended as complete before its last piece."""
    case = Case(site)
    await case.open()
    case.begun_s = time.monotonic()
    tasks = [asyncio.create_task(case.crash())] if TROUBLE else []
    for number in range(int(PLAY_S * STREAMS_PER_S)):
        tasks.append(asyncio.create_task(case.ask(number)))
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*tasks)
    site.note("answers", dict(case.ends))
    site.note(f"{len(case.false)} streams look complete and are not:", *case.false)
    return len(case.false) > MOST


run(FOLDER, play)
