"""Counts the instances that share the upstreams, while an upstream names a limit."""

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

logger = logging.getLogger(__name__)

COUNT_INTERVAL_S = 10.0


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
            lambda: components.directory.add_instance(settings.name),
            "instance-not-listed",
        )
        await wait_for_new_era(state, era)


async def keep_count(relay: Relay, components: PlatformComponents) -> None:
    """Count the instances when an upstream names a limit, and while it does.

    :param relay: The relay; the instance's count is changed in place.
    :param components: The components that are specific to the platform.
    """
    count = relay.instance.instance_count
    while True:
        await count.wanted.wait()
        before = count.value
        try:
            count.value = await _count_instances(relay, components.directory)
        except SourceError as error:
            log_event(
                logger,
                logging.WARNING,
                "instances-not-counted",
                instances=count.value,
                error=str(error),
            )
        if count.value != before:
            log_event(
                logger,
                logging.INFO,
                "instances-counted",
                instances=count.value,
                before=before,
            )
        await asyncio.sleep(COUNT_INTERVAL_S)
        count.wanted.clear()


async def _count_instances(relay: Relay, directory: Directory) -> int:
    if relay.is_active:
        data_centres = relay.instance.settings.all_data_centres
        return (len(relay.neighbours.addresses) + 1) * len(data_centres)
    return max(1, await directory.count_instances())
