"""A stream ends as complete when its instance fails to choose another worker."""

import asyncio
import re
from pathlib import Path

from rig import CouldNotRunError, is_troubled, make_route, run_case, send
from worker import EVENTS

WORKERS = 5
WARM_UPS = 8
STREAMS = 14
# The worker that always starts its streams late, and loses the store for a while.
AWAY = 3
# Until the instance has noticed how late the streams of that worker began.
NOTICE_S = 2.5
# Three heartbeats of silence end at the first of these times; then the worker reaches
# the store again, and after it the other worker crashes.
UNLISTED_S = 0.7
CRASH_AFTER_S = 0.3
HEADERS = (
    "X-Model: m",
    "X-Token-Count: 6600,384",
    "X-Prompt-Prefix: 5c1e07a2:512,91bd3f{0:02x}:4800,e4402b{0:02x}:1288",
)


async def stream(rig, instance, name, number, path):
    """Ask for a stream; return what the client has seen."""
    headers = [each.format(number) for each in HEADERS]
    return await send(
        rig, instance, name, "POST", path, body=b"prompt", headers=headers
    )


def find_runs(rig, name):
    """Return the workers that ran a request, in order."""
    return [each[0] for each in rig.events if each[1:3] == ("runs", name)]


async def lose_workers(rig, names):
    """Let one worker lose the store for some seconds, and crash another one."""
    await asyncio.sleep(NOTICE_S)
    away = rig.workers[AWAY]
    rig.record.add("trouble", f"the entry of {away.name} goes, after silence")
    away.unlist()
    await asyncio.sleep(UNLISTED_S)
    rig.record.add("trouble", f"{away.name} reaches the store again")
    away.list()
    await asyncio.sleep(CRASH_AFTER_S)
    runs = [find_runs(rig, name) for name in names]
    victims = [
        worker for worker in rig.workers if worker is not away and [worker.name] in runs
    ]
    if [away.name] not in runs or not victims:
        raise CouldNotRunError(f"the streams are at {runs}")
    await victims[0].kill()


async def play(rig):
    """Stream to several clients while two workers are in trouble."""
    route = make_route("report", "model", "streaming", resume=True, attempts=2)
    rig.write_configuration(3, ["k1"], [route], ["model"])
    for number in range(WORKERS):
        mode = "stream,paced,late" if number == AWAY else "stream,paced"
        await rig.add_worker(f"i-{number}", "model", mode)
    instance = await rig.add_instance("edge-1", "zone-a")
    await instance.wait_ready()
    await asyncio.gather(
        *(
            stream(rig, instance, f"warm-{number}", 50 + number, "/report/warm-up")
            for number in range(WARM_UPS)
        )
    )
    names = [f"report-{number}" for number in range(STREAMS)]
    streams = asyncio.gather(
        *(
            stream(rig, instance, name, number, f"/report/{number}")
            for number, name in enumerate(names)
        )
    )
    if is_troubled():
        await lose_workers(rig, names)
    return judge(rig, dict(zip(names, await streams, strict=True)))


def judge(rig, answers):
    """Return how the rule ORDER was broken."""
    reasons = []
    for name, answer in answers.items():
        if answer.status != 200:
            raise CouldNotRunError(f"{name} got {answer.status}")
        found = re.findall(rb"^id: (\d+)$", answer.body, re.MULTILINE)
        if answer.end == "whole" and len(found) < EVENTS:
            reasons.append(
                f"ORDER: {name} ended as complete (last chunk) after event "
                f"{len(found)} of {EVENTS}; it ran at {find_runs(rig, name)} only"
            )
    return reasons


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
