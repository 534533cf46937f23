"""Stops an instance once its requests have ended or the maximum wait has passed."""

import asyncio
import logging

from jujubenotch.daemon.parts import Instance
from jujubenotch.dispatch import wait_until_idle
from jujubenotch.listeners import stop_listener
from jujubenotch.logs import log_event
from jujubenotch.upstreams import close_connections

logger = logging.getLogger(__name__)

# Within this time each peer learns that this instance is leaving, and sends its
# requests for capacity to another coordinator.
LEAVING_NOTICE_S = 0.5
# Bounds the wait for callers that read their last response slowly or not at all.
LAST_RESPONSES_TIMEOUT_S = 30.0
# Bounds the wait for outcomes of requests that can't be recorded while the
# platform is unavailable.
LAST_OUTCOMES_TIMEOUT_S = 30.0


async def stop_instance(instance: Instance) -> None:
    """Refuse new requests, wait for the requests in progress and close all components.

    :param instance: The running instance.
    """
    log_event(logger, logging.INFO, "instance-stopping")
    instance.stopping.set()
    instance.capacity.announce_shutdown()
    # The listeners stay open, so that callers whom the load balancer still sends
    # here get a refusal instead of a connection error.
    await asyncio.sleep(LEAVING_NOTICE_S)
    await _wait_for_requests(instance)
    await asyncio.gather(
        *(
            stop_listener(listener, LAST_RESPONSES_TIMEOUT_S)
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
    await instance.follower.platform.close()
    log_event(logger, logging.INFO, "instance-stopped")


async def _wait_for_outcomes(instance):
    try:
        async with asyncio.timeout(LAST_OUTCOMES_TIMEOUT_S):
            await instance.claims.close()
    except TimeoutError:
        # The claims of these requests stay held, so that no repeated request is
        # sent to an upstream a second time.
        log_event(logger, logging.ERROR, "outcomes-not-recorded")


async def _wait_for_requests(instance):
    max_wait_s = instance.settings.shutdown.max_wait_s or None
    try:
        async with asyncio.timeout(max_wait_s):
            await wait_until_idle(instance.dispatcher)
    except TimeoutError:
        log_event(
            logger,
            logging.ERROR,
            "requests-cut-off",
            requests=len(instance.dispatcher.in_progress),
            max_wait_s=max_wait_s,
        )
