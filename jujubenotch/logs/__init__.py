"""Structured logs: one line of key=value pairs, or of JSON, for each event.

Errors: none. Features: ``features/logs``.
"""

from jujubenotch.logs.core import configure_logging, log_event

__all__ = ["configure_logging", "log_event"]
