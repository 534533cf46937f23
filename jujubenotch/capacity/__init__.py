"""How the instances of a data centre divide its upstreams among them.

Errors: none; a refusal is a value. Features: ``features/capacity``.
"""

from jujubenotch.capacity.interface import Capacity
from jujubenotch.capacity.local import LocalCapacity

__all__ = ["Capacity", "LocalCapacity"]
