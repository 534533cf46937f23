"""Runs one instance as a process that acquires and releases slots.

Each slot is held for a short random time. Each grant and release is written to
standard output as one line with four fields: the time on the machine's monotonic
clock, in seconds; ``+`` for a grant or ``-`` for a release; the slot's number; and
the coordinator that granted it, or ``own`` for the fallback share.
"""

import asyncio
import itertools
import json
import random
import signal
import socket
import sys
import time

import uvloop

from features.capacity.cluster import make_request
from jujubenotch.admission import LoadReport, WorkReport, WorkResult
from jujubenotch.capacity import (
    CoordinatedCapacityDependencies,
    start_coordinated_capacity,
)
from jujubenotch.invariants import make_violations_fatal
from jujubenotch.outcomes import Refusal
from jujubenotch.records import Configuration, Upstream, UpstreamKind
from jujubenotch.settings import Seed
from jujubenotch.tables import InstanceListEntry

COMPLETED_REPORT = WorkReport(result=WorkResult.COMPLETED, tokens=1)
HOLD_TIME_RANGE_S = (0.05, 0.15)


async def main(arguments):
    seeds = tuple(Seed(**seed) for seed in arguments["seeds"])
    upstream = Upstream(
        name="u",
        kind=UpstreamKind.MODEL,
        data_centre="north",
        url="http://127.0.0.1:1",
        models=(arguments["target"],),
        slots=arguments["slots"],
    )
    configuration = Configuration(revision=1, upstreams={"u": upstream})

    async def read_load(upstream):
        return LoadReport(running=0, waiting=0, slots=upstream.slots)

    async def list_instances():
        return [
            InstanceListEntry(
                name=seed.name,
                kind="instance",
                data_centre="north",
                peer_address=f"{seed.host}:{seed.port}",
            )
            for seed in seeds
        ]

    capacity = await start_coordinated_capacity(
        CoordinatedCapacityDependencies(
            name=arguments["name"],
            data_centre="north",
            incarnation=time.time_ns(),
            advertised_host="127.0.0.1",
            listener_socket=socket.socket(fileno=arguments["bound"]),
            read_configuration=lambda: configuration,
            read_clock_s=time.monotonic,
            on_peer_revision=lambda revision, peer: None,
            read_changes_since=lambda revision: [],
            apply_pushed_changes=lambda changes: None,
            read_trace=lambda request_id: None,
            read_load=read_load,
            list_instances=list_instances,
            seeds=seeds,
        )
    )
    numbers = itertools.count(1)
    rng = random.Random(arguments["seed"])
    callers = [
        asyncio.create_task(call(capacity, arguments["target"], numbers, rng))
        for _ in range(arguments["callers"])
    ]
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    async with asyncio.timeout(arguments["duration_s"]):
        await stopping.wait()
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    await capacity.close()


async def call(capacity, target, numbers, rng):
    while True:
        grant = await capacity.acquire(make_request(target=target))
        if isinstance(grant, Refusal):
            await asyncio.sleep(0.05)
            continue
        number = next(numbers)
        write("+", number, grant.coordinator)
        try:
            await asyncio.sleep(rng.uniform(*HOLD_TIME_RANGE_S))
        finally:
            write("-", number, grant.coordinator)
            capacity.release(grant, COMPLETED_REPORT, time.monotonic())


def write(sign, number, coordinator):
    print(f"{time.monotonic():.6f} {sign} {number} {coordinator or 'own'}", flush=True)


if __name__ == "__main__":
    make_violations_fatal(is_fatal=True)
    uvloop.install()
    asyncio.run(main(json.loads(sys.argv[1])))
