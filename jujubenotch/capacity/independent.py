"""Baseline without coordination between instances.

Each instance decides from its own counts and the upstreams' load reports.
"""

import asyncio
from collections.abc import Awaitable, Callable

from jujubenotch.capacity.local import LocalCapacity
from jujubenotch.capacity.polls import LOAD_INTERVAL_S, LOAD_TIMEOUT_S, run_every
from jujubenotch.records import Configuration, Upstream
from jujubenotch.work import LoadReport


class IndependentCapacity(LocalCapacity):
    """Grants slots without coordination with other instances.

    Every instance may use all slots of every upstream of its data centre.

    :param name: This instance's name.
    :param incarnation: Increases with each start of the instance.
    :param data_centre: This instance's data centre.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :param read_load: Reads an upstream's load report.

    >>> capacity = IndependentCapacity(
    ...     name="a", incarnation=1, data_centre="north",
    ...     read_clock_s=time.monotonic, read_load=ask,
    ... )
    >>> capacity.reconfigure(configuration, time.monotonic())
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        data_centre: str,
        read_clock_s: Callable[[], float],
        read_load: Callable[[Upstream], Awaitable[LoadReport]],
    ):
        super().__init__(
            name=name,
            incarnation=incarnation,
            data_centre=data_centre,
            read_clock_s=read_clock_s,
        )
        self._read_load = read_load
        self._polls: dict[str, asyncio.Task] = {}

    def reconfigure(self, configuration: Configuration, now_s: float) -> None:
        """Apply a configuration and poll the upstreams that it contains.

        :param configuration: The configuration.
        :param now_s: The current monotonic time, in seconds.
        """
        super().reconfigure(configuration, now_s)
        wanted = {
            upstream.name: upstream
            for upstream in configuration.upstreams.values()
            if upstream.data_centre == self.data_centre
        }
        for name in self._polls.keys() - wanted.keys():
            self._polls.pop(name).cancel()
        for name in wanted.keys() - self._polls.keys():
            work = self._poll(wanted[name])
            self._polls[name] = asyncio.create_task(work)

    async def close(self) -> None:
        """Refuse the waiting requests and stop the background tasks."""
        for task in self._polls.values():
            task.cancel()
        await asyncio.gather(*self._polls.values(), return_exceptions=True)
        await super().close()

    async def _poll(self, upstream):
        async def read_once():
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                report = await self._read_load(upstream)
            self.record_load(upstream.name, report, self.pool_runner.read_clock_s())

        await run_every(LOAD_INTERVAL_S, f"load-{upstream.name}", read_once)
