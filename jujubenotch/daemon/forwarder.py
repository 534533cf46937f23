"""Starts, runs and stops an instance that forwards by host and path."""

import asyncio
import contextlib
import gc
import logging
import os
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import uvloop
from sanic import HTTPResponse, Sanic

from jujubenotch.callers import CallerLimits, build_forward_app
from jujubenotch.daemon.forward_observer import Belief, ForwardObserver
from jujubenotch.daemon.forward_state import (
    ForwardState,
    apply_configuration,
    apply_upstreams,
    follow_limits,
    is_list_behind,
    is_ready,
    read_upstreams,
)
from jujubenotch.dispatch import (
    Dispatcher,
    Exchanges,
    RetryBudget,
    RetryHistory,
    UpstreamProtocol,
    may_retry,
    record_success,
)
from jujubenotch.forwarding import (
    ArrivedRequest,
    Knowledge,
    PlacedCapacity,
    Source,
    choose_change_wait_s,
    end_wait,
    follow_source,
    measure_age_s,
    read_suspended_clock_s,
)
from jujubenotch.listeners import (
    ConnectionBounds,
    Listener,
    bind_socket,
    start_listener,
    stop_listener,
)
from jujubenotch.logs import configure_logging, log_event, open_bounded_output
from jujubenotch.metrics import count_refused_connection, make_metrics, render
from jujubenotch.records import Limits
from jujubenotch.settings import ForwarderSettings
from jujubenotch.upstreams import (
    ConnectionLimits,
    close_connections,
    open_connections,
)

logger = logging.getLogger(__name__)

STANDARD_OUTPUT = 1
COLLECT_AFTER_ALLOCATIONS = 20_000
SERVICE_UNAVAILABLE = 503
METRICS_PATH = "metrics"
# The balancer takes an instance out after two unready answers, asked each
# second; until then callers still come.
STAY_OPEN_S = 2.6
# Left of the grace period for the process itself to end.
END_MARGIN_S = 1.0
MAX_CALLER_CONNECTIONS = 3000
# News of one change reach both sources within this time.
NEWS_WAY_S = 0.3
# Repeats that each instance may make in the budget's window beyond its share.
SPARE_RETRIES = 2
UPSTREAM_LIMITS = ConnectionLimits(
    connect_timeout_s=0.5,
    idle_timeout_s=10.0,
    answer_timeout_s=10.0,
    # Shorter than upstreams keep an idle connection.
    keepalive_s=2.0,
    # A cut may heal before the caller's deadline, which bounds each request.
    tcp_user_timeout_s=10.0,
)


@dataclass(frozen=True, kw_only=True)
class ForwarderParts:
    """What differs between the platforms that an instance runs on.

    :param configuration: Where the configuration comes from.
    :param upstreams: Where the list of upstreams comes from.
    :param protocol: What upstreams speak.
    :param decode_request: Decodes the head of a caller's request.
    :param close: Ends the connections to the platform.
    """

    configuration: Source
    upstreams: Source
    protocol: UpstreamProtocol
    decode_request: Callable[[str, str, list[tuple[str, str]]], ArrivedRequest]
    close: Callable[[], Awaitable[None]]


