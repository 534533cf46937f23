"""A stream without a length looks complete after the instance was killed."""

import asyncio
import signal
from pathlib import Path

from rig import CouldNotRunError, is_troubled, make_route, run_case, send
from worker import EVENTS

STREAMS = 6
KILL_AFTER_S = 1.0


async def play(rig):
    """Kill one of two instances while it passes on streams of sound workers."""
    routes = [make_route("draft", "model", "streaming")]
    rig.write_configuration(3, ["k1"], routes, ["model"])
    for number in range(5):
        await rig.add_worker(f"i-{number}", "model", "stream,open")
    instances = [
        await rig.add_instance(f"edge-{number}", "zone-a") for number in (1, 2)
    ]
    for instance in instances:
        await instance.wait_ready()
    streams = [
        asyncio.create_task(
            send(rig, instances[0], f"draft-{number}", "POST", "/draft/1", body=b"p")
        )
        for number in range(STREAMS)
    ]
    await asyncio.sleep(KILL_AFTER_S)
    if is_troubled():
        instances[0].signal(signal.SIGKILL)
    return [
        reason
        for number, stream in enumerate(streams)
        for reason in judge(f"draft-{number}", await stream)
    ]


def judge(name, answer):
    """Return how the rule MIXED was broken for one client."""
    if answer.status != 200:
        raise CouldNotRunError(f"{name} did not begin: {answer.status}")
    events = answer.body.count(b"data: ")
    if answer.end == "cut" or events == EVENTS:
        return []
    return [
        f"MIXED: {name} is a success whose channel ended regularly, without a reset, "
        f"after {events} of the {EVENTS} events of its worker"
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
