"""Instances that run the daemon's code for the lease in virtual time.

The store and its faults are drawn; each write that the store executed is kept, so that
what was reported as confirmed can be compared with it.
"""

import asyncio
import random
from dataclasses import dataclass, field
from unittest import mock

from features.claims.virtual_loop import VirtualLoop
from jujubenotch.daemon import forward_cloud, forward_leases
from jujubenotch.daemon.forward_leases import (
    LeaseWatch,
    find_token,
    hand_over,
    make_lease_watch,
    refresh_token,
    run_leases,
    write_records,
)
from jujubenotch.forwarding import SourceError
from jujubenotch.leases import LeaseRow, LeaseTerms, WriteResult
from jujubenotch.metrics import make_metrics

LEASE_S = 3.0
FAULTS_END_S = 30.0
END_S = 45.0


@dataclass(kw_only=True)
class MemoryStore:
    """A store of one table, with drawn faults.

    :param log: The writes that were executed: the lease's nonce, its token, the era
        and the records.
    """

    draw: random.Random
    loss: float = 0.0
    latency_s: float = 0.02
    is_away: bool = False
    lease: object = None
    revision: int = 0
    lease_revision: int = 0
    era: int = 0
    records: dict[str, bytes] = field(default_factory=dict)
    log: list[tuple] = field(default_factory=list)
    copies: list[tuple] = field(default_factory=list)

    async def read_lease(self):
        return await self._call(self._make_row)

    async def read_records(self):
        return await self._call(lambda: (self.era, dict(self.records)))

    async def write(self, lease, expected_revision, writes, removals):
        writes, removals = dict(writes), tuple(removals)

        def execute():
            is_written = expected_revision == self.lease_revision
            if is_written:
                self._apply(lease, writes, removals)
            return WriteResult(is_written=is_written, row=self._make_row())

        return await self._call(execute)

    def _apply(self, lease, writes, removals):
        self.revision += 1
        self.lease, self.lease_revision = lease, self.revision
        self.records.update(writes)
        for key in removals:
            self.records.pop(key, None)
        self.log.append((lease.nonce, lease.token, self.era, writes))
        copy = (self.lease, self.lease_revision, self.revision, dict(self.records))
        self.copies.append(copy)

    def _make_row(self):
        return LeaseRow(
            lease=self.lease,
            revision=self.lease_revision,
            store_time_s=asyncio.get_running_loop().time() + 77.0,
            era=self.era,
        )

    async def _call(self, execute):
        draw = self.draw
        await asyncio.sleep(self.latency_s * draw.uniform(0.2, 1.0))
        if self.is_away:
            raise SourceError("the store answered with status 503")
        fate = draw.random()
        if fate < self.loss / 3:
            await asyncio.Event().wait()
        if fate < self.loss * 2 / 3:
            # Executed after the caller has given up.
            asyncio.get_running_loop().call_later(draw.uniform(0.5, 5), execute)
            await asyncio.Event().wait()
        result = execute()
        if fate < self.loss:
            await asyncio.Event().wait()
        await asyncio.sleep(self.latency_s * draw.uniform(0.2, 1.0))
        return result

    def restore(self):
        if not self.copies:
            return
        copy = self.draw.choice(self.copies[-6:])
        self.lease, self.lease_revision, self.revision, records = copy
        self.records = dict(records)
        self.era += 1


@dataclass(kw_only=True)
class Run:
    """A run of some instances and what they reported as confirmed."""

    store: MemoryStore
    watches: list[LeaseWatch] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)
    confirmed: list[tuple] = field(default_factory=list)
    loaded: list[tuple] = field(default_factory=list)
    refreshed: int = 0
    refused: int = 0


def run_in_virtual_time(make_work):
    """Run a coroutine function in virtual time; the boot clock is the loop's."""
    loop = VirtualLoop()
    with (
        mock.patch.object(forward_leases, "read_boot_clock_s", loop.time),
        mock.patch.object(forward_cloud, "read_boot_clock_s", loop.time),
    ):
        try:
            return loop.run_until_complete(make_work())
        finally:
            _cancel_all(loop)
            loop.close()


def _cancel_all(loop):
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))


def start_watch(store, name, *, is_fenced=True):
    terms = LeaseTerms(lease_s=LEASE_S, is_fenced=is_fenced)
    watch = make_lease_watch(name, f"{name}:7000", terms, store, make_metrics())
    task = asyncio.get_running_loop().create_task(run_leases(watch))
    return watch, task


def play(seed):
    """Play a run of three instances whose duties write records all the time."""
    draw = random.Random(seed)
    return run_in_virtual_time(lambda: _play(Run(store=MemoryStore(draw=draw)), draw))


async def _play(run, draw):
    loop = asyncio.get_running_loop()
    begin_s = loop.time()
    run.store.loss = draw.choice((0.0, 0.1, 0.3))
    for number in range(3):
        _start(run, draw, f"instance-{number}")
    while loop.time() < begin_s + FAULTS_END_S:
        await asyncio.sleep(draw.uniform(1.0, 5.0))
        await _disturb(run, draw)
    run.store.loss, run.store.latency_s, run.store.is_away = 0.0, 0.02, False
    await asyncio.sleep(END_S - FAULTS_END_S)
    return run


def _start(run, draw, name):
    watch, task = start_watch(run.store, name)
    run.watches.append(watch)
    run.tasks.append(task)
    run.tasks.append(asyncio.create_task(_do_duty(run, draw, watch)))


async def _disturb(run, draw):
    kind = draw.choice(("restore", "away", "slow", "stop"))
    store = run.store
    if kind == "restore":
        store.restore()
    elif kind == "away":
        store.is_away = not store.is_away
    elif kind == "slow":
        store.latency_s = draw.choice((0.02, 0.3, 1.0))
    else:
        holders = [watch for watch in run.watches if watch.tenure_began.is_set()]
        for watch in holders:
            await hand_over(watch)
            _start(run, draw, watch.name)


async def _do_duty(run, draw, watch):
    number = 0
    loop = asyncio.get_running_loop()
    while True:
        await watch.tenure_began.wait()
        token = find_token(watch, loop.time())
        run.loaded.append((watch.state.nonce, token, dict(watch.records)))
        while watch.tenure_began.is_set():
            await asyncio.sleep(draw.uniform(0.05, 0.8))
            number += 1
            content = f"{watch.state.nonce} {number}".encode()
            if draw.random() < 0.2:
                run.refreshed += await refresh_token(watch) is not None
            elif await write_records(watch, {"orders": content}):
                token = watch.state.tenure.token if watch.state.tenure else None
                run.confirmed.append((watch.state.nonce, token, content))
            else:
                run.refused += 1
