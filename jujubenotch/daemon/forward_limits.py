"""The limits on memory and connections of an instance that routes by host and path."""

from jujubenotch.daemon.forward_parts import ForwardingInstance
from jujubenotch.listeners import ListenerLimits
from jujubenotch.metrics import count_refused_connection

BYTES_PER_MB = 1_000_000
# What the process needs by itself.
BASE_MEMORY_MB = 70
# The share of the rest that requests and responses in progress may hold. Each of them
# is copied once when it is complete, and what arrives next is not counted yet.
IN_PROGRESS_MEMORY_SHARE = 0.25
MIN_IN_PROGRESS_MB = 8
# Files, and the connections to the store and for the instance's own status.
RESERVED_DESCRIPTORS = 200
# The shares of the other descriptors for callers, and for those that are accepted
# before idle ones have given way; the rest is for upstreams.
CALLER_DESCRIPTOR_SHARE = 0.5
BACKLOG_DESCRIPTOR_SHARE = 0.1
# Twice the calls of other instances that are in progress at once.
MAX_HELP_CONNECTIONS = 512
MAX_STATUS_CONNECTIONS = 64
STATUS_TIMEOUT_S = 5.0


def choose_in_progress_bytes(memory_mb: float) -> int:
    """Choose how many bytes requests and responses in progress may hold together.

    :param memory_mb: The memory that the process may use, in millions of bytes.
    """
    share_mb = (memory_mb - BASE_MEMORY_MB) * IN_PROGRESS_MEMORY_SHARE
    return int(max(MIN_IN_PROGRESS_MB, share_mb) * BYTES_PER_MB)


def make_caller_limits(instance: ForwardingInstance) -> ListenerLimits:
    """Make the limits on callers' connections.

    :param instance: The instance.
    """
    descriptors = max(0, instance.settings.max_descriptors - RESERVED_DESCRIPTORS)
    return _make_limits(
        instance,
        "callers",
        max_connections=max(1, int(descriptors * CALLER_DESCRIPTOR_SHARE)),
        backlog=max(1, int(descriptors * BACKLOG_DESCRIPTOR_SHARE)),
    )


def make_help_limits(instance: ForwardingInstance) -> ListenerLimits:
    """Make the limits on the connections of other instances.

    :param instance: The instance.
    """
    return _make_limits(instance, "instances", max_connections=MAX_HELP_CONNECTIONS)


def make_status_limits(instance: ForwardingInstance, name: str) -> ListenerLimits:
    """Make the limits on the connections for readiness or for metrics.

    :param instance: The instance.
    :param name: The name of the listener.
    """
    limits = _make_limits(instance, name, max_connections=MAX_STATUS_CONNECTIONS)
    limits.header_timeout_s = STATUS_TIMEOUT_S
    limits.body_timeout_s = STATUS_TIMEOUT_S
    return limits


def _make_limits(instance, name, **counts):
    bounds = instance.state.bounds
    metrics = instance.observer.metrics
    return ListenerLimits(
        **counts,
        header_timeout_s=bounds.header_timeout_s,
        body_timeout_s=bounds.idle_timeout_s,
        count_refused_connection=lambda: count_refused_connection(metrics, name),
        memory=instance.memory,
    )