@dataclass(kw_only=True)
class ForwardingInstance:
    """One running instance.

    :param stopping: Set when the instance is to end.
    :param closed: Whether nothing new is taken any more.
    """

    settings: ForwarderSettings
    state: ForwardState
    observer: ForwardObserver
    dispatcher: Dispatcher
    stopping: asyncio.Event
    closed: bool = False
    listeners: list[Listener] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)

    def read_knowledge(self) -> Knowledge:
        """Return what is known now."""
        max_age_s = self.settings.max_key_age_s
        return Knowledge(
            index=self.state.index,
            age_s=measure_age_s(self.state.freshness, read_suspended_clock_s()),
            max_age_s=max_age_s * self.state.age_share if max_age_s else float("inf"),
        )

    async def wait_until_known(self, wait_s: float) -> None:
        """Wait until enough is known to serve.

        :param wait_s: How long at most, in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self.state.known.wait()

    def is_stopping(self) -> bool:
        """Tell whether answers end their connection."""
        return self.stopping.is_set()

    def is_closed(self) -> bool:
        """Tell whether nothing new is taken any more."""
        return self.closed

    def record_refusal(self, request_id, refusal):
        """Count and log a request that was refused before its dispatch.

        :param request_id: The request.
        :param refusal: Why.
        """
        self.observer.record_refusal(request_id, refusal)


def run_forwarder(
    settings: ForwarderSettings,
    reload_settings: Callable[[], ForwarderSettings],
    make_parts: Callable[[ForwarderSettings], ForwarderParts],
    callers_socket: socket.socket,
) -> None:
    """Run an instance until a signal tells it to stop.

    :param settings: The checked settings.
    :param reload_settings: Reads the settings again.
    :param make_parts: Makes what the platform needs, in the running loop.
    :param callers_socket: Bound to the callers' address, and listening.
    :raises ListenerError: An address can't be listened on.
    """
    # Before anything else: a signal without a handler would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Later uvloop releases open an io_uring unless this is set.
    os.environ["UV_USE_IO_URING"] = "0"
    configure_logging(
        format_name="json",
        level=settings.log_level,
        output=open_bounded_output(STANDARD_OUTPUT),
    )
    logging.getLogger("sanic").setLevel(logging.WARNING)
    uvloop.install()
    with asyncio.Runner() as runner:
        runner.run(_run(settings, reload_settings, make_parts, callers_socket))


async def _run(settings, reload_settings, make_parts, callers_socket):
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    parts = make_parts(settings)
    instance = _build_instance(settings, parts, stopping)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: _log_reload(settings, reload_settings)
    )
    _start_followers(instance, parts)
    await _start_listeners(instance, parts, callers_socket)
    log_event(
        logger,
        logging.INFO,
        "instance-started",
        instance=settings.name,
        data_centre=settings.data_centre,
        callers=settings.callers.text,
        store=settings.store.text,
    )
    # What stands after the start lives on: collections needn't look at it.
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_ALLOCATIONS)
    await stopping.wait()
    await _stop(instance, parts)


def _build_instance(settings, parts, stopping):
    state = ForwardState()
    metrics = make_metrics()
    observer = ForwardObserver(
        metrics=metrics,
        read_belief=lambda: Belief(
            version=state.index.configuration.version if state.index else 0,
            age_s=measure_age_s(state.freshness, read_suspended_clock_s()),
        ),
    )
    loop = asyncio.get_running_loop()
    dispatcher = Dispatcher(
        capacity=PlacedCapacity(
            listing=state.listing,
            read_clock_s=loop.time,
            read_listing_clock_s=read_suspended_clock_s,
        ),
        connections=open_connections(UPSTREAM_LIMITS),
        observer=observer,
        retry_budget=_make_retry_budget(settings),
        read_configuration=lambda: read_upstreams(state),
        exchanges=Exchanges(idle_timeout_s=UPSTREAM_LIMITS.idle_timeout_s),
        protocol=parts.protocol,
    )
    return ForwardingInstance(
        settings=settings,
        state=state,
        observer=observer,
        dispatcher=dispatcher,
        stopping=stopping,
    )


def _make_retry_budget(settings):
    limits = Limits(
        retry_budget_ratio=settings.retry_ratio, retry_budget_min=SPARE_RETRIES
    )
    histories = {}

    def find(target):
        return histories.setdefault(target, RetryHistory())

    return RetryBudget(
        may_retry=lambda target, now_s: may_retry(find(target), limits, now_s),
        record_success=lambda target, now_s: record_success(find(target), now_s),
    )


def _log_reload(settings, reload_settings):
    """Read the settings again; what they hold takes effect at the next start."""
    try:
        changed = reload_settings() != settings
    except Exception as error:
        log_event(logger, logging.ERROR, "settings-rejected", error=str(error))
        return
    log_event(logger, logging.INFO, "settings-reloaded", changed=changed)


async def _start_listeners(instance, parts, callers_socket):
    settings = instance.settings
    metrics = instance.observer.metrics
    bounds = ConnectionBounds(
        max_connections=MAX_CALLER_CONNECTIONS,
        header_timeout_s=instance.state.bounds.header_timeout_s,
        body_timeout_s=instance.state.bounds.idle_timeout_s,
        count_refused=lambda: count_refused_connection(metrics, "callers"),
    )
    callers = build_forward_app(
        "callers", instance, parts.decode_request, _read_limits(instance.state.bounds)
    )
    follow_limits(instance.state, callers)
    instance.listeners.append(
        await start_listener(callers, callers_socket, None, bounds)
    )
    for name, address, answer in (
        ("readiness", settings.readiness, _answer_readiness),
        ("metrics", settings.metrics, _answer_metrics),
    ):
        if address is None:
            continue
        app = _build_status_app(name, instance, answer)
        bound = bind_socket(address.host, address.port)
        instance.listeners.append(await start_listener(app, bound))


def _read_limits(bounds):
    return CallerLimits(
        max_body_bytes=bounds.max_body_bytes,
        max_header_bytes=bounds.max_header_bytes,
        body_timeout_s=bounds.header_timeout_s,
        idle_timeout_s=bounds.idle_timeout_s,
    )


def _build_status_app(name, instance, answer):
    app = Sanic(name, configure_logging=False)

    async def serve(request, path=""):
        return answer(instance)

    app.add_route(serve, "/<path:path>", methods=["GET"], name=name)
    return app


def _answer_readiness(instance):
    ready = not instance.is_stopping() and is_ready(
        instance.state, instance.read_knowledge()
    )
    return HTTPResponse(b"", status=200 if ready else SERVICE_UNAVAILABLE)


def _answer_metrics(instance):
    body, content_type = render(instance.observer.metrics)
    return HTTPResponse(body, content_type=content_type)


def _start_followers(instance, parts):
    state = instance.state

    def apply_and_compare(update):
        apply_configuration(state, update)
        if is_list_behind(state):
            loop.call_later(NEWS_WAY_S, _end_silent_wait, state)

    loop = asyncio.get_running_loop()
    capacity = instance.dispatcher.capacity
    wait_s = choose_change_wait_s(instance.settings.max_key_age_s)
    followers = (
        follow_source(
            state.configuration, parts.configuration, apply_and_compare, wait_s
        ),
        follow_source(
            state.listed,
            parts.upstreams,
            lambda update: capacity.forget(apply_upstreams(state, update)),
        ),
    )
    for work in followers:
        task = asyncio.create_task(work)
        task.add_done_callback(_end_on_failure)
        instance.tasks.append(task)


def _end_silent_wait(state):
    if is_list_behind(state):
        log_event(
            logger,
            logging.WARNING,
            "list-silent",
            revision=state.listed.revision or 0,
            newest=state.configuration.revision,
        )
        end_wait(state.listed)


def _end_on_failure(task):
    """End the process when a follower fails: it would serve by old state."""
    if task.cancelled() or task.exception() is None:
        return
    logger.critical("follower-failed", exc_info=task.exception())
    sys.exit(1)


async def _stop(instance, parts):
    loop = asyncio.get_running_loop()
    end_s = loop.time() + instance.settings.grace_s - END_MARGIN_S
    log_event(
        logger,
        logging.INFO,
        "instance-stopping",
        in_progress=len(instance.dispatcher.in_progress),
    )
    await asyncio.sleep(STAY_OPEN_S)
    instance.closed = True
    callers, *others = instance.listeners
    open_connections_left = await stop_listener(callers, max(0.0, end_s - loop.time()))
    for listener in others:
        await stop_listener(listener, 0.0)
    for task in instance.tasks:
        task.cancel()
    await asyncio.gather(*instance.tasks, return_exceptions=True)
    await close_connections(instance.dispatcher.connections)
    await parts.close()
    log_event(logger, logging.INFO, "instance-stopped", cut_off=open_connections_left)
