"""After all workers of a service crashed once, sound requests stay refused."""

import asyncio
import time
from pathlib import Path

from rig import CouldNotRunError, is_troubled, make_route, run_case, send

WORKERS = 3
CLIENTS_PER_INSTANCE = 10
CRASH_AFTER_S = 4.0
DOWN_S = 2.0
# An entry is removed after three heartbeats of silence.
EXPIRY_S = 3.6
# The workers are back and their old entries gone; from then on nothing is disturbed.
CALM_AFTER_S = CRASH_AFTER_S + EXPIRY_S + 3.0
END_S = CALM_AFTER_S + 12.0
WINDOW_S = 5.0
LEAST_UNSERVED = 10
UNSERVED_SHARE = 1 / 12
PAUSE_S = 0.05


class Traffic:
    """The requests of all clients, with the times at which they were sent."""

    def __init__(self):
        self.begun_s = time.monotonic()
        self.lookups = []
        self.submits = []

    @property
    def now_s(self):
        """The time since the first request, in seconds."""
        return time.monotonic() - self.begun_s


async def look_up(rig, instance, traffic, client):
    """Ask for the status of one return again and again, as several clients do."""
    number = 0
    while traffic.now_s < END_S:
        number += 1
        sent_s = traffic.now_s
        answer = await send(
            rig,
            instance,
            f"lookup-{instance.name}-{client}-{number}",
            "GET",
            "/lookup/holding-1",
            deadline_ms=3000,
        )
        traffic.lookups.append((sent_s, answer.status))
        await asyncio.sleep(PAUSE_S)


async def submit(rig, instance, traffic):
    """Submit returns, each with a body of its own."""
    number = 0
    while traffic.now_s < END_S:
        number += 1
        sent_s = traffic.now_s
        name = f"submit-{instance.name}-{number}"
        body = name.encode().ljust(600, b".")
        answer = await send(
            rig, instance, name, "POST", "/submit/1", body=body, deadline_ms=3000
        )
        if answer.status == 200:
            traffic.submits.append(sent_s)
        await asyncio.sleep(PAUSE_S)


async def crash_all(rig):
    """Kill all workers at once; others come up in their place."""
    await asyncio.sleep(CRASH_AFTER_S)
    crashed = list(rig.workers)
    for worker in crashed:
        rig.record.add("trouble", f"worker {worker.name} crashes (SIGKILL)")
        worker.process.kill()
    await asyncio.sleep(DOWN_S)
    for number in range(WORKERS):
        await rig.add_worker(f"i-new-{number}", "returns", "plain")
    await asyncio.sleep(EXPIRY_S - DOWN_S)
    for worker in crashed:
        worker.unlist()
        rig.workers.remove(worker)


async def play(rig):
    """Serve two kinds of requests while all workers crash once."""
    lookup = make_route("lookup", "returns", "idempotent", attempts=2, timeout_ms=1500)
    submit_route = make_route("submit", "returns", "non_idempotent", timeout_ms=1500)
    submit_route["priority"] = 2
    rig.write_configuration(3, ["k1"], [lookup, submit_route], ["returns"])
    for number in range(WORKERS):
        await rig.add_worker(f"i-{number}", "returns", "plain")
    instances = [
        await rig.add_instance(f"edge-{number}", "zone-a") for number in (1, 2)
    ]
    for instance in instances:
        await instance.wait_ready()
    traffic = Traffic()
    clients = [
        look_up(rig, instance, traffic, client)
        for instance in instances
        for client in range(CLIENTS_PER_INSTANCE)
    ]
    clients += [submit(rig, instance, traffic) for instance in instances]
    if is_troubled():
        clients.append(crash_all(rig))
    await asyncio.gather(*clients)
    return judge(traffic)


def judge(traffic):
    """Return how the rule TIER was broken, in windows that begin each second."""
    before = [status for at_s, status in traffic.lookups if at_s < CRASH_AFTER_S - 1]
    if not before or set(before) != {200}:
        raise CouldNotRunError(f"the lookups before the crash got {set(before)}")
    reasons = []
    start_s = CALM_AFTER_S
    while start_s + WINDOW_S <= END_S - 1:
        end_s = start_s + WINDOW_S
        asked = [status for at_s, status in traffic.lookups if start_s <= at_s < end_s]
        unserved = [status for status in asked if status != 200]
        begun = [at_s for at_s in traffic.submits if start_s <= at_s < end_s]
        is_many = len(unserved) >= LEAST_UNSERVED
        if is_many and len(unserved) > UNSERVED_SHARE * len(asked) and begun:
            reasons.append(
                f"TIER: from {start_s:.1f} to {end_s:.1f} s, {len(unserved)} of "
                f"{len(asked)} lookups got nothing ({sorted(set(unserved))}), while "
                f"{len(begun)} less urgent submits ran at the same service"
            )
        start_s += 1.0
    return reasons


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
