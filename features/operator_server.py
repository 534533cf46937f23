"""Serves the operators' interface of a simulated instance from a thread."""

import asyncio
import hashlib
import itertools
import threading
from dataclasses import dataclass, field

from features.records.faulty_platform import FaultyPlatform
from jujubenotch.listeners import bind_socket, start_listener, stop_listener
from jujubenotch.metrics import (
    Metrics,
    count_authentication_failure,
    count_configuration_rejection,
    make_metrics,
    render,
)
from jujubenotch.operators import (
    InstanceDocument,
    OperatorDependencies,
    OperatorLimits,
    StatusDocument,
    UpstreamDocument,
    build_operator_app,
)
from jujubenotch.records import ConfigurationReplica, ConfigurationStore
from jujubenotch.traces import make_traces, read_trace, record_event

KEY = "an operator's key"
OTHER_KEY = "another operator's key"
START_TIMEOUT_S = 10
application_numbers = itertools.count(1)


@dataclass(kw_only=True)
class OperatorServer:
    platform: FaultyPlatform = field(default_factory=FaultyPlatform)
    metrics: Metrics = field(default_factory=make_metrics)
    metrics_need_key: bool = False
    is_ready: bool = True
    drained: dict = field(default_factory=dict)
    limits: OperatorLimits = field(default_factory=OperatorLimits)
    tls: object = None

    def __post_init__(self):
        self.store = ConfigurationStore(
            platform=self.platform,
            replica=ConfigurationReplica(),
            failure_backoff_s=0.01,
        )
        self.traces = make_traces()
        record_event(self.traces, "a-1", "queued", 1.0, tier=0)
        record_event(self.traces, "a-1", "ended", 1.5, outcome="completed")

    @property
    def address(self):
        return f"{'https' if self.tls else 'http'}://127.0.0.1:{self.port}"


def start_operator_server(context, **options):
    """Start a server, which is stopped at the end of the scenario."""
    server = OperatorServer(**options)
    started = threading.Event()
    server.thread = threading.Thread(target=_serve, args=(server, started))
    server.thread.start()
    assert started.wait(START_TIMEOUT_S) and hasattr(server, "port")
    context.add_cleanup(_stop_server, server)
    return server


def run_in_server(server, coroutine):
    """Run a coroutine in the event loop of the server and return its result."""
    return asyncio.run_coroutine_threadsafe(coroutine, server.loop).result(60)


def _serve(server, started):
    async def serve_until_stopped():
        server.loop = asyncio.get_running_loop()
        server.stopping = asyncio.Event()
        app = build_operator_app(
            f"operators-{next(application_numbers)}",
            _make_dependencies(server),
            server.limits,
        )
        listener = await start_listener(app, bind_socket("127.0.0.1", 0), server.tls)
        server.port = listener.port
        started.set()
        await server.stopping.wait()
        await stop_listener(listener)

    try:
        asyncio.run(serve_until_stopped())
    finally:
        started.set()


def _stop_server(server):
    server.loop.call_soon_threadsafe(server.stopping.set)
    server.thread.join(START_TIMEOUT_S)


def _make_dependencies(server):
    async def find_trace(request_id):
        return read_trace(server.traces, request_id)

    async def set_local_drain(name, is_draining):
        server.drained[name] = is_draining

    digests = tuple(
        hashlib.sha256(key.encode()).hexdigest() for key in (OTHER_KEY, KEY)
    )
    return OperatorDependencies(
        store=server.store,
        read_key_digests=lambda: digests,
        metrics_need_key=server.metrics_need_key,
        is_ready=lambda: server.is_ready,
        read_status=lambda: _read_status(server),
        read_upstreams=lambda: _read_upstreams(server),
        read_instances=lambda: [
            InstanceDocument(name="a", data_centre="north", is_self=True)
        ],
        find_trace=find_trace,
        set_local_drain=set_local_drain,
        render_metrics=lambda accept: render(server.metrics, accept),
        count_rejection=lambda reason: count_configuration_rejection(
            server.metrics, reason
        ),
        count_authentication_failure=lambda: count_authentication_failure(
            server.metrics, "operators"
        ),
    )


def _read_status(server):
    return StatusDocument(
        instance="a",
        data_centre="north",
        incarnation="1",
        release="0",
        revision=server.store.replica.revision,
        is_ready=server.is_ready,
        is_stopping=False,
        uptime_s=1.0,
        queued_by_tier={"0": 2},
    )


def _read_upstreams(server):
    configuration = server.store.replica.configuration
    return [
        UpstreamDocument(
            name=upstream.name,
            kind=upstream.kind,
            data_centre=upstream.data_centre,
            models=list(upstream.models),
            slots=upstream.slots,
            is_leaving=server.drained.get(upstream.name, False),
        )
        for upstream in configuration.upstreams.values()
    ]
