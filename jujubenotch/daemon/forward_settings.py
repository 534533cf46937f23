"""Applies changes of the settings while an instance runs."""

import asyncio
import logging
from collections.abc import Callable

from jujubenotch.daemon.forward_parts import ForwardingInstance, PlatformComponents
from jujubenotch.forwarding import interrupt_call
from jujubenotch.logs import log_event
from jujubenotch.settings import ForwarderSettings

logger = logging.getLogger(__name__)

# The settings file may change without a SIGHUP.
CHECK_INTERVAL_S = 2.0
# The other settings, such as the listeners' addresses and the instance's name, take
# effect at the next start.
RELOADABLE_SETTINGS = frozenset(
    {"store", "max_key_age_s", "grace_s", "retry_ratio", "retry_extra"}
)


async def watch_settings(
    instance: ForwardingInstance,
    components: PlatformComponents,
    reload_settings: Callable[[], ForwarderSettings],
) -> None:
    """Read the settings at regular intervals until this task is cancelled.

    The file may be read while it is being written, so its settings are applied
    only when two successive reads give the same settings.

    :param instance: The instance; changed in place.
    :param components: The components that are specific to the platform.
    :param reload_settings: Reads the settings.
    """
    previous = instance.last_read_settings
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        settings = _try_reload(instance, reload_settings)
        if settings is not None and settings == previous:
            apply_settings(instance, components, settings)
        previous = settings


def reload_now(
    instance: ForwardingInstance,
    components: PlatformComponents,
    reload_settings: Callable[[], ForwarderSettings],
) -> None:
    """Read the settings and apply them at once, on a SIGHUP.

    :param instance: The instance; changed in place.
    :param components: The components that are specific to the platform.
    :param reload_settings: Reads the settings.
    """
    settings = _try_reload(instance, reload_settings)
    if settings is not None:
        apply_settings(instance, components, settings)


def _try_reload(instance, reload_settings):
    try:
        settings = reload_settings()
    except Exception as error:
        reason = str(error)
        if reason != instance.settings_error:
            log_event(logger, logging.ERROR, "settings-rejected", error=reason)
        instance.settings_error = reason
        return None
    instance.settings_error = ""
    return settings


def apply_settings(
    instance: ForwardingInstance,
    components: PlatformComponents,
    settings: ForwarderSettings,
) -> None:
    """Apply the changed settings that don't need a restart.

    :param instance: The instance; changed in place.
    :param components: The components that are specific to the platform.
    :param settings: The settings from the file.
    """
    if settings == instance.last_read_settings:
        return
    changed = {
        name
        for name in ForwarderSettings.model_fields
        if getattr(instance.last_read_settings, name) != getattr(settings, name)
    }
    instance.last_read_settings = settings
    applied = {name: getattr(settings, name) for name in changed & RELOADABLE_SETTINGS}
    instance.settings = instance.settings.model_copy(update=applied)
    log_event(
        logger,
        logging.INFO,
        "settings-reloaded",
        changed=sorted(applied),
        at_next_start=sorted(changed - RELOADABLE_SETTINGS),
    )
    if "store" in applied:
        components.set_store_address(settings.store)
        interrupt_call(instance.state.configuration_progress)
        interrupt_call(instance.state.listing_progress)
