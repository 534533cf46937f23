"""An in-memory platform that injects scripted faults."""

import asyncio
from dataclasses import dataclass, field

from jujubenotch.tables import (
    ConflictError,
    EmbeddedPlatformClient,
    PlatformUnavailableError,
    ReplyLostError,
)

LATE_WRITE_DELAYS_S = {"lost-late": 7.0, "lost-soon": 0.08}
HANG_S = 1e6


@dataclass(kw_only=True)
class FaultyPlatform(EmbeddedPlatformClient):
    """Injects the next fault of a script into each transaction and each read.

    Once a script is used up, its calls succeed. The faults are: ``ok`` (none),
    ``slow`` (the transaction takes 0.5 s), ``down`` (nothing takes effect, and
    the caller is told so), ``hang`` (the call never returns), and four with a
    lost reply: ``lost-applied`` (the writes are applied), ``lost-dropped`` (they
    are not applied), ``lost-soon`` and ``lost-late`` (they are applied 0.08 s
    and 7 s later).

    :param script: The faults of the transactions, in order.
    :param read_script: The faults of the reads, in order: ``ok``, ``down`` or
        ``hang``.
    :param outages: Pairs of times on the event loop's clock between which the
        platform is unavailable.
    :param transactions: The number of transactions that reached the platform.
    """

    script: list[str] = field(default_factory=list)
    read_script: list[str] = field(default_factory=list)
    outages: list[tuple[float, float]] = field(default_factory=list)
    transactions: int = 0

    async def transact(self, writes):
        names = [(write.table, write.key) for write in writes]
        assert len(names) == len(set(names)), "a transaction writes the same row twice"
        fault = self.script.pop(0) if self.script else "ok"
        await asyncio.sleep(0.5 if fault == "slow" else 0.005)
        self.check_available()
        self.transactions += 1
        if fault == "down":
            raise PlatformUnavailableError
        if fault in LATE_WRITE_DELAYS_S:
            asyncio.create_task(self.apply_late(writes, LATE_WRITE_DELAYS_S[fault]))
        if fault in ("ok", "slow", "lost-applied"):
            await super().transact(writes)
        if fault == "hang":
            await asyncio.sleep(HANG_S)
        if fault.startswith("lost"):
            raise ReplyLostError
        if any(start <= self.now_s() < end for start, end in self.outages):
            raise ReplyLostError

    async def apply_late(self, writes, delay_s):
        await asyncio.sleep(delay_s)
        try:
            await EmbeddedPlatformClient.transact(self, writes)
        except ConflictError:
            return

    async def read(self, table, key):
        await asyncio.sleep(0.002)
        self.check_available()
        fault = self.read_script.pop(0) if self.read_script else "ok"
        if fault == "down":
            raise PlatformUnavailableError
        if fault == "hang":
            await asyncio.sleep(HANG_S)
        return await super().read(table, key)

    async def put_object(self, name, content):
        await asyncio.sleep(0.005)
        self.check_available()
        await super().put_object(name, content)

    async def get_object(self, name):
        await asyncio.sleep(0.002)
        self.check_available()
        return await super().get_object(name)

    def check_available(self):
        if any(start <= self.now_s() < end for start, end in self.outages):
            raise PlatformUnavailableError

    def now_s(self):
        return asyncio.get_running_loop().time()
