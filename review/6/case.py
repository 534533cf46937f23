"""A part that crashes servers makes sound requests with the same first part refused."""

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent / "common-2"), str(FOLDER.parents[1])]

from harness import TROUBLE, Client, configuration, route, run  # noqa: E402

KEY = "key-agents-1"
FIRST_PART = "5c1e07a2"
BAD_PART = "b4d0b4d0"
SERVERS = 9
FIRST_EVENT_S, EVENTS, PAUSE_S = 1.0, 10, 0.1
AWAY_S = 3.0
CONTACT_S = 3.0
GROUP, GROUP_S, GROUPS = 4, 3.0, 6
BAD, BAD_GAP_S = 10, 0.12
WAIT_S = 8.0


class Case:
    """The state of one play."""

    def __init__(self, site):
        self.site = site
        self.machines = []
        self.began = set()
        self.writers = {}
        self.crashes = []
        self.sent = Counter()
        self.tasks = []

    async def serve(self, server, request, reader, writer):
        """Answer a prompt as a server, or crash on the bad part."""
        writers = self.writers.setdefault(server.name, set())
        writers.add(writer)
        await asyncio.sleep(FIRST_EVENT_S)
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.id}\r\n"
            "X-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        await writer.drain()
        self.began.add(request.id)
        if TROUBLE and BAD_PART in request.headers.get("x-prompt-prefix", ""):
            # The head has left; the process ends before the first event.
            await asyncio.sleep(0.02)
            self.tasks.append(asyncio.create_task(self.crash(server)))
            return False
        for number in range(EVENTS):
            event = f"id: {number}\ndata: {'x' * 60}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def crash(self, server):
        """End a server with all that it runs; it is back after some seconds."""
        if server.listener is None:
            return
        server.listener.close()
        server.listener = None
        self.crashes.append(time.monotonic())
        self.site.note("crashed", server.name)
        for writer in self.writers.pop(server.name, ()):
            writer.transport.abort()
        await asyncio.sleep(AWAY_S)
        server.born = int(time.time() * 1000)
        await server.open()
        self.site.publish(server, sequence=2)

    async def open(self):
        """Start the servers and two machines."""
        site = self.site
        await site.open_store()
        for number in range(SERVERS):
            server = site.add_server(f"i-{number}", "jn-models", self.serve)
            await server.open()
            site.publish(server)
        aim = {"target-latency-ms": 1500}
        routes = [route("fault-history", "streaming", "jn-models", **aim)]
        site.configure(configuration(1, routes, {"agents": [KEY]}))
        for _ in range(2):
            machine = site.add_machine()
            self.machines.append(machine)
            await machine.start()
        for machine in self.machines:
            await machine.wait_ready()

    async def ask(self, phase, machine, *, is_bad):
        """Send one prompt; no two are alike."""
        self.sent[phase, is_bad] += 1
        number = self.sent[phase, is_bad]
        name = f"{phase}-{'bad' if is_bad else 'sound'}-{number}"
        parts = [f"{FIRST_PART}:512"]
        parts += [f"{BAD_PART}:4870"] if is_bad else [f"{number:x}a:4870"]
        parts.append(f"{number:x}{'b' if is_bad else 'c'}{len(phase)}:1200")
        headers = [
            "X-Model: m",
            "X-Token-Count: 6582,100",
            f"X-Prompt-Prefix: {','.join(parts)}",
        ]
        answer = await Client(machine.address).ask(
            "/fault-history/x",
            name,
            KEY,
            wait_s=WAIT_S,
            body=name.encode(),
            headers=headers,
        )
        self.site.note(name, machine.name, answer.status, answer.end, answer.body[:48])

    def send(self, phase, machine, *, is_bad=False):
        """Send one prompt without waiting for its answer."""
        task = asyncio.create_task(self.ask(phase, machine, is_bad=is_bad))
        self.tasks.append(task)

    async def send_groups(self, phase, *, with_bad):
        """Send groups of sound prompts, half of them to each machine."""
        for _ in range(GROUPS):
            for number in range(GROUP):
                self.send(phase, self.machines[number % 2])
            if with_bad:
                self.send(phase, self.machines[0], is_bad=True)
            await asyncio.sleep(GROUP_S)

    def count_begun(self, phase):
        """Return how many sound prompts of a phase have begun at their first try."""
        return sum(each.startswith(f"{phase}-sound-") for each in self.began)


async def play(site):
    """Return whether sound prompts begin less than half as often as before."""
    case = Case(site)
    await case.open()
    await case.send_groups("before", with_bad=False)
    site.note("SIGTERM to", case.machines[0].name)
    case.machines[0].signal(signal.SIGTERM)
    await case.machines[0].process.wait()
    await case.machines[0].start()
    await case.machines[0].wait_ready()
    site.note("back", case.machines[0].name)
    for _ in range(BAD):
        case.send("crash", case.machines[0], is_bad=True)
        await asyncio.sleep(BAD_GAP_S)
    await asyncio.sleep(2 * CONTACT_S + FIRST_EVENT_S)
    if TROUBLE:
        judged_from_s = case.crashes[:5][-1] + 2 * CONTACT_S
        await asyncio.sleep(max(0.0, judged_from_s - time.monotonic()))
    await case.send_groups("after", with_bad=True)
    await asyncio.gather(*case.tasks)
    before, after = case.count_begun("before"), case.count_begun("after")
    sent = GROUP * GROUPS
    site.note(f"{len(case.crashes)} crashes")
    site.note(
        f"sound prompts begun: before {before} of {sent}, after {after} of {sent}"
    )
    return after < before / 2


run(FOLDER, play)
