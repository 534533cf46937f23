"""Structured logs: one line of key=value pairs or of JSON for each event.

The forwarder writes its log to standard output through ``BoundedOutput``, which
limits the rate of lines and the buffered bytes, and never blocks.

Errors: none. Features: ``features/logs``.
"""

from jujubenotch.logs.bounded import BoundedOutput, open_bounded_output
from jujubenotch.logs.core import configure_logging, log_event

__all__ = [
    "BoundedOutput",
    "configure_logging",
    "log_event",
    "open_bounded_output",
]
