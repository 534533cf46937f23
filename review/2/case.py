"""An answer without a length that is reset on the way passes as a whole one."""

import asyncio
import time
from pathlib import Path

from rig import CouldNotRunError, is_troubled, make_route, run_case, send
from worker import BODY_BYTES

WORKERS = 5
# Of five workers; largest dose on the site: 0.6.
FAULTY_WORKERS = 3
CLIENTS = 20
# The site's disturbances of this kind last 5.0 to 5.5 s.
TROUBLE_S = 5.0


async def play(rig):
    """Send requests while some workers break off a few of their answers."""
    routes = [make_route("submit", "returns", "non_idempotent", timeout_ms=3000)]
    rig.write_configuration(3, ["k1"], routes, ["returns"])
    for number in range(WORKERS):
        is_faulty = is_troubled() and number < FAULTY_WORKERS
        mode = "open,resets" if is_faulty else "open"
        await rig.add_worker(f"i-{number}", "returns", mode)
    instances = [
        await rig.add_instance(f"edge-{number}", "zone-a") for number in (1, 2)
    ]
    for instance in instances:
        await instance.wait_ready()
    answers = {}
    end_s = time.monotonic() + TROUBLE_S

    async def submit(client):
        number = 0
        while time.monotonic() < end_s:
            number += 1
            name = f"submit-{client}-{number}"
            instance = instances[client % len(instances)]
            answers[name] = await send(
                rig, instance, name, "POST", "/submit/1", body=b"r", deadline_ms=3000
            )

    await asyncio.gather(*(submit(client) for client in range(CLIENTS)))
    return judge(rig, answers)


def judge(rig, answers):
    """Return how the rule MIXED was broken."""
    if not any(answer.status == 200 for answer in answers.values()):
        raise CouldNotRunError("nothing was served")
    broken_off = {each[2] for each in rig.events if each[1] == "resets"}
    rig.record.add("case", f"{len(broken_off)} of {len(answers)} answers were reset")
    return [
        f"MIXED: {name} got a success that ended regularly, with {len(answer.body)} of "
        f"{BODY_BYTES} bytes; its worker had reset the answer"
        for name, answer in answers.items()
        if answer.status == 200
        and answer.end != "cut"
        and len(answer.body) < BODY_BYTES
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
