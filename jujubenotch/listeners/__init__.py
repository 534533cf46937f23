"""Serves HTTP applications in the daemon's event loop.

Errors: ``ListenerError``. Features: ``features/listeners``.
"""

from jujubenotch.listeners.bounds import ConnectionBounds, is_well_formed
from jujubenotch.listeners.core import (
    Listener,
    RequestLimits,
    set_request_limits,
    start_listener,
    stop_listener,
)
from jujubenotch.sockets import ListenerError, bind_socket

__all__ = [
    "ConnectionBounds",
    "Listener",
    "ListenerError",
    "RequestLimits",
    "bind_socket",
    "set_request_limits",
    "is_well_formed",
    "start_listener",
    "stop_listener",
]
