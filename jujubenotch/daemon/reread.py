"""Reloads, on SIGHUP, the settings that can change while the instance runs."""

import asyncio
import logging

from jujubenotch.daemon.configuration import load_embedded_records
from jujubenotch.daemon.errors import DaemonError
from jujubenotch.daemon.parts import Instance
from jujubenotch.logs import configure_logging, log_event
from jujubenotch.settings import SettingsError, load_settings

logger = logging.getLogger(__name__)


async def run_rereads(instance: Instance, hang_up: asyncio.Event) -> None:
    """Reload the settings after each SIGHUP until this task is cancelled.

    :param instance: The running instance.
    :param hang_up: Set by the handler of SIGHUP.
    """
    while True:
        await hang_up.wait()
        hang_up.clear()
        await reread_settings(instance)


async def reread_settings(instance: Instance) -> None:
    """Reload the embedded records, the logs' settings and the operators' keys.

    When the settings or the records are invalid, the error is logged and the
    previous settings stay in force.

    :param instance: The running instance.
    """
    try:
        settings = load_settings(instance.settings_path)
        if settings.platform.records:
            instance.rereads += 1
            change_id = f"embedded-records-{instance.rereads}"
            await load_embedded_records(
                instance.keeper, settings.platform.records, change_id
            )
    except (SettingsError, DaemonError) as error:
        log_event(logger, logging.ERROR, "settings-not-reread", error=error)
        return
    configure_logging(format_name=settings.logs.format, level=settings.logs.level)
    instance.operator_key_digests = settings.operators.key_sha256
    log_event(logger, logging.INFO, "settings-reread")
