"""The daemon, ``jujubenotchd``: assembles and runs the components of one instance.

Errors: ``DaemonError``. Features: ``features/daemon``.
"""

from jujubenotch.daemon.errors import DaemonError

__all__ = ["DaemonError"]
