"""Serves HTTP applications in the daemon's event loop.

Errors: ``ListenerError``. Features: ``features/listeners``.
"""

from jujubenotch.listeners.bounds import NO_LIMITS, ListenerLimits, is_well_formed
from jujubenotch.listeners.core import (
    Listener,
    RequestLimits,
    set_request_limits,
    start_listener,
    stop_listener,
)
from jujubenotch.listeners.http import is_body_at_hand
from jujubenotch.sockets import ListenerError, bind_socket

__all__ = [
    "NO_LIMITS",
    "Listener",
    "ListenerError",
    "ListenerLimits",
    "RequestLimits",
    "bind_socket",
    "is_body_at_hand",
    "is_well_formed",
    "set_request_limits",
    "start_listener",
    "stop_listener",
]
