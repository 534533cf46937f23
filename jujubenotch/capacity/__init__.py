"""How the instances of a data centre divide its upstreams among them.

Errors: none; a refusal is a value. Features: ``features/capacity``.
"""

from jujubenotch.capacity.interface import Capacity

__all__ = ["Capacity"]
