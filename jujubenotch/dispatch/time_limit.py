"""Ends the calls of an instance that stops while callers can still be answered."""

import asyncio
import contextlib
import math
from dataclasses import dataclass, field, replace

from jujubenotch.dispatch.call import Call


@dataclass(kw_only=True)
class TimeLimit:
    """The time by which all calls must have ended, whatever their own deadlines.

    :param at_s: The monotonic time, in seconds.
    :param timeouts: The timeouts of the waits in progress.

    >>> TimeLimit().at_s
    inf
    """

    at_s: float = math.inf
    timeouts: set[asyncio.Timeout] = field(default_factory=set)


@contextlib.asynccontextmanager
async def limit_wait(limit: TimeLimit, deadline_s: float):
    """Bound a wait by a deadline, and by the limit even if that is set later.

    :param limit: The limit.
    :param deadline_s: The monotonic time of the deadline, in seconds.
    :raises TimeoutError: The earlier of both has come.
    """
    async with asyncio.timeout_at(min(deadline_s, limit.at_s)) as timeout:
        limit.timeouts.add(timeout)
        try:
            yield
        finally:
            limit.timeouts.discard(timeout)


def set_limit(limit: TimeLimit, at_s: float) -> None:
    """Set the limit, also for the waits in progress.

    :param limit: The limit; changed in place.
    :param at_s: The monotonic time, in seconds.
    """
    limit.at_s = at_s
    for timeout in limit.timeouts:
        if not timeout.expired() and timeout.when() > at_s:
            timeout.reschedule(at_s)


def bound_deadline(limit: TimeLimit, call: Call) -> Call:
    """Return a call whose deadline, which upstreams are told, is within the limit.

    :param limit: The limit.
    :param call: The call.
    """
    if limit.at_s >= call.caller_deadline_s:
        return call
    return replace(call, caller_deadline_s=limit.at_s)
