"""Slot allocation on a single instance that keeps the pools of all groups."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace

from jujubenotch.admission import Grant, LoadReport, WorkReport, WorkRequest, WorkResult
from jujubenotch.capacity.groups import GroupPlans, plan_groups
from jujubenotch.capacity.pool_runner import (
    PoolRunner,
    apply_load_report,
    cancel,
    configure_group,
    release_pool_grant,
    run_pools,
    submit,
)
from jujubenotch.capacity.refusals import refuse_no_upstream, refuse_shutting_down
from jujubenotch.outcomes import Refusal
from jujubenotch.records import Configuration


class LocalCapacity:
    """Allocates the slots of a data centre's upstreams on one instance alone.

    :param name: This instance's name.
    :param incarnation: Differs after each start of the instance.
    :param data_centre: This instance's data centre.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.

    >>> capacity = LocalCapacity(
    ...     name="a",
    ...     incarnation=time.time_ns(),
    ...     data_centre="north",
    ...     read_clock_s=time.monotonic,
    ... )
    >>> capacity.reconfigure(configuration, time.monotonic())
    >>> grant = await capacity.acquire(request)
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        data_centre: str,
        read_clock_s: Callable[[], float],
    ):
        self.data_centre = data_centre
        self.plans = GroupPlans()
        self.pool_runner = PoolRunner(
            coordinator=name,
            id_prefix=f"{name}/{incarnation}",
            read_clock_s=read_clock_s,
            deliver=self._deliver,
        )
        self._waiting: dict[str, _Waiting] = {}
        self._granted_groups: dict[str, str] = {}
        self._numbers = itertools.count(1)
        self._pools_task: asyncio.Task | None = None
        self._is_closed = False

    def reconfigure(self, configuration: Configuration, now_s: float) -> None:
        """Apply a configuration.

        :param configuration: The configuration.
        :param now_s: The current monotonic time, in seconds.
        """
        previous = self.plans
        self.plans = plan_groups(configuration, self.data_centre)
        for plan in self.plans.by_name.values():
            configure_group(self.pool_runner, plan, share=1.0, now_s=now_s)
        for name, plan in previous.by_name.items():
            if name not in self.plans.by_name:
                self._empty_group(plan, now_s)

    async def acquire(self, request: WorkRequest) -> Grant | Refusal:
        """Wait for a slot; cancelling the call withdraws the request.

        :param request: The request.
        :returns: The granted slot, or the refusal.
        """
        group = self.plans.by_target.get(request.target)
        if self._is_closed:
            return refuse_shutting_down()
        if group is None:
            return refuse_no_upstream(request.target)
        if self._pools_task is None:
            self._pools_task = asyncio.create_task(run_pools(self.pool_runner))
        queue_id = f"{request.request_id}/{next(self._numbers)}"
        queued = replace(request, request_id=queue_id)
        waiting = _Waiting(group=group, future=asyncio.Future())
        self._waiting[queue_id] = waiting
        submit(self.pool_runner, group, queued, self.pool_runner.read_clock_s())
        try:
            answer = await waiting.future
        except asyncio.CancelledError:
            self._abandon(queue_id, waiting)
            raise
        finally:
            self._waiting.pop(queue_id, None)
        if isinstance(answer, Grant):
            return replace(answer, request_id=request.request_id)
        return answer

    def release(self, grant: Grant, report: WorkReport, now_s: float) -> None:
        """Release a slot; a grant that was already released is ignored.

        :param grant: The granted slot.
        :param report: The outcome of the work.
        :param now_s: The current monotonic time, in seconds.
        """
        group = self._granted_groups.pop(grant.grant_id, None)
        if group is not None:
            release_pool_grant(self.pool_runner, group, grant.grant_id, report, now_s)

    def record_load(self, upstream: str, load: LoadReport, now_s: float) -> None:
        """Apply an upstream's load report.

        :param upstream: The upstream's name; an unknown name is ignored.
        :param load: The load report.
        :param now_s: The current monotonic time, in seconds.
        """
        group = self.plans.by_upstream.get(upstream)
        if group is not None:
            apply_load_report(self.pool_runner, group, upstream, load, now_s)

    async def close(self) -> None:
        """Refuse the waiting requests and stop the background task."""
        self._is_closed = True
        for queue_id in tuple(self._waiting):
            self._deliver(queue_id, refuse_shutting_down())
        if self._pools_task is not None:
            self._pools_task.cancel()
            await asyncio.gather(self._pools_task, return_exceptions=True)

    def _deliver(self, queue_id, answer):
        waiting = self._waiting.get(queue_id)
        if isinstance(answer, Grant):
            self._granted_groups[answer.grant_id] = waiting.group
        if not waiting.future.done():
            waiting.future.set_result(answer)
        elif isinstance(answer, Grant):
            self._release_unused(answer)

    def _abandon(self, queue_id, waiting):
        answer = None if waiting.future.cancelled() else waiting.future.result()
        if isinstance(answer, Grant):
            self._release_unused(answer)
        else:
            cancel(
                self.pool_runner,
                waiting.group,
                queue_id,
                self.pool_runner.read_clock_s(),
            )

    def _release_unused(self, grant):
        report = WorkReport(result=WorkResult.CANCELLED)
        self.release(grant, report, self.pool_runner.read_clock_s())

    def _empty_group(self, plan, now_s):
        emptied = replace(plan, upstreams=())
        configure_group(self.pool_runner, emptied, share=1.0, now_s=now_s)
        for queue_id, waiting in tuple(self._waiting.items()):
            if waiting.group == plan.name:
                cancel(self.pool_runner, plan.name, queue_id, now_s)
                self._deliver(queue_id, refuse_no_upstream(plan.name))


@dataclass(frozen=True, kw_only=True)
class _Waiting:
    group: str
    future: asyncio.Future
