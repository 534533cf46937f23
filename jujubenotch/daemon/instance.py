"""Starts the parts of one instance, and stops them in order."""

import asyncio
import itertools
import logging
import secrets
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

from jujubenotch.callers import CallerDependencies, CallerLimits, build_caller_app
from jujubenotch.capacity import LocalCapacity
from jujubenotch.daemon.errors import DaemonError
from jujubenotch.daemon.observer import CallObserver
from jujubenotch.daemon.unclaimed import Unclaimed
from jujubenotch.dispatch import (
    Dispatcher,
    RetryBudget,
    RetryHistory,
    may_retry,
    record_success,
    wait_until_idle,
)
from jujubenotch.invariants import make_violations_fatal
from jujubenotch.listeners import (
    Listener,
    bind_socket,
    start_listener,
    stop_listener,
)
from jujubenotch.logs import configure_logging, log_event
from jujubenotch.metrics import make_metrics
from jujubenotch.records import (
    Configuration,
    InvalidRecords,
    build_configuration,
    parse_documents,
)
from jujubenotch.settings import Settings
from jujubenotch.traces import make_traces
from jujubenotch.upstreams import (
    ConnectionLimits,
    UpstreamConnections,
    close_connections,
    open_connections,
)

logger = logging.getLogger(__name__)

INCARNATION_BYTES = 4


@dataclass(kw_only=True)
class Instance:
    """The running parts of one instance.

    :param incarnation: Tells a restarted instance from the one before it.
    """

    settings: Settings
    incarnation: str
    configuration: Configuration
    connections: UpstreamConnections
    capacity: LocalCapacity
    dispatcher: Dispatcher
    listeners: list[Listener] = field(default_factory=list)
    stopping: asyncio.Event = field(default_factory=asyncio.Event)


async def run_instance(settings: Settings, path: str) -> None:
    """Run an instance until a signal tells it to stop.

    :param settings: The checked settings.
    :param path: The file that they came from, for rereading.
    :raises DaemonError: The records are wrong.
    :raises ListenerError: An address can't be listened on.
    """
    configure_logging(format_name=settings.logs.format, level=settings.logs.level)
    make_violations_fatal(is_fatal=settings.invariants.fatal)
    instance = await start_instance(settings)
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, instance.stopping.set)
    await instance.stopping.wait()
    await stop_instance(instance)


async def start_instance(settings: Settings) -> Instance:
    """Start the parts of an instance.

    :param settings: The checked settings.
    :returns: The running instance.
    :raises DaemonError: The records are wrong.
    :raises ListenerError: An address can't be listened on.
    """
    bound = bind_socket(settings.callers.host, settings.callers.port)
    connections = open_connections(_read_connection_limits(settings))
    capacity = LocalCapacity(
        name=settings.instance.name,
        incarnation=time.time_ns(),
        data_centre=settings.instance.data_centre,
        read_clock_s=time.monotonic,
    )
    instance = Instance(
        settings=settings,
        incarnation=secrets.token_hex(INCARNATION_BYTES),
        configuration=read_record_files(settings.platform.records),
        connections=connections,
        capacity=capacity,
        dispatcher=None,
    )
    observer = CallObserver(metrics=make_metrics(), traces=make_traces())
    instance.dispatcher = Dispatcher(
        capacity=capacity,
        connections=connections,
        claims=Unclaimed(),
        observer=observer,
        retry_budget=_make_retry_budget(instance),
        read_configuration=lambda: instance.configuration,
    )
    capacity.reconfigure(instance.configuration, time.monotonic())
    app = build_caller_app(
        f"callers-{settings.instance.name}",
        CallerDependencies(
            dispatcher=instance.dispatcher,
            read_configuration=lambda: instance.configuration,
            make_request_id=_number_requests(instance),
            is_stopping=instance.stopping.is_set,
            count_refusal=observer.count_early_refusal,
        ),
        _read_caller_limits(settings),
    )
    instance.listeners.append(await start_listener(app, bound))
    log_event(
        logger,
        logging.INFO,
        "instance-started",
        instance=settings.instance.name,
        data_centre=settings.instance.data_centre,
        callers_port=instance.listeners[0].port,
    )
    return instance


async def stop_instance(instance: Instance) -> None:
    """Take nothing new, wait for the requests in progress, and end.

    :param instance: The running instance.
    """
    log_event(logger, logging.INFO, "instance-stopping")
    await wait_until_idle(instance.dispatcher)
    for listener in instance.listeners:
        await stop_listener(listener)
    await instance.capacity.close()
    await close_connections(instance.connections)
    log_event(logger, logging.INFO, "instance-stopped")


def read_record_files(paths: tuple[str, ...]) -> Configuration:
    """Read the records of the embedded platform.

    :param paths: TOML files.
    :returns: The configuration that they give together.
    :raises DaemonError: A file can't be read or the records are wrong.
    """
    try:
        texts = {path: Path(path).read_text() for path in paths}
    except OSError as error:
        raise DaemonError(f"records: {error}") from error
    edit = parse_documents(texts)
    if not isinstance(edit, InvalidRecords):
        edit = build_configuration(edit.records, revision=1)
    if isinstance(edit, InvalidRecords):
        raise DaemonError("\n".join(str(problem) for problem in edit.problems))
    return edit


def _make_retry_budget(instance):
    history = RetryHistory()

    def may_retry_now(now_s):
        return may_retry(history, instance.configuration.limits, now_s)

    def record_success_now(now_s):
        record_success(history, now_s)

    return RetryBudget(may_retry=may_retry_now, record_success=record_success_now)


def _number_requests(instance):
    numbers = itertools.count(1)
    prefix = f"{instance.settings.instance.name}-{instance.incarnation}"

    def make_request_id():
        return f"{prefix}-{next(numbers)}"

    return make_request_id


def _read_connection_limits(settings):
    upstreams = settings.upstreams
    return ConnectionLimits(
        connect_timeout_s=upstreams.connect_timeout_s,
        idle_timeout_s=upstreams.idle_timeout_s,
        keepalive_s=upstreams.keepalive_s,
        tcp_user_timeout_s=upstreams.tcp_user_timeout_s,
    )


def _read_caller_limits(settings):
    callers = settings.callers
    return CallerLimits(
        max_body_bytes=callers.max_body_bytes,
        max_header_bytes=callers.max_header_bytes,
        body_timeout_s=callers.body_timeout_s,
        idle_timeout_s=callers.idle_timeout_s,
    )
