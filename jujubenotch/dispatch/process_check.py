"""Finds out whether the process of a silent upstream works or stands still.

A stream that leaves its upstream closes its connection there. A process that stands
still learns of that only when it goes on, and until then holds the stream, while
another upstream works on it as well.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from jujubenotch.logs import log_event
from jujubenotch.records import Upstream
from jujubenotch.upstreams import ProcessState

logger = logging.getLogger(__name__)

# How long a result tells the state of a process.
MAX_AGE_S = 0.6


@dataclass(frozen=True, kw_only=True)
class CheckResult:
    """What a check has shown.

    :param checked_s: When the check ended, monotonic, in seconds.
    """

    state: ProcessState
    checked_s: float


@dataclass(kw_only=True)
class ProcessChecks:
    """The checks of processes in progress, and their latest results.

    :param check: Checks the process of an upstream.
    :param results: The latest result of each process.
    :param tasks: The check in progress of each process.

    >>> ProcessChecks(check=None).results
    {}
    """

    check: Callable[[Upstream], Awaitable[ProcessState]]
    results: dict[str, CheckResult] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task] = field(default_factory=dict)


def find_state(
    checks: ProcessChecks, process: str, now_s: float
) -> ProcessState | None:
    """Return what the latest check of a process has shown.

    :param checks: The checks.
    :param process: The name of the process.
    :param now_s: The present monotonic time, in seconds.
    :returns: The state; ``None`` when the process was not checked lately.
    """
    result = checks.results.get(process)
    if result is None or now_s - result.checked_s > MAX_AGE_S:
        return None
    return result.state


def start_check(checks: ProcessChecks, upstream: Upstream, process: str) -> None:
    """Start to check a process, unless that is in progress.

    :param checks: The checks; changed in place.
    :param upstream: The upstream.
    :param process: The name of its process.
    """
    if process not in checks.tasks:
        task = asyncio.create_task(_run_check(checks, upstream, process))
        checks.tasks[process] = task


async def _run_check(checks, upstream, process):
    try:
        state = await checks.check(upstream)
    finally:
        del checks.tasks[process]
    now_s = asyncio.get_running_loop().time()
    checks.results = {
        name: result
        for name, result in checks.results.items()
        if now_s - result.checked_s <= MAX_AGE_S
    }
    checks.results[process] = CheckResult(state=state, checked_s=now_s)
    log_event(
        logger, logging.INFO, "process-checked", upstream=upstream.name, state=state
    )
