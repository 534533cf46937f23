"""Continuous batching: one task runs the decode steps of all running requests."""

import asyncio
import heapq
import random
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.faults import FaultState
from standins.load_report import LoadSample

PREFIX_BLOCK_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4
STEP_JITTER = 0.05


@dataclass(frozen=True, kw_only=True)
class EngineSpeed:
    """The durations that determine the speed of an engine.

    :param step_ms: Duration of a decode step with an empty batch.
    :param step_per_request_ms: Time that each running request adds to a step.
    :param prefill_ms_per_token: Time to prefill one token of the prompt.
    """

    step_ms: float
    step_per_request_ms: float
    prefill_ms_per_token: float


@dataclass(eq=False, kw_only=True)
class Job:
    """One request in the engine.

    :param priority: Jobs with a lower number are admitted first; requests have 0 by
        default.
    :param prompt: The complete prompt; its leading blocks may be cached.
    :param length: Number of tokens of the complete response.
    :param produced: Number of tokens of the response that are ready; starts
        above 0 when a stream is resumed.
    :param on_start: Called when the job gets a slot.
    :param resumed_from: Number of tokens that the client received before it
        resumed the stream.
    """

    priority: int
    prompt: str
    length: int
    produced: int
    on_start: Callable[[], None]
    resumed_from: int = 0
    has_slot: bool = False
    prefilled_at_s: float = 0.0
    progress: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(kw_only=True)
class Batch:
    """The running and waiting jobs of an engine, its prefix cache and its counters.

    :param slots: Number of jobs that can run at once.
    :param cache_prefixes: Number of prompt blocks that the prefix cache holds.
    :param seed: Seed of the jitter on the duration of each step.

    >>> speed = EngineSpeed(
    ...     step_ms=20, step_per_request_ms=0.5, prefill_ms_per_token=0.1
    ... )
    >>> faults = FaultState()
    >>> Batch(slots=16, cache_prefixes=64, speed=speed, fault_state=faults).running
    []
    """

    slots: int
    cache_prefixes: int
    speed: EngineSpeed
    fault_state: FaultState
    seed: int = 1
    running: list[Job] = field(default_factory=list)
    waiting: list[tuple[int, int, Job]] = field(default_factory=list)
    has_work: asyncio.Event = field(default_factory=asyncio.Event)
    cached_blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    submitted: int = 0
    tokens_generated: int = 0
    tokens_wasted: int = 0
    prefix_hits: int = 0
    busy_slot_s: float = 0.0


def submit_job(batch: Batch, job: Job) -> None:
    """Queue a job behind the waiting jobs of the same priority.

    :param batch: The engine's batch.
    :param job: The new job.
    """
    batch.submitted += 1
    heapq.heappush(batch.waiting, (job.priority, batch.submitted, job))
    batch.has_work.set()


def cancel_job(batch: Batch, job: Job) -> None:
    """Remove a job whose response is not delivered; count its tokens as wasted.

    :param batch: The engine's batch.
    :param job: The job, which may be running, waiting or ended.
    """
    batch.tokens_wasted += job.produced - job.resumed_from
    if job in batch.running:
        batch.running.remove(job)
    elif not job.has_slot:
        batch.waiting = [entry for entry in batch.waiting if entry[2] is not job]
        heapq.heapify(batch.waiting)


def read_load(batch: Batch) -> LoadSample:
    """Return the current load.

    :param batch: The engine's batch.
    """
    return LoadSample(
        time_s=time.monotonic(),
        running=len(batch.running),
        waiting=len(batch.waiting),
    )


def compute_step_s(speed: EngineSpeed, running: int, slowdown: float) -> float:
    """Compute the duration of one decode step, in seconds.

    :param speed: The engine's speed.
    :param running: Number of running jobs in the batch.
    :param slowdown: Factor set by the slowdown fault; 1 without this fault.
    """
    step_ms = speed.step_ms + speed.step_per_request_ms * running
    return step_ms * slowdown / 1000


async def run_batch(batch: Batch) -> None:
    """Run the decode steps of the batch until cancelled.

    :param batch: The engine's batch.
    """
    generator = random.Random(batch.seed)
    while True:
        batch.has_work.clear()
        if not batch.waiting and not batch.running:
            await batch.has_work.wait()
        await batch.fault_state.responses_allowed.wait()
        started_s = time.monotonic()
        _admit_waiting(batch, started_s)
        slowdown = batch.fault_state.faults.slowdown
        step_s = compute_step_s(batch.speed, len(batch.running), slowdown)
        jitter = generator.uniform(1 - STEP_JITTER, 1 + STEP_JITTER)
        await asyncio.sleep(step_s * jitter)
        ended_s = time.monotonic()
        batch.busy_slot_s += len(batch.running) * (ended_s - started_s)
        _emit_tokens(batch, ended_s)


def _admit_waiting(batch, now_s):
    while batch.waiting and len(batch.running) < batch.slots:
        _, _, job = heapq.heappop(batch.waiting)
        job.has_slot = True
        job.prefilled_at_s = now_s + _compute_prefill_s(batch, job)
        batch.running.append(job)
        job.on_start()


def _compute_prefill_s(batch, job):
    # A resumed stream prefills the tokens that it has already sent, after the prompt.
    cached_characters = _match_cached_prefix(batch, job.prompt)
    tokens = (
        len(job.prompt) - cached_characters
    ) / CHARACTERS_PER_TOKEN + job.resumed_from
    slowdown = batch.fault_state.faults.slowdown
    return tokens * batch.speed.prefill_ms_per_token * slowdown / 1000


def _match_cached_prefix(batch, prompt):
    cached_characters = 0
    is_cached = True
    for end in range(PREFIX_BLOCK_CHARACTERS, len(prompt) + 1, PREFIX_BLOCK_CHARACTERS):
        block = hash(prompt[:end])
        is_cached = is_cached and block in batch.cached_blocks
        if is_cached:
            cached_characters = end
        batch.cached_blocks[block] = None
        batch.cached_blocks.move_to_end(block)
    while len(batch.cached_blocks) > batch.cache_prefixes:
        batch.cached_blocks.popitem(last=False)
    batch.prefix_hits += cached_characters > 0
    return cached_characters


def _emit_tokens(batch, now_s):
    still_running = []
    for job in batch.running:
        if job.prefilled_at_s <= now_s:
            job.produced += 1
            batch.tokens_generated += 1
            job.progress.set()
        if job.produced < job.length:
            still_running.append(job)
    batch.running = still_running
