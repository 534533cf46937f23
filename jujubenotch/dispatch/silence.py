"""Stops waiting for non-streamed responses of an upstream that sends nothing.

An upstream may need a long time before it sends the first byte of a non-streamed
response. A stream must send events regularly. When a stream of an upstream stays
silent beyond the idle timeout, the idempotent requests that wait for a
non-streamed response of the same upstream are therefore ended as well.
"""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass, field

from jujubenotch.dispatch.attempt_state import Attempt, read_clock_s
from jujubenotch.dispatch.call import Call
from jujubenotch.dispatch.decide import AttemptResult


@dataclass(kw_only=True)
class ExchangeRegistry:
    """The exchanges in progress at one instance, by upstream.

    :param idle_timeout_s: How long a stream may send nothing, in seconds.
    :param streams: The attempts that forward a stream, by object identity.
    :param waits: The timeouts of the idempotent calls that wait for a
        non-streamed response, each with the monotonic time at which its call was
        sent, in seconds.

    >>> ExchangeRegistry(idle_timeout_s=2.0).waits
    {}
    """

    idle_timeout_s: float
    streams: dict[str, dict[int, Attempt]] = field(default_factory=dict)
    waits: dict[str, dict[asyncio.Timeout, float]] = field(default_factory=dict)


async def watch_exchange(
    exchange_registry: ExchangeRegistry,
    upstream: str,
    call: Call,
    attempt: Attempt,
    work: Awaitable[None],
) -> None:
    """Run an exchange, and end it when a stream shows that the upstream is silent.

    A call that is neither streamed nor idempotent is not ended early, because
    it may not be sent again.

    :param exchange_registry: The exchanges in progress.
    :param upstream: The upstream's name.
    :param call: The call.
    :param attempt: The attempt; ended as ``SILENT`` when a stream shows that the
        upstream is silent.
    :param work: The exchange itself, which sets the attempt's end.
    """
    if call.is_stream:
        await _watch_stream(exchange_registry, upstream, attempt, work)
    elif call.is_idempotent:
        await _watch_wait(exchange_registry, upstream, attempt, work)
    else:
        await work


def end_silent_waits(
    exchange_registry: ExchangeRegistry, upstream: str, now_s: float
) -> None:
    """End the waits for non-streamed responses of an upstream that is silent.

    Nothing is ended while another stream of the upstream still receives events,
    and each call may wait for at least the idle timeout after it was sent.

    :param exchange_registry: The exchanges in progress.
    :param upstream: An upstream on which a stream has just timed out as silent.
    :param now_s: The present monotonic time, in seconds.
    """
    idle_timeout_s = exchange_registry.idle_timeout_s
    streams = exchange_registry.streams.get(upstream, {}).values()
    # A single connection may be lost while the upstream itself still works.
    if any(now_s - each.last_token_at_s < idle_timeout_s for each in streams):
        return
    for timeout, sent_at_s in exchange_registry.waits.get(upstream, {}).items():
        timeout.reschedule(max(now_s, sent_at_s + idle_timeout_s))


async def _watch_stream(exchange_registry, upstream, attempt, work):
    streams = exchange_registry.streams.setdefault(upstream, {})
    streams[id(attempt)] = attempt
    try:
        await work
    finally:
        del streams[id(attempt)]
    if attempt.end is AttemptResult.SILENT:
        end_silent_waits(exchange_registry, upstream, read_clock_s())


async def _watch_wait(exchange_registry, upstream, attempt, work):
    waits = exchange_registry.waits.setdefault(upstream, {})
    try:
        async with asyncio.timeout(None) as timeout:
            waits[timeout] = attempt.sent_at_s
            try:
                await work
            finally:
                del waits[timeout]
    except TimeoutError:
        attempt.end = AttemptResult.SILENT
