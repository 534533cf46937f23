"""Registers an instance in the platform's store, where its neighbours find it."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from jujubenotch.daemon.forward_messages import receive_message
from jujubenotch.daemon.forward_parts import PlatformComponents
from jujubenotch.daemon.forward_relay import Relay
from jujubenotch.daemon.forward_state import ForwardState
from jujubenotch.forwarding import SourceError
from jujubenotch.logs import log_event
from jujubenotch.membership import list_neighbours, record_listed
from jujubenotch.neighbours import Message, MessageKind, open_endpoint
from jujubenotch.sockets import ListenerError

logger = logging.getLogger(__name__)

FIRST_REGISTRATION_PAUSE_S = 0.5
MAX_REGISTRATION_PAUSE_S = 10.0
# How often the era of the store is compared with that of the registration.
ERA_CHECK_INTERVAL_S = 5.0


async def run_relay(relay: Relay, components: PlatformComponents) -> None:
    """Open the endpoint, register with the neighbours, and again in each new era.

    Does not register where a change must be in force sooner than the reader's role
    passes on from a failed instance.

    :param relay: The relay; changed in place.
    :param components: The components that are specific to the platform.
    """
    address = relay.instance.settings.neighbours
    if address is None:
        return
    is_registering = relay.is_registering
    await relay.instance.state.loaded.wait()
    try:
        relay.endpoint = await open_endpoint(
            address.host,
            address.port,
            lambda sender, message: receive_message(relay, sender, message),
        )
    except ListenerError as error:
        log_event(logger, logging.ERROR, "neighbours-unavailable", error=str(error))
        _end_registering(relay)
        return
    try:
        if is_registering:
            await _stay_registered(relay, components.registry)
        await asyncio.Event().wait()
    finally:
        relay.endpoint.close()


async def _stay_registered(relay, registry):
    while True:
        await repeat_until_confirmed(
            lambda: _register_first(relay, registry), "registration-failed"
        )
        await wait_for_new_era(relay.instance.state, relay.registered_era)


def _end_registering(relay):
    relay.is_registering = False
    for followed in relay.followed.values():
        followed.recheck.set()


async def _register_first(relay, registry):
    """Register once; from then on this instance follows the sources in any case."""
    try:
        await _register(relay, registry)
    finally:
        _end_registering(relay)


async def repeat_until_confirmed(
    call: Callable[[], Awaitable[None]], event: str
) -> None:
    """Repeat a call to the store, with pauses, until it succeeds.

    :param call: Makes the call; raises ``SourceError`` when it fails.
    :param event: The name of the log line for each failure.
    """
    pause_s = FIRST_REGISTRATION_PAUSE_S
    while True:
        try:
            await call()
            return
        except SourceError as error:
            log_event(logger, logging.WARNING, event, error=str(error))
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(MAX_REGISTRATION_PAUSE_S, 2 * pause_s)


async def wait_for_new_era(state: ForwardState, era: int | None) -> None:
    """Wait until the store was restored from a copy.

    :param state: The instance's state.
    :param era: The era in which this instance has registered.
    """
    while state.listing_progress.era == era:
        await asyncio.sleep(ERA_CHECK_INTERVAL_S)


async def _register(relay, registry):
    era = relay.instance.state.listing_progress.era
    data_centre = relay.instance.settings.data_centre
    own_address = relay.neighbours.own_address
    # The instance writes its own row before it reads the list. Of two instances that
    # register at the same time, at least one therefore finds the other and greets it.
    await registry.add_instance(data_centre, own_address, relay.instance.incarnation)
    listed = await registry.list_instances(data_centre)
    record_listed(
        relay.neighbours,
        listed,
        own_incarnation=relay.instance.incarnation,
        data_centre=data_centre,
        neighbours_in=data_centre,
        now_s=asyncio.get_running_loop().time(),
    )
    relay.registered_era = era
    relay.neighbours.is_registered = True
    neighbours = list_neighbours(relay.neighbours)
    relay.endpoint.send(Message(kind=MessageKind.HELLO), neighbours)
    log_event(
        logger,
        logging.INFO,
        "neighbours-registered",
        neighbours=len(neighbours),
        era=era,
    )
