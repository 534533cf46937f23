"""Runs random interleavings of requests with shared keys at several instances."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

from hypothesis import strategies as st

from features.claims.faulty_platform import FaultyPlatform
from features.claims.virtual_loop import VirtualLoop
from jujubenotch.claims import (
    ClaimFinished,
    ClaimRequest,
    ClaimTaken,
    RecordedAnswer,
    claim,
    close,
    finish,
    look_up,
    make_claim_store,
)
from jujubenotch.outcomes import Outcome, Refusal

INSTANCES = ("a", "b", "c")
KEYS = ("k1", "k2")
DEADLINE_S = 30.0
SETTLING_TIME_S = 700.0
ENDS = ("completed", "failed", "unknown", "not-run", "crash", "crash-before-send")
FAULTS = ("ok", "slow", "down", "hang")
FAULTS += ("lost-applied", "lost-dropped", "lost-late", "lost-soon")


@dataclass(frozen=True, kw_only=True)
class Actor:
    """The plan of one request: when and where it arrives, and how it ends.

    :param starts_s: When the request arrives, in seconds after the run's start.
    :param pause_s: How long the request pauses between getting the claim and
        being sent.
    :param end: What the request does once it holds the claim, from ``ENDS``.
    :param cancel_after_s: How long after its arrival the request is cancelled
        unless it has got its answer or claim before; 0 means never.
    """

    number: int
    instance: str
    key: str
    starts_s: float
    pause_s: float
    end: str
    cancel_after_s: float = 0.0


@dataclass(kw_only=True)
class Run:
    """What was observed in one run.

    :param sent: For each key, the numbers of the requests that were sent.
    :param told_outcomes: The outcome that each request's caller was told, by number.
    :param recorded_answers: The recorded answers that repeats got, with their keys.
    :param crashed: The keys with a request whose owner crashed.
    :param last_results: For each key, the result of a claim after all faults.
    """

    sent: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    told_outcomes: dict[int, Outcome] = field(default_factory=dict)
    recorded_answers: list[tuple[str, RecordedAnswer]] = field(default_factory=list)
    crashed: set[str] = field(default_factory=set)
    last_results: dict[str, object] = field(default_factory=dict)


ACTORS = st.builds(
    Actor,
    number=st.just(0),
    instance=st.sampled_from(INSTANCES),
    key=st.sampled_from(KEYS),
    starts_s=st.sampled_from([0.0, 0.001, 0.004, 0.01, 0.3, 5.0, 7.0, 20.0]),
    pause_s=st.sampled_from([0.0, 0.0, 0.01, 8.0, 40.0]),
    end=st.sampled_from(ENDS),
    cancel_after_s=st.sampled_from([0.0, 0.0, 0.0, 0.002, 0.006, 0.05, 3.0]),
)
PLANS = st.fixed_dictionaries(
    {
        "actors": st.lists(ACTORS, min_size=1, max_size=10),
        "script": st.lists(st.sampled_from(FAULTS), max_size=20),
        "read_script": st.lists(st.sampled_from(["ok", "down", "down"]), max_size=20),
        "outages": st.lists(
            st.tuples(st.sampled_from([0.0, 0.006, 0.3, 6.0]), st.floats(0.01, 60)),
            max_size=2,
        ),
    }
)


def play(plan):
    """Run a plan on a virtual-time event loop; return what was observed."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(_run_plan(loop, plan))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


async def _run_plan(loop, plan):
    start_s = loop.time()
    outages = [
        (start_s + at_s, start_s + at_s + duration_s)
        for at_s, duration_s in plan["outages"]
    ]
    platform = FaultyPlatform(
        script=list(plan["script"]),
        read_script=list(plan["read_script"]),
        outages=outages,
    )
    claim_stores = {
        name: make_claim_store(platform=platform, instance=name) for name in INSTANCES
    }
    run = Run()
    await asyncio.gather(
        *(
            _run_request(run, claim_stores[actor.instance], actor, number)
            for number, actor in enumerate(plan["actors"])
        )
    )
    platform.script.clear()
    platform.read_script.clear()
    await asyncio.sleep(SETTLING_TIME_S)
    for instance in claim_stores.values():
        await close(instance)
    for key in KEYS:
        run.last_results[key] = await claim(claim_stores["a"], _make_request(loop, key))
    return run


def _make_request(loop, key):
    return ClaimRequest(
        team="keepers",
        idempotency_key=key,
        target="returns",
        fingerprint=f"request of {key}",
        deadline_s=loop.time() + DEADLINE_S,
    )


async def _run_request(run, claim_store, actor, number):
    loop = asyncio.get_running_loop()
    await asyncio.sleep(actor.starts_s)
    request = _make_request(loop, actor.key)
    task = asyncio.create_task(_look_up_and_claim(claim_store, request))
    if actor.cancel_after_s:
        await asyncio.wait([task], timeout=actor.cancel_after_s)
        task.cancel()
    await asyncio.wait([task])
    if task.cancelled():
        return
    result = task.result()
    if isinstance(result, ClaimTaken):
        await _run_owner(run, claim_store, actor, number, result.claim)
    elif isinstance(result, ClaimFinished):
        run.recorded_answers.append((actor.key, result.answer))
        run.told_outcomes[number] = result.answer.outcome
    elif isinstance(result, Refusal):
        run.told_outcomes[number] = Outcome.NOT_RUN
    else:
        run.told_outcomes[number] = Outcome.UNKNOWN


async def _look_up_and_claim(claim_store, request):
    result = await look_up(claim_store, request)
    return await claim(claim_store, request) if result is None else result


async def _run_owner(run, claim_store, actor, number, own_claim):
    await asyncio.sleep(actor.pause_s)
    if actor.end == "crash-before-send":
        run.crashed.add(actor.key)
        return
    if actor.end == "not-run":
        run.told_outcomes[number] = Outcome.NOT_RUN
        answer = RecordedAnswer(outcome=Outcome.NOT_RUN, status=503)
        return finish(claim_store, own_claim, answer)
    run.sent[actor.key].append(number)
    await asyncio.sleep(0.2)
    if actor.end == "crash":
        run.crashed.add(actor.key)
        return
    outcome = run.told_outcomes[number] = Outcome(actor.end)
    body = f"answer {number}".encode()
    finish(
        claim_store, own_claim, RecordedAnswer(outcome=outcome, status=200, body=body)
    )
