"""The interface through which the request path acquires and releases slots."""

from typing import Protocol

from jujubenotch.outcomes import Refusal
from jujubenotch.work.core import Grant, LoadReport, WorkReport, WorkRequest


class SlotProvider(Protocol):
    """Grants slots on upstreams and accepts their release."""

    async def acquire(self, request: WorkRequest) -> Grant | Refusal:
        """Wait for a slot.

        Cancelling the call withdraws the request.

        :param request: The request; its times are on this process's
            monotonic clock, in seconds.
        :returns: The grant of a slot, or a refusal.
        """

    def release(self, grant: Grant, report: WorkReport, now_s: float) -> None:
        """Release a slot; never blocks and never raises.

        :param grant: The grant of the slot.
        :param report: The report on the work.
        :param now_s: The present monotonic time, in seconds.
        """

    def record_load(self, upstream: str, report: LoadReport, now_s: float) -> None:
        """Record a load report of an upstream.

        :param upstream: The upstream's name.
        :param report: The upstream's report about itself.
        :param now_s: The present monotonic time, in seconds.
        """
