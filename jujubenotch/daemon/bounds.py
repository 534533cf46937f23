"""Builds the limits on connections from the settings."""

from jujubenotch.callers import CallerLimits
from jujubenotch.daemon.parts import Instance
from jujubenotch.listeners import ListenerLimits
from jujubenotch.metrics import count_refused_connection
from jujubenotch.settings import Settings
from jujubenotch.upstreams import ConnectionLimits


def read_connection_limits(settings: Settings) -> ConnectionLimits:
    """Build the limits on connections to upstreams.

    :param settings: The validated settings.
    :returns: The limits.
    """
    upstreams = settings.upstreams
    return ConnectionLimits(
        connect_timeout_s=upstreams.connect_timeout_s,
        idle_timeout_s=upstreams.idle_timeout_s,
        answer_timeout_s=upstreams.answer_timeout_s,
        keepalive_s=upstreams.keepalive_s,
        tcp_user_timeout_s=upstreams.tcp_user_timeout_s,
    )


def read_connection_bounds(instance: Instance) -> ListenerLimits:
    """Build the limits on connections from callers.

    :param instance: The instance; its metrics count the refused connections.
    :returns: The limits.
    """
    callers = instance.settings.callers
    metrics = instance.observer.metrics
    return ListenerLimits(
        max_connections=callers.max_connections,
        header_timeout_s=callers.header_timeout_s,
        body_timeout_s=callers.body_timeout_s,
        count_refused_connection=lambda: count_refused_connection(metrics, "callers"),
    )


def read_caller_limits(settings: Settings) -> CallerLimits:
    """Build the limits on the size of a caller's requests and on their time-outs.

    :param settings: The validated settings.
    :returns: The limits.
    """
    callers = settings.callers
    return CallerLimits(
        max_body_bytes=callers.max_body_bytes,
        max_header_bytes=callers.max_header_bytes,
        body_timeout_s=callers.body_timeout_s,
        idle_timeout_s=callers.idle_timeout_s,
    )
