"""Binds the sockets that listeners use.

This package imports no third-party library, so a program can bind its sockets
before it imports the slower modules.

Errors: ``ListenerError``. Features: ``features/listeners``.
"""

from jujubenotch.sockets.core import ListenerError, bind_socket

__all__ = ["ListenerError", "bind_socket"]
