"""The daemon, ``jujubenotchd``: puts the parts of one instance together.

Errors: ``DaemonError``. Features: ``features/daemon``.
"""

from jujubenotch.daemon.errors import DaemonError

__all__ = ["DaemonError"]
