"""Starts, runs and stops an instance that routes requests by host and path."""

import asyncio
import functools
import gc
import logging
import os
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace

import uvloop

from jujubenotch.daemon.forward_crashes import (
    CrashWatch,
    identify_process,
    record_attempt,
    refuse_blocked,
)
from jujubenotch.daemon.forward_detour import send_elsewhere
from jujubenotch.daemon.forward_followers import make_followers
from jujubenotch.daemon.forward_instances import leave_list
from jujubenotch.daemon.forward_leases import hand_over
from jujubenotch.daemon.forward_limits import choose_in_progress_bytes
from jujubenotch.daemon.forward_listeners import start_listeners
from jujubenotch.daemon.forward_observer import ForwardObserver
from jujubenotch.daemon.forward_origins import find_stream_origin
from jujubenotch.daemon.forward_paces import PaceWatch
from jujubenotch.daemon.forward_parts import (
    ForwardingInstance,
    InstanceCount,
    PlatformComponents,
)
from jujubenotch.daemon.forward_processes import is_replaced
from jujubenotch.daemon.forward_reach import DetourWatch, is_out_of_reach, record_reach
from jujubenotch.daemon.forward_records import find_held
from jujubenotch.daemon.forward_retries import ServiceCredits, make_retry_budget
from jujubenotch.daemon.forward_settings import reload_now, watch_settings
from jujubenotch.daemon.forward_state import (
    ForwardState,
)
from jujubenotch.daemon.forward_streams import StreamWatch, record_stream_start
from jujubenotch.dispatch import (
    Dispatcher,
    ExchangeRegistry,
    ProcessChecks,
    set_limit,
)
from jujubenotch.forwarding import DirectCapacity, read_boot_clock_s
from jujubenotch.listeners import (
    stop_listener,
)
from jujubenotch.logs import configure_logging, log_event, open_bounded_output
from jujubenotch.memory import MemoryAccount
from jujubenotch.metrics import make_metrics
from jujubenotch.settings import ForwarderSettings
from jujubenotch.upstreams import (
    ConnectionLimits,
    check_process,
    close_connections,
    open_connections,
)

logger = logging.getLogger(__name__)

STANDARD_OUTPUT = 1
GC_THRESHOLD_ALLOCATIONS = 20_000
# The load balancer probes readiness every second and removes an instance after
# two failed probes; until then it still sends callers here.
LISTENER_CLOSE_DELAY_S = 2.6
# Part of the grace period that is reserved for the exit of the process.
EXIT_MARGIN_S = 1.0
# Part of the rest in which the callers of requests in progress get a final response.
LAST_ANSWERS_S = 0.3
UPSTREAM_LIMITS = ConnectionLimits(
    connect_timeout_s=0.5,
    idle_timeout_s=10.0,
    answer_timeout_s=10.0,
    # Shorter than the time for which upstreams keep an idle connection open.
    keepalive_s=2.0,
    # The network may recover from an interruption before the caller's deadline,
    # and that deadline bounds each request.
    tcp_user_timeout_s=10.0,
    # Some such bodies at a time fit into the memory of an instance.
    max_answer_bytes=16 * 1024 * 1024,
)

# The timeouts of the instance that sends a request on are those of its upstream.
HELPER_LIMITS = replace(UPSTREAM_LIMITS, connect_timeout_s=0.3)


def run_forwarder(
    settings: ForwarderSettings,
    reload_settings: Callable[[], ForwarderSettings],
    make_platform_components: Callable[[ForwarderSettings], PlatformComponents],
    callers_socket: socket.socket,
) -> None:
    """Run an instance until it gets SIGTERM or SIGINT.

    :param settings: The validated settings.
    :param reload_settings: Reads the settings again.
    :param make_platform_components: Makes the components that are specific to the
        platform; called in the running event loop.
    :param callers_socket: A listening socket, bound to the callers' address.
    :raises ListenerError: A listener can't bind its address.
    """
    # Later releases of uvloop create an io_uring unless this variable is 0.
    os.environ["UV_USE_IO_URING"] = "0"
    configure_logging(
        format_name="json",
        level=settings.log_level,
        output=open_bounded_output(STANDARD_OUTPUT),
    )
    logging.getLogger("sanic").setLevel(logging.WARNING)
    uvloop.install()
    with asyncio.Runner() as runner:
        runner.run(
            _run(settings, reload_settings, make_platform_components, callers_socket)
        )


async def _run(settings, reload_settings, make_platform_components, callers_socket):
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    components = make_platform_components(settings)
    instance = _build_instance(settings, components, stopping)
    loop.add_signal_handler(
        signal.SIGHUP, reload_now, instance, components, reload_settings
    )
    for coroutine in make_followers(instance, components):
        _start_background_task(instance, coroutine)
    _start_background_task(
        instance, watch_settings(instance, components, reload_settings)
    )
    await start_listeners(instance, components, callers_socket)
    log_event(
        logger,
        logging.INFO,
        "instance-started",
        instance=settings.name,
        data_centre=settings.data_centre,
        callers=settings.callers.text,
        store=settings.store.text,
    )
    # The objects that exist now live until the process ends. Freezing them keeps
    # garbage collections from scanning them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    await stopping.wait()
    await _stop(instance, components)


