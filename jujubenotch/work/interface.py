"""The interface that the request path uses to get and give back slots."""

from typing import Protocol

from jujubenotch.outcomes import Refusal
from jujubenotch.work.core import Grant, LoadReport, WorkReport, WorkRequest


class Capacity(Protocol):
    """Gives out slots on upstreams and takes them back."""

    async def acquire(self, request: WorkRequest) -> Grant | Refusal:
        """Wait for a slot.

        Cancelling the call withdraws the request.

        :param request: The request; its times are on this process's
            monotonic clock, in seconds.
        :returns: The slot, or a refusal.
        """

    def release(self, grant: Grant, report: WorkReport, now_s: float) -> None:
        """Give a slot back; never blocks and never raises.

        :param grant: The slot.
        :param report: What was seen of the work.
        :param now_s: The present monotonic time, in seconds.
        """

    def record_load(self, upstream: str, report: LoadReport, now_s: float) -> None:
        """Take in what an upstream says of its load.

        :param upstream: The upstream's name.
        :param report: Its report.
        :param now_s: The present monotonic time, in seconds.
        """
