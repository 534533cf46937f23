"""How the instances of a data centre divide its upstreams among them.

Errors: none; a refusal is a value. Features: ``features/capacity``.
"""

from jujubenotch.capacity.independent import IndependentCapacity
from jujubenotch.capacity.interface import Capacity
from jujubenotch.capacity.local import LocalCapacity
from jujubenotch.capacity.peered import (
    MemberState,
    PeeredCapacity,
    UpstreamState,
    start_peered_capacity,
)
from jujubenotch.capacity.peered_model import PeeredDependencies

__all__ = [
    "Capacity",
    "IndependentCapacity",
    "LocalCapacity",
    "MemberState",
    "PeeredCapacity",
    "PeeredDependencies",
    "UpstreamState",
    "start_peered_capacity",
]
