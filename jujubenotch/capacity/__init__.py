"""Allocates the slots of a data centre's upstreams to its instances.

Upstreams that share a target, directly or through other upstreams, form a group.
Each group has one coordinator, which keeps the group's slot allocation: the slots
granted, the instances that hold them, and the requests that are queued. The other
instances request slots from the coordinator. An instance that cannot reach the
coordinator grants slots itself, from a fallback share that is small enough for all
instances to do the same at once.

Refused requests are returned as values, not raised as exceptions. Features:
``features/capacity``.
"""

from jujubenotch.capacity.independent import IndependentCapacity
from jujubenotch.capacity.local import LocalCapacity
from jujubenotch.capacity.peered import CoordinatedCapacity
from jujubenotch.capacity.peered_model import CoordinatedCapacityDependencies
from jujubenotch.capacity.start import start_coordinated_capacity
from jujubenotch.capacity.views import MemberState, UpstreamState
from jujubenotch.work import SlotProvider

__all__ = [
    "CoordinatedCapacity",
    "CoordinatedCapacityDependencies",
    "IndependentCapacity",
    "LocalCapacity",
    "MemberState",
    "SlotProvider",
    "UpstreamState",
    "start_coordinated_capacity",
]
