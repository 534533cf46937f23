"""Embedded platform with injected faults: refused writes, lost replies, late writes."""

import asyncio
import random

from jujubenotch.tables import (
    EmbeddedPlatformClient,
    PlatformError,
    PlatformUnavailableError,
    ReplyLostError,
)

LATE_WRITE_DELAY_S = 0.02


class FaultyPlatform(EmbeddedPlatformClient):
    def __init__(self, seed=0, fault_probability=0.0):
        super().__init__()
        self.random = random.Random(seed)
        self.fault_probability = fault_probability
        self.is_down = False
        self.is_read_down_after_write = False
        self.next_faults = []
        self.before_transact = []
        self.pending_writes = set()

    async def transact(self, writes):
        await asyncio.sleep(0)
        self._raise_if_down()
        if self.before_transact:
            await self.before_transact.pop(0)()
        fault = self._draw_fault()
        if fault == "refused":
            raise PlatformUnavailableError("the platform is down (injected fault)")
        if fault == "late":
            task = asyncio.ensure_future(self._apply_late(writes))
            self.pending_writes.add(task)
            raise ReplyLostError("the reply to a write was lost (injected fault)")
        await super().transact(writes)
        if fault == "reply lost":
            raise ReplyLostError("the reply to a write was lost (injected fault)")

    async def read(self, table, key):
        await asyncio.sleep(0)
        self._raise_if_down()
        return await super().read(table, key)

    async def scan(self, table, after_key=""):
        self._raise_if_down()
        return await super().scan(table, after_key)

    async def get_object(self, name):
        self._raise_if_down()
        return await super().get_object(name)

    def _raise_if_down(self):
        if self.is_down:
            raise PlatformUnavailableError("the platform is down (injected fault)")

    def _draw_fault(self):
        if self.next_faults:
            return self.next_faults.pop(0)
        if self.random.random() < self.fault_probability:
            return self.random.choice(["refused", "late", "reply lost"])
        return "none"

    async def _apply_late(self, writes):
        await asyncio.sleep(LATE_WRITE_DELAY_S)
        try:
            await super().transact(writes)
        except PlatformError:
            pass
