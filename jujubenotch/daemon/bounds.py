"""Turns the settings into the bounds of connections."""

from jujubenotch.callers import CallerLimits
from jujubenotch.daemon.parts import Instance
from jujubenotch.listeners import ConnectionBounds
from jujubenotch.metrics import count_refused_connection
from jujubenotch.settings import Settings
from jujubenotch.upstreams import ConnectionLimits


def read_connection_limits(settings: Settings) -> ConnectionLimits:
    """Read the bounds on connections to upstreams.

    :param settings: The checked settings.
    :returns: The bounds.
    """
    upstreams = settings.upstreams
    return ConnectionLimits(
        connect_timeout_s=upstreams.connect_timeout_s,
        idle_timeout_s=upstreams.idle_timeout_s,
        answer_timeout_s=upstreams.answer_timeout_s,
        keepalive_s=upstreams.keepalive_s,
        tcp_user_timeout_s=upstreams.tcp_user_timeout_s,
    )


def read_connection_bounds(instance: Instance) -> ConnectionBounds:
    """Read the bounds on callers' connections.

    :param instance: The instance, which counts the refused ones.
    :returns: The bounds.
    """
    callers = instance.settings.callers
    metrics = instance.observer.metrics
    return ConnectionBounds(
        max_connections=callers.max_connections,
        header_timeout_s=callers.header_timeout_s,
        body_timeout_s=callers.body_timeout_s,
        count_refused=lambda: count_refused_connection(metrics, "callers"),
    )


def read_caller_limits(settings: Settings) -> CallerLimits:
    """Read the bounds on what a caller may send.

    :param settings: The checked settings.
    :returns: The bounds.
    """
    callers = settings.callers
    return CallerLimits(
        max_body_bytes=callers.max_body_bytes,
        max_header_bytes=callers.max_header_bytes,
        body_timeout_s=callers.body_timeout_s,
        idle_timeout_s=callers.idle_timeout_s,
    )
