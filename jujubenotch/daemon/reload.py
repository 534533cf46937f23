"""Reloads, on SIGHUP, the settings that can change while the instance runs."""

import asyncio
import logging

from jujubenotch.daemon.configuration import load_embedded_records
from jujubenotch.daemon.errors import DaemonError
from jujubenotch.daemon.parts import Instance
from jujubenotch.logs import configure_logging, log_event
from jujubenotch.settings import SettingsError, load_settings

logger = logging.getLogger(__name__)


async def run_reloads(instance: Instance, reload_requested: asyncio.Event) -> None:
    """Reload the settings after each SIGHUP until this task is cancelled.

    :param instance: The running instance.
    :param reload_requested: Set by the handler of SIGHUP.
    """
    while True:
        await reload_requested.wait()
        reload_requested.clear()
        await reload_settings(instance)


async def reload_settings(instance: Instance) -> None:
    """Reload the embedded records, the logs' settings and the operators' keys.

    When the settings or the records are invalid, the error is logged and the
    previous settings stay in force.

    :param instance: The running instance.
    """
    try:
        settings = load_settings(instance.settings_path)
        if settings.platform.records:
            instance.records_reloads += 1
            change_id = f"embedded-records-{instance.records_reloads}"
            await load_embedded_records(
                instance.follower, settings.platform.records, change_id
            )
    except (SettingsError, DaemonError) as error:
        log_event(logger, logging.ERROR, "settings-rejected", error=error)
        return
    configure_logging(format_name=settings.logs.format, level=settings.logs.level)
    instance.operator_key_digests = settings.operators.key_sha256
    log_event(logger, logging.INFO, "settings-reloaded")
