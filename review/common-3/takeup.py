"""Streams that clients take up again at other machines when theirs has been killed."""

import asyncio
import random
import time
from dataclasses import dataclass, field

import site3

SERVICE = "model"
LIVE = 3
WORKERS = 6
EVENTS = 36
GAP_S = 0.1
STREAMS_PER_S = 20
KILL_AFTER_S = 8.0
RUN_S = 14.0
MIN_TAKEN_UP = 12
ROUTE = site3.make_route(
    "/query/",
    SERVICE,
    "streaming",
    timeout_ms=10000,
    max_attempts=2,
    stream_resume=True,
    gap_target_ms=200,
    target_latency_ms=300,
)


@dataclass(kw_only=True)
class Tally:
    """What became of streams.

    :param live: The live instances; the first of them is killed.
    :param new: Of first tries since the kill, all at the other machines: which began.
    :param taken_up: Of streams that were taken up there: which went on.
    :param killed_s: When the machine was killed; ``None`` before.
    """

    site: site3.Site
    live: list[site3.Instance]
    new: list[bool] = field(default_factory=list)
    taken_up: list[bool] = field(default_factory=list)
    killed_s: float | None = None


async def start_workers(site: site3.Site, versions: tuple[str, ...]) -> None:
    """Start the workers and write the configuration.

    :param site: The site.
    :param versions: The software versions of the workers, in turn.
    """

    async def serve(worker, request):
        await site3.answer_stream(request, EVENTS, GAP_S)

    site3.put_config(site, 3, [ROUTE])
    for number in range(WORKERS):
        worker = site3.Worker(
            name=f"i-{number}",
            service=SERVICE,
            zone=f"zone-{'abc'[number % 3]}",
            serve=serve,
            slots=48,
            version=versions[number % len(versions)],
        )
        await site3.start_worker(site, worker)


async def start_live(site: site3.Site) -> Tally:
    """Start the live instances.

    :param site: The site.
    """
    live = await asyncio.gather(
        *(
            site3.start_instance(site, f"edge-{number}", f"zone-{'abc'[number]}")
            for number in range(LIVE)
        )
    )
    return Tally(site=site, live=list(live))


async def send_streams(tally: Tally) -> None:
    """Send requests all the time, and kill the first machine meanwhile.

    :param tally: What became of streams; changed in place.
    """
    tasks = []
    began_s = time.monotonic()
    while (passed_s := time.monotonic() - began_s) < RUN_S:
        if passed_s > KILL_AFTER_S and tally.killed_s is None:
            await site3.kill_instance(tally.site, tally.live[0].name)
            tally.killed_s = time.monotonic()
        tasks.append(asyncio.create_task(_ask(tally, len(tasks))))
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*tasks)


async def _ask(tally, number):
    """Ask for a stream, and take it up at another machine if its machine is killed."""
    is_late = tally.killed_s is not None
    instance = random.choice(tally.live[1:] if is_late else tally.live)
    attempt_id = f"{random.getrandbits(64):016x}"
    got = await _send(instance, number, attempt_id)
    events = got.body.count(b"\n\n")
    tally.site.note(
        f"{attempt_id} at {instance.name}: {got.status}, {events} events, "
        f"complete: {got.is_complete}"
    )
    if is_late:
        tally.new.append(got.status == 200 and events > 0)
    if events and not got.is_complete and instance is tally.live[0]:
        await _take_up(tally, number, attempt_id, events)


async def _take_up(tally, number, attempt_id, events):
    other = random.choice(tally.live[1:])
    rest = await _send(
        other,
        number,
        f"{random.getrandbits(64):016x}",
        (("Last-Event-Id", str(events)), ("Resumes", attempt_id)),
    )
    goes_on = rest.status == 200 and f"id: {events + 1}\n".encode() in rest.body
    tally.taken_up.append(goes_on)
    told = "goes on" if goes_on else rest.body[:60]
    tally.site.note(
        f"{attempt_id} taken up at {other.name} after event {events}: "
        f"{rest.status} {told}"
    )


async def _send(instance, number, attempt_id, headers=()):
    parts = f"5c1e07a2:120,{number % 40:08x}:80,{number:x}:400"
    prompt = (
        ("X-Model", "m"),
        ("X-Token-Count", "600,300"),
        ("X-Prompt-Prefix", parts),
    )
    return await site3.send(
        instance.host,
        "POST",
        f"/query/{number}",
        body=b"which holding",
        headers=(*prompt, *headers),
        wait_s=10.0,
        attempt_id=attempt_id,
    )


def judge(tally: Tally) -> bool:
    """Return whether the rule held.

    :param tally: What became of streams.
    """
    note = tally.site.note
    note(f"{sum(tally.new)} of {len(tally.new)} new streams began")
    note(f"{sum(tally.taken_up)} of {len(tally.taken_up)} taken up went on")
    if len(tally.taken_up) < MIN_TAKEN_UP:
        raise site3.CouldNotRunError("too few streams were taken up")
    share_new = sum(tally.new) / len(tally.new)
    return sum(tally.taken_up) / len(tally.taken_up) >= share_new / 2
