"""Periodic tasks: read the instance list, maintain links, poll upstreams' load."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from jujubenotch.capacity.peered_model import PeeredState, PeerLink
from jujubenotch.capacity.pool_runner import apply_load_report
from jujubenotch.capacity.refresh import refresh
from jujubenotch.capacity.sessions import broadcast_heartbeat
from jujubenotch.logs import log_event
from jujubenotch.membership import (
    apply_platform_list,
    choose_session_peers,
    list_own_leaving_reports,
    record_upstream_report,
)
from jujubenotch.peers import LinkCallbacks, OutgoingLink, run_outgoing_link

REFRESH_INTERVAL_S = 0.05
LINKS_INTERVAL_S = 0.2
LIST_INTERVAL_S = 1.0
LIST_TIMEOUT_S = 2.0
LOAD_INTERVAL_S = 0.5
LOAD_TIMEOUT_S = 1.0

logger = logging.getLogger(__name__)


async def run_every(
    interval_s: float, name: str, work: Callable[[], Awaitable[None]]
) -> None:
    """Call a function repeatedly until cancelled; its errors are only logged.

    :param interval_s: The pause between two calls, in seconds.
    :param name: The name of the task in the logs.
    :param work: The function to call.
    """
    while True:
        try:
            await work()
        except Exception as error:
            log_event(
                logger, logging.WARNING, "poll-failed", name=name, cause=repr(error)
            )
        await asyncio.sleep(interval_s)


async def refresh_once(state: PeeredState) -> None:
    """Refresh the instance's state at the current time.

    :param state: The instance's state.
    """
    refresh(state, state.dependencies.read_clock_s())


async def read_list_once(state: PeeredState) -> None:
    """Read the platform's list; the previous one stays valid if this fails.

    :param state: The instance's state.
    """
    async with asyncio.timeout(LIST_TIMEOUT_S):
        listed = await state.dependencies.list_instances()
    now_s = state.dependencies.read_clock_s()
    apply_platform_list(state.membership, listed, now_s)
    refresh(state, now_s)


async def update_links_once(state: PeeredState, callbacks: LinkCallbacks) -> None:
    """Start missing links and end links that are no longer needed.

    :param state: The instance's state.
    :param callbacks: The callbacks and settings that all links share.
    """
    members = state.membership.members
    wanted = choose_session_peers(state.membership)
    for name in state.links.keys() - set(wanted):
        await _end_link(state, name)
    for name in wanted:
        member = members[name]
        if name not in state.links:
            link = OutgoingLink(name=name, host=member.host, port=member.port)
            task = asyncio.create_task(run_outgoing_link(link, callbacks))
            state.links[name] = PeerLink(link=link, task=task)
        state.links[name].link.host = member.host
        state.links[name].link.port = member.port


async def poll_loads_once(state: PeeredState) -> None:
    """Start reading the load of each upstream whose slots are granted here.

    :param state: The instance's state.
    """
    for group in state.client.groups.values():
        if group.source.link is not None and group.name not in state.coordinator.groups:
            continue
        for upstream in state.client.plans.by_name[group.name].upstreams:
            if upstream.name not in state.load_tasks:
                task = asyncio.create_task(_poll_load(state, group.name, upstream))
                state.load_tasks[upstream.name] = task


async def _poll_load(state, group, upstream):
    try:
        async with asyncio.timeout(LOAD_TIMEOUT_S):
            load = await state.dependencies.read_load(upstream)
        _handle_load_report(state, group, upstream, load)
    except Exception as error:
        log_event(
            logger,
            logging.DEBUG,
            "load-report-failed",
            upstream=upstream.name,
            cause=repr(error),
        )
    finally:
        state.load_tasks.pop(upstream.name, None)


def _handle_load_report(state, group, upstream, load):
    now_s = state.dependencies.read_clock_s()
    for coordinator in (state.coordinator, state.fallback):
        apply_load_report(coordinator.pool_runner, group, upstream.name, load, now_s)
    previous = list_own_leaving_reports(state.membership, now_s)
    record_upstream_report(
        state.membership, upstream.name, is_leaving=load.is_leaving, now_s=now_s
    )
    if list_own_leaving_reports(state.membership, now_s) != previous:
        refresh(state, now_s)
        broadcast_heartbeat(state)


async def _end_link(state, name):
    task = state.links[name].task
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    del state.links[name]
    refresh(state, state.dependencies.read_clock_s())
