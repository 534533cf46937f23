"""Serves HTTP applications in the daemon's own loop.

Errors: ``ListenerError``. Features: ``features/daemon``.
"""

from jujubenotch.listeners.bounds import ConnectionBounds
from jujubenotch.listeners.core import (
    Listener,
    ListenerError,
    bind_socket,
    start_listener,
    stop_listener,
)

__all__ = [
    "ConnectionBounds",
    "Listener",
    "ListenerError",
    "bind_socket",
    "start_listener",
    "stop_listener",
]
