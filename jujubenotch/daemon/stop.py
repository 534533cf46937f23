"""Stops an instance in order: no request in progress is cut off."""

import asyncio
import logging

from jujubenotch.daemon.parts import Instance
from jujubenotch.dispatch import wait_until_idle
from jujubenotch.listeners import stop_listener
from jujubenotch.logs import log_event
from jujubenotch.upstreams import close_connections

logger = logging.getLogger(__name__)

# Long enough for each peer to hear of the leaving and to ask another coordinator.
LEAVING_NOTICE_S = 0.5
# For callers that read their last answer slowly or not at all.
LAST_ANSWERS_TIMEOUT_S = 30.0
# For outcomes that the platform does not take now.
LAST_OUTCOMES_TIMEOUT_S = 30.0


async def stop_instance(instance: Instance) -> None:
    """Take nothing new, wait for the requests in progress, and end.

    :param instance: The running instance.
    """
    log_event(logger, logging.INFO, "instance-stopping")
    instance.stopping.set()
    instance.capacity.begin_leaving()
    # Callers that the balancer still sends here are refused, not cut off.
    await asyncio.sleep(LEAVING_NOTICE_S)
    await _wait_for_requests(instance)
    await asyncio.gather(
        *(
            stop_listener(listener, LAST_ANSWERS_TIMEOUT_S)
            for listener in instance.listeners
        )
    )
    await _wait_for_outcomes(instance)
    if instance.dispatcher.capacity is not instance.capacity:
        await instance.dispatcher.capacity.close()
    await instance.capacity.close()
    for task in instance.tasks:
        task.cancel()
    await asyncio.gather(*instance.tasks, return_exceptions=True)
    await close_connections(instance.connections)
    await instance.keeper.platform.close()
    log_event(logger, logging.INFO, "instance-stopped")


async def _wait_for_outcomes(instance):
    try:
        async with asyncio.timeout(LAST_OUTCOMES_TIMEOUT_S):
            await instance.claims.close()
    except TimeoutError:
        # Their claims stay held, so that no repeat is sent a second time.
        log_event(logger, logging.ERROR, "outcomes-not-recorded")


async def _wait_for_requests(instance):
    bound_s = instance.settings.shutdown.max_wait_s or None
    try:
        async with asyncio.timeout(bound_s):
            await wait_until_idle(instance.dispatcher)
    except TimeoutError:
        log_event(
            logger,
            logging.ERROR,
            "requests-cut-off",
            requests=len(instance.dispatcher.in_progress),
            max_wait_s=bound_s,
        )
