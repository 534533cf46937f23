"""Starts the components of an instance and connects them."""

import asyncio
import itertools
import logging
import time

from jujubenotch.callers import CallerDependencies, build_caller_app
from jujubenotch.capacity import (
    CoordinatedCapacityDependencies,
    IndependentCapacity,
    start_coordinated_capacity,
)
from jujubenotch.claims import CallClaims, make_claim_store, run_sweeper
from jujubenotch.daemon.bounds import (
    read_caller_limits,
    read_connection_bounds,
    read_connection_limits,
)
from jujubenotch.daemon.configuration import (
    EMBEDDED_CHANGE_ID,
    ConfigurationFollower,
    load_embedded_records,
    poll_once,
    run_polls,
)
from jujubenotch.daemon.observer import CallObserver
from jujubenotch.daemon.operations import make_operator_dependencies
from jujubenotch.daemon.parts import Instance
from jujubenotch.daemon.spread import (
    ConfigurationPropagation,
    apply_peer_changes,
    handle_peer_revision,
)
from jujubenotch.dispatch import (
    Dispatcher,
    ExchangeRegistry,
    RetryBudget,
    RetryHistory,
    may_retry,
    record_success,
)
from jujubenotch.listeners import (
    NO_LIMITS,
    bind_socket,
    start_listener,
)
from jujubenotch.logs import log_event
from jujubenotch.metrics import (
    make_metrics,
    set_revision,
)
from jujubenotch.operators import build_operator_app
from jujubenotch.records import (
    ConfigurationReplica,
    ConfigurationStore,
    encode_changes_since,
)
from jujubenotch.settings import (
    Settings,
    make_peer_contexts,
    make_server_context,
    parse_seed,
)
from jujubenotch.tables import make_platform_client
from jujubenotch.traces import encode_trace, make_traces, read_trace
from jujubenotch.upstreams import (
    open_connections,
    read_load,
)

logger = logging.getLogger(__name__)


async def start_instance(
    settings: Settings, settings_path: str, stopping: asyncio.Event
) -> Instance:
    """Start the components of an instance.

    :param settings: The validated settings.
    :param settings_path: The path of the settings file.
    :param stopping: Set when the instance has to refuse new requests and stop.
    :returns: The running instance.
    :raises DaemonError: A records file can't be read or the records are invalid.
    :raises ListenerError: A listener can't bind its address.
    """
    callers_socket, operators_socket, peers_socket = (
        bind_socket(listener.host, listener.port)
        for listener in (settings.callers, settings.operators, settings.peers)
    )
    incarnation = time.time_ns()
    observer = CallObserver(metrics=make_metrics(), traces=make_traces())
    follower = await _start_configuration(settings, observer)
    connections = open_connections(read_connection_limits(settings))
    propagation = ConfigurationPropagation(follower=follower)
    capacity = await start_coordinated_capacity(
        _make_capacity_dependencies(
            settings,
            incarnation,
            peers_socket,
            follower,
            connections,
            propagation,
            observer,
        )
    )
    propagation.fetch_changes = capacity.fetch_changes
    propagation.push_changes = capacity.push_changes
    dispatch_capacity = _choose_dispatch_capacity(
        settings, capacity, connections, incarnation
    )
    _follow_configuration(follower, capacity, dispatch_capacity, observer)
    claim_store = make_claim_store(
        platform=follower.platform, instance=settings.instance.name
    )
    call_claims = CallClaims(claim_store=claim_store)
    instance = Instance(
        settings=settings,
        settings_path=settings_path,
        incarnation=incarnation,
        observer=observer,
        follower=follower,
        connections=connections,
        capacity=capacity,
        claims=call_claims,
        dispatcher=Dispatcher(
            capacity=dispatch_capacity,
            connections=connections,
            claims=call_claims,
            observer=observer,
            retry_budget=_make_retry_budget(follower),
            read_configuration=lambda: follower.replica.configuration,
            exchange_registry=ExchangeRegistry(
                idle_timeout_s=settings.upstreams.idle_timeout_s
            ),
        ),
        operator_key_digests=settings.operators.key_sha256,
        started_s=time.monotonic(),
        stopping=stopping,
    )
    instance.tasks.append(asyncio.create_task(run_polls(follower)))
    instance.tasks.append(asyncio.create_task(run_sweeper(claim_store)))
    await _start_listeners(instance, callers_socket, operators_socket)
    _log_start(instance)
    return instance