def _build_instance(settings, components, stopping):
    state = ForwardState()
    metrics = make_metrics()
    observer = ForwardObserver(
        metrics=metrics,
        read_basis=lambda: instance.read_configuration_view().basis,
    )
    instance_count = InstanceCount()
    crash_watch = CrashWatch(name=settings.name, state=state)
    stream_watch = StreamWatch(state=state)
    detour_watch = DetourWatch(
        state=state, streams=stream_watch, data_centre=settings.data_centre
    )
    memory = MemoryAccount(max_bytes=choose_in_progress_bytes(settings.memory_mb))
    helper_connections = _open_helper_connections(settings, memory)
    credits = ServiceCredits(
        read_settings=lambda: instance.settings,
        count=instance_count,
        metrics=metrics,
        started_s=asyncio.get_running_loop().time(),
    )
    dispatcher = _make_dispatcher(
        state,
        observer,
        components.protocol,
        open_connections(UPSTREAM_LIMITS, memory=memory),
        instance_count,
        _Watches(crashes=crash_watch, streams=stream_watch, detours=detour_watch),
        helper_connections,
        make_retry_budget(credits),
    )
    instance = ForwardingInstance(
        settings=settings,
        last_read_settings=settings,
        state=state,
        observer=observer,
        dispatcher=dispatcher,
        stopping=stopping,
        crash_watch=crash_watch,
        stream_watch=stream_watch,
        pace_watch=PaceWatch(
            exchange=dispatcher.capacity.pace_exchange, metrics=metrics
        ),
        detour_watch=detour_watch,
        helper_connections=helper_connections,
        instance_count=instance_count,
        memory=memory,
    )
    return instance


def _open_helper_connections(settings, memory):
    # Another instance knows this one by the address of its endpoint.
    endpoint = settings.neighbours
    host = endpoint.host if endpoint else None
    return open_connections(HELPER_LIMITS, host, memory)


@dataclass(frozen=True, kw_only=True)
class _Watches:
    """What an instance watches in the requests that it sends."""

    crashes: CrashWatch
    streams: StreamWatch
    detours: DetourWatch


def _make_dispatcher(
    state,
    observer,
    protocol,
    connections,
    instance_count,
    watches,
    helper_connections,
    retry_budget,
):
    capacity = DirectCapacity(
        listing=state.listing,
        read_clock_s=asyncio.get_running_loop().time,
        read_listing_clock_s=read_boot_clock_s,
        read_instance_count=lambda: instance_count.sharing,
        report_limit=instance_count.wanted.set,
        find_held_versions=functools.partial(find_held, watches.streams),
    )
    return Dispatcher(
        capacity=capacity,
        record_response_start=capacity.record_response_start,
        record_first_event=capacity.record_first_event,
        record_notice=capacity.record_notice,
        connections=connections,
        observer=observer,
        retry_budget=retry_budget,
        read_configuration=lambda: state.upstreams,
        exchange_registry=ExchangeRegistry(
            idle_timeout_s=UPSTREAM_LIMITS.idle_timeout_s
        ),
        protocol=protocol,
        identify_process=lambda upstream: identify_process(watches.crashes, upstream),
        is_replaced=functools.partial(is_replaced, state, protocol),
        find_block=lambda call: refuse_blocked(watches.crashes, call),
        find_stream_origin=lambda call: find_stream_origin(watches.streams, call),
        record_stream_start=lambda call, origin: record_stream_start(
            watches.streams, call, origin
        ),
        is_out_of_reach=functools.partial(is_out_of_reach, watches.detours),
        process_checks=ProcessChecks(
            check=lambda upstream: check_process(upstream.url, protocol.status_path)
        ),
        record_standstill=capacity.record_standstill,
        send_elsewhere=functools.partial(
            send_elsewhere, watches.detours, helper_connections, retry_budget
        ),
        record_attempt=functools.partial(
            _record_attempt, watches.crashes, watches.detours
        ),
        time_limit=watches.detours.time_limit,
    )


def _record_attempt(crash_watch, detour_watch, call, attempt):
    record_attempt(crash_watch, call, attempt)
    record_reach(detour_watch, attempt)


def _start_background_task(instance, coroutine):
    task = asyncio.create_task(coroutine)
    task.add_done_callback(_exit_on_failure)
    instance.tasks.append(task)


def _exit_on_failure(task):
    """End the process when a background task fails; it would serve stale state."""
    if task.cancelled() or task.exception() is None:
        return
    logger.critical("task-failed", exc_info=task.exception())
    sys.exit(1)


async def _stop(instance, components):
    loop = asyncio.get_running_loop()
    end_s = loop.time() + instance.settings.grace_s - EXIT_MARGIN_S
    set_limit(instance.dispatcher.time_limit, end_s - LAST_ANSWERS_S)
    log_event(
        logger,
        logging.INFO,
        "instance-stopping",
        in_progress=len(instance.dispatcher.in_progress),
    )
    if instance.lease_watch is not None:
        # Another instance takes the lease while this one ends its requests.
        _start_background_task(instance, hand_over(instance.lease_watch))
    await asyncio.sleep(LISTENER_CLOSE_DELAY_S)
    instance.refuses_requests = True
    callers, *others = instance.listeners
    open_connections_left = await stop_listener(callers, max(0.0, end_s - loop.time()))
    if instance.help_listener is not None:
        await stop_listener(instance.help_listener, max(0.0, end_s - loop.time()))
    for listener in others:
        await stop_listener(listener, 0.0)
    for task in instance.tasks:
        task.cancel()
    await asyncio.gather(*instance.tasks, return_exceptions=True)
    await leave_list(instance, components)
    await close_connections(instance.dispatcher.connections)
    await close_connections(instance.helper_connections)
    await components.close()
    log_event(logger, logging.INFO, "instance-stopped", cut_off=open_connections_left)
