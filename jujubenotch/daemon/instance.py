"""Runs one instance: from its start to the signal that stops it."""

import asyncio
import gc
import signal

from jujubenotch.daemon.reread import run_rereads
from jujubenotch.daemon.start import start_instance
from jujubenotch.daemon.stop import stop_instance
from jujubenotch.invariants import make_violations_fatal
from jujubenotch.logs import configure_logging
from jujubenotch.settings import Settings

COLLECT_AFTER_ALLOCATIONS = 20_000


async def run_instance(settings: Settings, settings_path: str) -> None:
    """Run an instance until a signal tells it to stop.

    :param settings: The checked settings.
    :param settings_path: The file that they came from, for rereading.
    :raises DaemonError: The records are wrong.
    :raises ListenerError: An address can't be listened on.
    """
    configure_logging(format_name=settings.logs.format, level=settings.logs.level)
    make_violations_fatal(is_fatal=settings.invariants.fatal)
    stopping = asyncio.Event()
    hang_up = asyncio.Event()
    # Before the listeners: who sees the instance listen may signal it.
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, hang_up.set)
    instance = await start_instance(settings, settings_path, stopping)
    instance.tasks.append(asyncio.create_task(run_rereads(instance, hang_up)))
    # What stands after the start lives on: collections needn't look at it.
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_ALLOCATIONS)
    await instance.stopping.wait()
    await stop_instance(instance)
