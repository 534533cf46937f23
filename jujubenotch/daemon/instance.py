"""Runs one instance from its start until a signal stops it."""

import asyncio
import gc
import signal

from jujubenotch.daemon.reload import run_reloads
from jujubenotch.daemon.start import start_instance
from jujubenotch.daemon.stop import stop_instance
from jujubenotch.invariants import make_violations_fatal
from jujubenotch.logs import configure_logging
from jujubenotch.settings import Settings

GC_THRESHOLD_ALLOCATIONS = 20_000


async def run_instance(settings: Settings, settings_path: str) -> None:
    """Run an instance until it gets SIGTERM or SIGINT.

    :param settings: The validated settings.
    :param settings_path: The path of the settings file, which is read again on
        SIGHUP.
    :raises DaemonError: A records file can't be read or the records are invalid.
    :raises ListenerError: A listener can't bind its address.
    """
    configure_logging(format_name=settings.logs.format, level=settings.logs.level)
    make_violations_fatal(is_fatal=settings.invariants.fatal)
    stopping = asyncio.Event()
    reload_requested = asyncio.Event()
    # The handlers are installed before the listeners start, since a process that
    # finds the instance listening may signal it at once.
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    instance = await start_instance(settings, settings_path, stopping)
    instance.tasks.append(asyncio.create_task(run_reloads(instance, reload_requested)))
    # The objects that exist now live until the process ends. Freezing them keeps
    # garbage collections from scanning them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    await instance.stopping.wait()
    await stop_instance(instance)
