"""Counts the requests of each team by window, and the demand for each service.

Errors: none. Features: ``features/usage``.
"""

from jujubenotch.usage.model import ServiceDemand

__all__ = ["ServiceDemand"]
