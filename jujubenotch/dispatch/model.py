"""The dispatcher's state and the interfaces that it depends on."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from jujubenotch.dispatch.attempt_state import Attempt
from jujubenotch.dispatch.call import Answer, Call, Progress, Sink
from jujubenotch.dispatch.meter import Meter, NoMeter
from jujubenotch.dispatch.process_check import ProcessChecks
from jujubenotch.dispatch.protocol import OPENAI_PROTOCOL, UpstreamProtocol
from jujubenotch.dispatch.service_silence import ServiceSilence
from jujubenotch.dispatch.shared_budget import RetryEnd
from jujubenotch.dispatch.silence import ExchangeRegistry
from jujubenotch.dispatch.time_limit import TimeLimit
from jujubenotch.outcomes import Refusal
from jujubenotch.records import Configuration
from jujubenotch.streams import StreamOrigin
from jujubenotch.upstreams import UpstreamConnections
from jujubenotch.work import Grant, SlotProvider, UpstreamNotice, WorkReport


class Claims(Protocol):
    """The operations on at-most-once claims that the dispatcher uses."""

    async def look_up(self, call: Call) -> Answer | None:
        """Look up the outcome of an earlier call with the same idempotency key.

        :param call: The call.
        :returns: The recorded response, the response of a refusal, or ``None``
            when the call may be claimed.
        """

    async def claim(self, call: Call) -> Answer | None:
        """Claim the call.

        :param call: The call.
        :returns: ``None`` when this call has taken the claim and may be sent;
            otherwise the response for the caller.
        """

    def finish(self, call: Call, answer: Answer) -> None:
        """Record the outcome of a claimed call without blocking."""


class Observer(Protocol):
    """Receives the steps of each call, for metrics and traces."""

    def record(self, request_id: str, event: str, **fields) -> None:
        """Add an event to the request's trace."""

    def count_retry(self, reason: str) -> None:
        """Count one retry."""

    def count_end(self, call: Call, answer: Answer, report: WorkReport | None) -> None:
        """Count the outcome of a call."""


def _ignore(target, now_s):
    """Ignore a request that earns no retry."""


def _ignore_retry(target, end, now_s):
    """Ignore what became of a retry."""


def _describe_nothing(target, now_s):
    return {}


@dataclass(frozen=True, kw_only=True)
class RetryBudget:
    """The retry budget's operations.

    All take the target and the present monotonic time in seconds.

    :param may_retry: Spends one retry, if the budget allows it.
    :param record_request: Called for each request of a caller.
    :param record_success: Called for each request that was completed.
    :param record_retry_end: Called once for each retry that was allowed.
    :param describe: Returns the figures of the budget, for the log.
    """

    may_retry: Callable[[str, float], bool]
    record_request: Callable[[str, float], None] = _ignore
    record_success: Callable[[str, float], None] = _ignore
    record_retry_end: Callable[[str, RetryEnd, float], None] = _ignore_retry
    describe: Callable[[str, float], dict[str, float]] = _describe_nothing


async def _is_never_replaced(upstream):
    return False


async def _find_no_origin(call):
    return None


async def _send_directly(call, progress, sink):
    return None


@dataclass(kw_only=True)
class Dispatcher:
    """The dependencies of the calls of one instance, and the calls in progress.

    :param read_configuration: Returns the configuration in force.
    :param exchange_registry: The exchanges in progress with upstreams.
    :param protocol: The protocol of the upstreams.
    :param claims: Makes sure that a call with an idempotency key runs at most
        once; ``None`` when no call has a key.
    :param record_response_start: Called when the response to a granted request
        begins, with the present monotonic time in seconds.
    :param record_first_event: Called before the first event of a granted request's
        stream is forwarded, with the present monotonic time in seconds.
    :param record_notice: Called with the upstream's name and what it states about
        itself in the head of a response.
    :param identify_process: Returns a name for the process that an upstream's name
        stands for at present.
    :param is_replaced: Asks an upstream whether another process has its name now than
        the one that the list shows.
    :param find_block: Returns a refusal for a call that may not be sent to any
        upstream, although upstreams are available.
    :param find_stream_origin: Finds where the stream began that a call resumes; returns
        a refusal when that isn't known, and ``None`` when it doesn't matter.
    :param send_elsewhere: Sends a call by way of another instance if this one reaches
        no upstream of its service; else returns ``None``.
    :param record_stream_start: Called with a call and the origin of its stream before
        the first event is forwarded.
    :param record_attempt: Called with the call and its attempt when the attempt has
        ended.
    :param is_out_of_reach: Tells whether this instance reaches no upstream of a
        service.
    :param service_silence: When each service was last heard of.
    :param process_checks: Tells processes that stand still; ``None`` where silent
        streams are left without a check.
    :param record_standstill: Called with the grant of a stream whose upstream's process
        stands still, and the present monotonic time in seconds.
    :param meter: Counts what calls ask of services.
    :param in_progress: The tasks of the calls that have not ended.
    :param time_limit: The time by which all calls must have ended.

    >>> Dispatcher.__name__
    'Dispatcher'
    """

    capacity: SlotProvider
    connections: UpstreamConnections
    observer: Observer
    retry_budget: RetryBudget
    read_configuration: Callable[[], Configuration]
    exchange_registry: ExchangeRegistry
    protocol: UpstreamProtocol = OPENAI_PROTOCOL
    claims: Claims | None = None
    record_response_start: Callable[[Grant, float], None] = lambda grant, now_s: None
    record_first_event: Callable[[Grant, float], None] = lambda grant, now_s: None
    record_notice: Callable[[str, UpstreamNotice], None] = lambda upstream, notice: None
    identify_process: Callable[[str], str] = lambda upstream: upstream
    is_replaced: Callable[[str], Awaitable[bool]] = _is_never_replaced
    find_block: Callable[[Call], Refusal | None] = lambda call: None
    find_stream_origin: Callable[[Call], Awaitable[StreamOrigin | Refusal | None]] = (
        _find_no_origin
    )
    send_elsewhere: Callable[[Call, Progress, Sink], Awaitable[Answer | None]] = (
        _send_directly
    )
    record_stream_start: Callable[[Call, StreamOrigin], None] = lambda call, origin: (
        None
    )
    record_attempt: Callable[[Call, Attempt], None] = lambda call, attempt: None
    is_out_of_reach: Callable[[str], bool] = lambda service: False
    service_silence: ServiceSilence = field(default_factory=ServiceSilence)
    process_checks: ProcessChecks | None = None
    record_standstill: Callable[[Grant, float], None] = lambda grant, now_s: None
    meter: Meter = field(default_factory=NoMeter)
    in_progress: set[asyncio.Task] = field(default_factory=set)
    time_limit: TimeLimit = field(default_factory=TimeLimit)
