"""How the instances of a data centre divide its upstreams among them.

Errors: none; a refusal is a value. Features: ``features/capacity``.
"""

from jujubenotch.capacity.independent import IndependentCapacity
from jujubenotch.capacity.local import LocalCapacity
from jujubenotch.capacity.peered import PeeredCapacity
from jujubenotch.capacity.peered_model import PeeredDependencies
from jujubenotch.capacity.start import start_peered_capacity
from jujubenotch.capacity.views import MemberState, UpstreamState
from jujubenotch.work import Capacity

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
