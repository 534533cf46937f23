"""Counts and finds the other instances, while that is needed."""

import asyncio
import logging

from jujubenotch.daemon.forward_parts import Directory, PlatformComponents
from jujubenotch.daemon.forward_registration import (
    repeat_until_confirmed,
    wait_for_new_era,
)
from jujubenotch.daemon.forward_relay import Relay
from jujubenotch.forwarding import SourceError
from jujubenotch.logs import log_event
from jujubenotch.neighbours import Message, MessageKind

logger = logging.getLogger(__name__)

COUNT_INTERVAL_S = 10.0
# Instances that start together see few of the others at first.
FIRST_COUNT_INTERVAL_S = 1.0
REGISTRATION_CHECK_S = 0.1
MIN_LIST_INTERVAL_S = 1.0


async def stay_counted(relay: Relay, components: PlatformComponents) -> None:
    """Add this instance to the directory, and again in each new era of the store.

    Instances that share pages are counted by their neighbours.

    :param relay: The relay.
    :param components: The components that are specific to the platform.
    """
    if relay.is_registering:
        return
    state = relay.instance.state
    settings = relay.instance.settings
    await state.loaded.wait()
    while True:
        era = state.listing_progress.era
        await repeat_until_confirmed(
            lambda: components.directory.add_instance(
                settings.name,
                settings.data_centre,
                relay.neighbours.own_address,
                relay.instance.incarnation,
            ),
            "instance-not-listed",
        )
        await wait_for_new_era(state, era)


async def keep_count(relay: Relay, components: PlatformComponents) -> None:
    """Count the instances at the start, and again while their number is wanted.

    :param relay: The relay; the instance's count is changed in place.
    :param components: The components that are specific to the platform.
    """
    count = relay.instance.instance_count
    shares_pages = relay.is_registering
    interval_s = FIRST_COUNT_INTERVAL_S
    await relay.instance.state.loaded.wait()
    while True:
        # An instance that shares pages isn't in the directory. It learns of the others
        # when it registers.
        while shares_pages and not relay.neighbours.is_registered:
            await asyncio.sleep(REGISTRATION_CHECK_S)
        await _count(relay, components, count)
        await asyncio.sleep(interval_s)
        interval_s = min(2 * interval_s, COUNT_INTERVAL_S)
        if count.is_known and not shares_pages:
            count.wanted.clear()
            await count.wanted.wait()


async def _count(relay, components, count):
    before = count.value if count.is_known else None
    try:
        count.value = await _count_instances(relay, components.directory)
        count.is_known = True
    except SourceError as error:
        log_event(
            logger,
            logging.WARNING,
            "instances-not-counted",
            instances=count.value,
            error=str(error),
        )
    if count.is_known and count.value != before:
        log_event(
            logger,
            logging.INFO,
            "instances-counted",
            instances=count.value,
            before=before,
        )


async def _count_instances(relay: Relay, directory: Directory) -> int:
    if relay.neighbours.is_registered:
        data_centres = relay.instance.settings.all_data_centres
        return (len(relay.neighbours.addresses) + 1) * len(data_centres)
    return max(1, len(await directory.list_instances()))


async def keep_addresses(relay: Relay, components: PlatformComponents) -> None:
    """List the other instances when that is wanted, and greet them.

    :param relay: The relay; its neighbours are changed in place.
    :param components: The components that are specific to the platform.
    """
    watch = relay.instance.stream_watch
    while True:
        await watch.addresses_wanted.wait()
        # Instances that share pages know those of their data centre already.
        if not relay.is_active or watch.wants_all:
            await _add_listed(relay, components)
            watch.wants_all = False
        watch.listed_s = asyncio.get_running_loop().time()
        watch.addresses_known.set()
        watch.addresses_wanted.clear()
        await asyncio.sleep(MIN_LIST_INTERVAL_S)


async def _add_listed(relay, components):
    neighbours = relay.neighbours
    before = len(neighbours.listed)
    try:
        listed = await _list_instances(relay, components)
    except SourceError as error:
        log_event(
            logger,
            logging.WARNING,
            "instances-not-listed",
            neighbours=before,
            error=str(error),
        )
        return
    neighbours.listed = {
        each.address: each.data_centre
        for each in listed
        if each.address and each.address != neighbours.own_address
    }
    neighbours.are_versions_registered = all(each.incarnation for each in listed)
    if not relay.is_active:
        _greet_new(relay)
    log_event(
        logger,
        logging.INFO,
        "instances-listed",
        neighbours=len(neighbours.listed),
        before=before,
    )


def _greet_new(relay):
    """Add the listed instances, and let those that are new add this one.

    An instance that listed the others before this one had started does not know it.
    """
    neighbours = relay.neighbours
    new = set(neighbours.listed) - neighbours.addresses
    for address in new:
        neighbours.add(address)
    if new and relay.endpoint is not None:
        relay.endpoint.send(Message(kind=MessageKind.HELLO), new)


async def _list_instances(relay, components):
    if not relay.is_active:
        return await components.directory.list_instances()
    listed = []
    for data_centre in relay.instance.settings.all_data_centres:
        listed += await components.registry.list_instances(data_centre)
    return listed
