"""Ends an exchange whose upstream is silent, unless it is better to wait on."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from jujubenotch.upstreams import SilentUpstreamError

# How often an exchange that stays at a silent upstream is checked again. After all
# upstreams were silent, each has this long to send its next event.
RECHECK_S = 0.5
# How long before the limit an exchange is prepared to end.
PREPARATION_S = 0.5


@dataclass(kw_only=True)
class SilenceLimit:
    """How long an upstream has been silent.

    :param heard_s: The monotonic time at which the upstream last sent something, or
        was sent the request, in seconds.
    :param is_paused: Whether the caller receives what the upstream has sent, which
        takes as long as the caller takes.
    :param timeout: Ends the exchange; ``None`` without a limit.
    """

    heard_s: float
    is_paused: bool = False
    timeout: asyncio.Timeout | None = None


@dataclass(frozen=True, kw_only=True)
class Leaving:
    """How an exchange leaves its upstream for silence.

    :param prepare: Called shortly before the limit passes.
    :param decide: Called when the limit has passed, and again later if the exchange
        goes on; returns whether it ends.
    """

    prepare: Callable[[], None] = lambda: None
    decide: Callable[[], bool] = lambda: True


def pause_limit(limit: SilenceLimit) -> None:
    """Let the limit not end the exchange from now on, also if it has just passed.

    What is sent to the caller must not be interrupted: a part of it may have been
    sent, and would be sent again.

    :param limit: The limit; changed in place.
    """
    limit.is_paused = True
    if limit.timeout is not None and not limit.timeout.expired():
        limit.timeout.reschedule(None)


def resume_limit(limit: SilenceLimit, now_s: float) -> None:
    """Let the limit count from now on.

    :param limit: The limit; changed in place.
    :param now_s: The present monotonic time, in seconds.
    """
    limit.is_paused = False
    limit.heard_s = now_s


@asynccontextmanager
async def limit_silence(
    max_silence_s: float | None, leaving: Leaving
) -> AsyncIterator[SilenceLimit]:
    """End the enclosed exchange when its upstream is silent for too long.

    :param max_silence_s: The longest silence, in seconds; ``None`` means no limit.
    :param leaving: What happens at the limit.
    :returns: A context manager that yields what the exchange has to keep up to date.
    :raises SilentUpstreamError: The upstream was silent for too long.
    """
    loop = asyncio.get_running_loop()
    limit = SilenceLimit(heard_s=loop.time())
    if max_silence_s is None:
        yield limit
        return
    try:
        async with asyncio.timeout(None) as timeout:
            limit.timeout = timeout
            timer = None

            def check():
                nonlocal timer
                now_s = loop.time()
                limit_s = limit.heard_s + max_silence_s
                if limit.is_paused:
                    next_s = now_s + max_silence_s
                elif now_s < limit_s - PREPARATION_S:
                    next_s = limit_s - PREPARATION_S
                elif now_s < limit_s:
                    leaving.prepare()
                    next_s = limit_s
                else:
                    next_s = now_s + RECHECK_S
                    if leaving.decide():
                        timeout.reschedule(now_s)
                timer = loop.call_at(next_s, check)

            timer = loop.call_at(limit.heard_s + max_silence_s - PREPARATION_S, check)
            try:
                yield limit
            finally:
                timer.cancel()
                # The function refers to itself, and to all that the exchange holds,
                # which otherwise only a garbage collection would free.
                check = None
    except TimeoutError as error:
        raise SilentUpstreamError(f"nothing for {max_silence_s} s") from error