async def _start_configuration(settings, observer):
    platform = make_platform_client(
        kind=settings.platform.kind,
        url=settings.platform.url,
        timeout_s=settings.platform.timeout_s,
    )
    replica = ConfigurationReplica()
    follower = ConfigurationFollower(
        platform=platform,
        replica=replica,
        store=ConfigurationStore(platform=platform, replica=replica),
    )
    if settings.platform.records:
        await load_embedded_records(
            follower, settings.platform.records, EMBEDDED_CHANGE_ID
        )
    await poll_once(follower)
    return follower


def _choose_dispatch_capacity(settings, capacity, connections, incarnation):
    if settings.capacity.division == "home":
        return capacity
    return IndependentCapacity(
        name=settings.instance.name,
        incarnation=incarnation,
        data_centre=settings.instance.data_centre,
        read_clock_s=time.monotonic,
        read_load=lambda upstream: read_load(connections, upstream),
    )


def _follow_configuration(follower, capacity, dispatch_capacity, observer):
    def put_in_force(configuration):
        now_s = time.monotonic()
        capacity.reconfigure(configuration, now_s)
        if dispatch_capacity is not capacity:
            dispatch_capacity.reconfigure(configuration, now_s)
        set_revision(observer.metrics, configuration.revision)
        log_event(
            logger,
            logging.INFO,
            "configuration-in-force",
            revision=configuration.revision,
        )

    follower.replica.on_change = put_in_force
    put_in_force(follower.replica.configuration)


def _make_capacity_dependencies(
    settings, incarnation, bound_socket, follower, connections, propagation, observer
):
    def read_own_trace(request_id):
        trace = read_trace(observer.traces, request_id)
        return encode_trace(trace) if trace else None

    server_tls, client_tls = None, None
    if settings.peers.tls is not None:
        contexts = make_peer_contexts(settings.peers.tls)
        server_tls, client_tls = contexts.server, contexts.client
    return CoordinatedCapacityDependencies(
        name=settings.instance.name,
        data_centre=settings.instance.data_centre,
        incarnation=incarnation,
        advertised_host=settings.instance.advertised_host,
        listener_socket=bound_socket,
        read_configuration=lambda: follower.replica.configuration,
        read_clock_s=time.monotonic,
        on_peer_revision=lambda revision, peer: handle_peer_revision(
            propagation, revision, peer, time.monotonic()
        ),
        read_changes_since=lambda revision: encode_changes_since(
            follower.replica, revision
        ),
        apply_pushed_changes=lambda changes: apply_peer_changes(propagation, changes),
        read_trace=read_own_trace,
        read_load=lambda upstream: read_load(connections, upstream),
        list_instances=follower.platform.list_instances,
        seeds=tuple(parse_seed(text) for text in settings.peers.seeds),
        server_tls=server_tls,
        client_tls=client_tls,
    )


async def _start_listeners(instance, callers_socket, operators_socket):
    settings = instance.settings
    dependencies = CallerDependencies(
        dispatcher=instance.dispatcher,
        read_configuration=lambda: instance.follower.replica.configuration,
        make_request_id=_make_id_generator(instance),
        is_stopping=instance.stopping.is_set,
        are_records_loaded=lambda: instance.follower.is_known,
        count_refusal=instance.observer.count_early_refusal,
    )
    callers = build_caller_app(
        f"callers-{instance.name}", dependencies, read_caller_limits(settings)
    )
    operators = build_operator_app(
        f"operators-{instance.name}", make_operator_dependencies(instance)
    )
    limits = read_connection_bounds(instance)
    for app, bound_socket, section, listener_limits in (
        (operators, operators_socket, settings.operators, NO_LIMITS),
        (callers, callers_socket, settings.callers, limits),
    ):
        tls = make_server_context(section.tls) if section.tls else None
        instance.listeners.append(
            await start_listener(app, bound_socket, tls, listener_limits)
        )


def _log_start(instance):
    operators, callers = instance.listeners
    log_event(
        logger,
        logging.INFO,
        "instance-started",
        instance=instance.name,
        data_centre=instance.settings.instance.data_centre,
        incarnation=instance.incarnation,
        callers_port=callers.port,
        operators_port=operators.port,
        revision=instance.follower.replica.revision,
    )


def _make_retry_budget(follower):
    history = RetryHistory()

    def may_retry_now(target, now_s):
        return may_retry(history, follower.replica.configuration.limits, now_s)

    def record_success_now(target, now_s):
        record_success(history, now_s)

    return RetryBudget(may_retry=may_retry_now, record_success=record_success_now)


def _make_id_generator(instance):
    numbers = itertools.count(1)
    prefix = f"{instance.name}-{instance.incarnation:x}"

    def make_request_id():
        return f"{prefix}-{next(numbers)}"

    return make_request_id
