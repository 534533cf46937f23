"""What the dispatcher works with, and the calls in progress."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from jujubenotch.dispatch.call import Answer, Call
from jujubenotch.dispatch.protocol import OPENAI_PROTOCOL, UpstreamProtocol
from jujubenotch.dispatch.silence import Exchanges
from jujubenotch.records import Configuration
from jujubenotch.upstreams import UpstreamConnections
from jujubenotch.work import Capacity, WorkReport


class Claims(Protocol):
    """At-most-once claims, as the dispatcher uses them."""

    async def look_up(self, call: Call) -> Answer | None:
        """Return the recorded answer, a refusal's answer, or ``None``."""

    async def take(self, call: Call) -> Answer | None:
        """Claim the call; ``None`` when it is this attempt's to send."""

    def finish(self, call: Call, answer: Answer) -> None:
        """Record the outcome of a claimed call; never blocks."""


class Observer(Protocol):
    """What is told of each step, for metrics and traces."""

    def record(self, request_id: str, event: str, **fields) -> None:
        """Add an event to the request's trace."""

    def count_retry(self, reason: str) -> None:
        """Count one retry."""

    def count_end(self, call: Call, answer: Answer, report: WorkReport | None) -> None:
        """Count the outcome of a call."""


@dataclass(frozen=True, kw_only=True)
class RetryBudget:
    """The retry budget's two operations, by target, at a time in seconds."""

    may_retry: Callable[[str, float], bool]
    record_success: Callable[[str, float], None]


@dataclass(kw_only=True)
class Dispatcher:
    """What running a call needs, and the calls in progress.

    :param read_configuration: Returns the configuration in force.
    :param exchanges: The exchanges with upstreams in progress.
    :param protocol: What upstreams speak.
    :param claims: Keeps keyed calls to one run; ``None`` where no call has a
        key.
    :param in_progress: The tasks of the calls that run now.

    >>> Dispatcher.__name__
    'Dispatcher'
    """

    capacity: Capacity
    connections: UpstreamConnections
    observer: Observer
    retry_budget: RetryBudget
    read_configuration: Callable[[], Configuration]
    exchanges: Exchanges
    protocol: UpstreamProtocol = OPENAI_PROTOCOL
    claims: Claims | None = None
    in_progress: set[asyncio.Task] = field(default_factory=set)
