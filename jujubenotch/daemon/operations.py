"""The state and operations of an instance that operators can access."""

import logging
import time
from importlib import metadata

from jujubenotch.daemon.parts import Instance
from jujubenotch.invariants import read_violations
from jujubenotch.logs import log_event
from jujubenotch.metrics import (
    count_authentication_failure,
    count_configuration_rejection,
    render,
    set_peers_connected,
    set_queued,
    set_requests_in_progress,
    set_slots_in_use,
)
from jujubenotch.operators import (
    InstanceDocument,
    OperatorDependencies,
    StatusDocument,
    UpstreamDocument,
)
from jujubenotch.peers import PeerError
from jujubenotch.traces import Trace, TracesError, decode_trace, read_trace
from jujubenotch.work import TIERS

logger = logging.getLogger(__name__)

# A request's id is the instance's name, its incarnation and a sequence number,
# joined by hyphens.
REQUEST_ID_SUFFIXES = 2


def make_operator_dependencies(instance: Instance) -> OperatorDependencies:
    """Make the dependencies of the operators' interface.

    :param instance: The running instance.
    :returns: The dependencies.
    """
    metrics = instance.observer.metrics

    async def set_local_drain(upstream, is_drained):
        instance.capacity.drain(upstream, is_drained=is_drained)
        log_event(
            logger,
            logging.INFO,
            "local-drain-set" if is_drained else "local-drain-cleared",
            upstream=upstream,
        )

    return OperatorDependencies(
        store=instance.follower.store,
        read_key_digests=lambda: instance.operator_key_digests,
        metrics_need_key=instance.settings.operators.metrics_need_key,
        is_ready=lambda: instance.is_ready,
        read_status=lambda: read_status(instance, time.monotonic()),
        read_upstreams=lambda: read_upstreams(instance),
        read_instances=lambda: read_instances(instance),
        find_trace=lambda request_id: find_trace(instance, request_id),
        set_local_drain=set_local_drain,
        render_metrics=lambda accept: render_metrics(instance, accept),
        count_rejection=lambda reason: count_configuration_rejection(metrics, reason),
        count_authentication_failure=lambda: count_authentication_failure(
            metrics, "operators"
        ),
    )


def read_status(instance: Instance, now_s: float) -> StatusDocument:
    """Read the status of an instance.

    :param instance: The instance.
    :param now_s: The current monotonic time, in seconds.
    :returns: The instance's status.
    """
    follower = instance.follower
    platform_age_s = None
    if follower.last_platform_reply_s is not None:
        platform_age_s = now_s - follower.last_platform_reply_s
    queued = instance.capacity.count_queued()
    return StatusDocument(
        instance=instance.name,
        data_centre=instance.settings.instance.data_centre,
        incarnation=str(instance.incarnation),
        release=metadata.version("jujubenotch"),
        revision=follower.replica.revision,
        is_ready=instance.is_ready,
        is_stopping=instance.stopping.is_set(),
        uptime_s=now_s - instance.started_s,
        platform_age_s=platform_age_s,
        requests_in_progress=len(instance.dispatcher.in_progress),
        queued_by_tier={str(tier): queued[tier] for tier in range(TIERS)},
        peers_connected=instance.capacity.count_peers(),
        invariant_violations=read_violations(),
    )


def read_upstreams(instance: Instance) -> list[UpstreamDocument]:
    """List all upstreams; those of other data centres have only their records' fields.

    :param instance: The instance.
    :returns: The upstreams, sorted by name.
    """
    states = {state.name: state for state in instance.capacity.list_upstream_states()}
    configuration = instance.follower.replica.configuration
    return [
        _describe_upstream(record, states.get(record.name))
        for _, record in sorted(configuration.upstreams.items())
    ]


def read_instances(instance: Instance) -> list[InstanceDocument]:
    """List the instances known to this one.

    :param instance: The instance.
    :returns: The instances, sorted by name.
    """
    return [
        InstanceDocument(
            name=member.name,
            data_centre=member.data_centre,
            peer_address=member.address,
            is_self=member.name == instance.name,
            is_connected=member.is_live and member.name != instance.name,
            is_leaving=member.is_leaving,
            heard_age_s=member.heard_age_s,
        )
        for member in instance.capacity.list_members()
    ]


async def find_trace(instance: Instance, request_id: str) -> Trace | None:
    """Find the trace of a request, locally or at the instance that received it.

    :param instance: The instance that was queried.
    :param request_id: The request's id, which begins with the name of the
        instance that received the request.
    :returns: The trace; ``None`` when it doesn't exist or can't be fetched.
    """
    name = request_id.rsplit("-", REQUEST_ID_SUFFIXES)[0]
    if name == instance.name:
        return read_trace(instance.observer.traces, request_id)
    try:
        content = await instance.capacity.fetch_trace(name, request_id)
        return decode_trace(content) if content else None
    except (PeerError, TracesError) as error:
        log_event(
            logger,
            logging.WARNING,
            "trace-not-fetched",
            peer=name,
            error=type(error).__name__,
        )
        return None


def render_metrics(instance: Instance, accept: str) -> tuple[bytes, str]:
    """Update the gauges and render all metrics.

    :param instance: The instance.
    :param accept: The value of the request's ``Accept`` header.
    :returns: The body and its content type.
    """
    metrics = instance.observer.metrics
    queued = instance.capacity.count_queued()
    for tier in range(TIERS):
        set_queued(metrics, tier, queued[tier])
    for state in instance.capacity.list_upstream_states():
        if state.slots_in_use is not None:
            set_slots_in_use(metrics, state.name, state.slots_in_use)
    set_peers_connected(metrics, instance.capacity.count_peers())
    set_requests_in_progress(metrics, len(instance.dispatcher.in_progress))
    return render(metrics, accept)


def _describe_upstream(record, state):
    document = UpstreamDocument(
        name=record.name,
        kind=str(record.kind),
        data_centre=record.data_centre,
        models=list(record.models),
        slots=record.slots,
    )
    if state is None:
        return document
    health = "ejected" if state.is_ejected else "in-service"
    return document.model_copy(
        update={
            "slots_in_use": state.slots_in_use or 0,
            "health": health if state.slots_in_use is not None else "unknown",
            "is_leaving": state.is_leaving,
            "home": state.coordinator,
        }
    )
