"""Binds listening sockets; loads no library, so that it can be done first.

Errors: ``ListenerError``. Features: ``features/listeners``.
"""

from jujubenotch.sockets.core import ListenerError, bind_socket

__all__ = ["ListenerError", "bind_socket"]
