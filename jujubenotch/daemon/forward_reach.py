"""Finds which services an instance reaches no upstream of, and when it does again."""

import asyncio
import logging
import random
from dataclasses import dataclass, field

from jujubenotch.daemon.forward_state import ForwardState
from jujubenotch.daemon.forward_streams import StreamWatch, wait_for_instances
from jujubenotch.detour import (
    Helpers,
    Reach,
    choose_samples,
    needs_check,
    record_check,
    record_contact,
    record_failure,
    record_probe,
)
from jujubenotch.dispatch import Attempt, AttemptResult, TimeLimit, read_clock_s
from jujubenotch.forwarding import find_usable, read_boot_clock_s
from jujubenotch.logs import log_event
from jujubenotch.upstreams import keeps_connections

logger = logging.getLogger(__name__)

# The mean pause between two probes of a service that is out of reach.
PROBE_PAUSE_S = 0.4
# How old the list of instances may be when a service gets out of reach.
LIST_AGE_S = 5.0
LOST_CONTACT = frozenset({AttemptResult.CONNECT_FAILED, AttemptResult.SILENT})


@dataclass(kw_only=True)
class DetourWatch:
    """Which services an instance reaches, and which instances are of no help.

    :param streams: Knows the other instances.
    :param reaches: What is known of the paths to each service.
    :param tasks: The checks and probes in progress.
    :param time_limit: The time by which all calls of this instance must have ended.
    """

    state: ForwardState
    streams: StreamWatch
    data_centre: str
    reaches: dict[str, Reach] = field(default_factory=dict)
    helpers: Helpers = field(default_factory=Helpers)
    tasks: set[asyncio.Task] = field(default_factory=set)
    time_limit: TimeLimit = field(default_factory=TimeLimit)


def record_reach(watch: DetourWatch, attempt: Attempt) -> None:
    """Take up what the end of an attempt tells about the paths to its service.

    :param watch: The state of the watch; changed in place.
    :param attempt: The attempt, which has ended.
    """
    if attempt.origin is None:
        return
    service = attempt.origin.service
    reach = watch.reaches.setdefault(service, Reach())
    now_s = read_clock_s()
    if attempt.head_at_s:
        record_contact(reach, attempt.head_at_s)
    elif attempt.end in LOST_CONTACT:
        record_failure(reach, attempt.process.rpartition("@")[0], now_s)
        if needs_check(reach, now_s):
            reach.checked_s = now_s
            _start(watch, _check(watch, service))


def is_out_of_reach(watch: DetourWatch, service: str) -> bool:
    """Return whether this instance reaches no upstream of a service.

    :param watch: The state of the watch.
    :param service: The service.
    """
    reach = watch.reaches.get(service)
    return reach is not None and reach.is_lost


def _start(watch, coroutine):
    task = asyncio.create_task(coroutine)
    watch.tasks.add(task)
    task.add_done_callback(watch.tasks.discard)


async def _check(watch, service):
    """Connect to several upstreams of a service at once."""
    upstreams = _find_usable(watch, service)
    samples = choose_samples(upstreams, [random.random() for _ in upstreams])
    results = await asyncio.gather(
        *(keeps_connections(f"http://{each.address}") for each in samples)
    )
    reach = watch.reaches[service]
    was_lost = reach.is_lost
    record_check(reach, tried=len(results), reached=sum(results), now_s=read_clock_s())
    log_event(
        logger,
        logging.WARNING if reach.is_lost else logging.INFO,
        "upstreams-lost" if reach.is_lost else "upstreams-reached",
        service=service,
        tried=len(results),
        reached=sum(results),
        listed=len(upstreams),
        failed=sorted(reach.failed_s),
    )
    if reach.is_lost and not was_lost:
        _start(watch, _probe(watch, service))
        _check_others(watch)
        watch.streams.wants_all = True
        await wait_for_instances(watch.streams, LIST_AGE_S)


def _check_others(watch):
    """Check the other services, as one cut may affect all."""
    listed = watch.state.listing.upstreams.values()
    for service in {each.listed.service for each in listed}:
        reach = watch.reaches.setdefault(service, Reach())
        if not reach.is_lost:
            _start(watch, _check(watch, service))


def _find_usable(watch, service):
    return find_usable(watch.state.listing, service, read_boot_clock_s())


async def _probe(watch, service):
    """Connect to one upstream at a time until the service is in reach again."""
    reach = watch.reaches[service]
    lost_s = reach.lost_s
    while reach.is_lost:
        await asyncio.sleep(PROBE_PAUSE_S * random.uniform(0.5, 1.5))
        upstreams = _find_usable(watch, service)
        if not upstreams:
            continue
        upstream = random.choice(upstreams)
        is_reached = await keeps_connections(f"http://{upstream.address}")
        now_s = read_clock_s()
        if record_probe(reach, is_reached=is_reached, now_s=now_s):
            log_event(
                logger,
                logging.INFO,
                "upstreams-regained",
                service=service,
                upstream=upstream.name,
                lost_for_s=round(now_s - lost_s, 3),
            )
