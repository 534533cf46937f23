"""The state of the slot allocations that an instance keeps, and of their holders."""

from collections.abc import Callable
from dataclasses import dataclass, field

from jujubenotch.capacity.groups import GroupPlan
from jujubenotch.capacity.pool_runner import PoolRunner
from jujubenotch.outcomes import Refusal


@dataclass(frozen=True, kw_only=True, eq=False)
class HolderCallbacks:
    """Callbacks that tell a holder what was decided on its requests.

    :param queued: Takes the number of a request that was queued.
    :param granted: Takes the number of a request and the upstream of its slot.
    :param refused: Takes the number of a request and the refusal.
    :param not_coordinator: Takes the name of a group whose slot allocation is not kept
        here.
    """

    queued: Callable[[int], None]
    granted: Callable[[int, str], None]
    refused: Callable[[int, Refusal], None]
    not_coordinator: Callable[[str], None]


@dataclass(kw_only=True)
class HolderRequest:
    """One request of a holder, from its arrival until its slot is released.

    :param grant_id: The id of the grant in the pool; empty while the request
        waits.
    """

    holder: str
    number: int
    group: str
    grant_id: str = ""


@dataclass(kw_only=True)
class Holder:
    """One instance that gets slots from the slot allocations kept here.

    :param callbacks: The callbacks that answer the holder on its current session.
    :param entries: The requests and slots, by the holder's request number.
    :param disconnected_s: When its session ended, on this process's monotonic clock;
        ``None`` while a session is open.
    """

    name: str
    incarnation: int
    callbacks: HolderCallbacks
    entries: dict[int, HolderRequest] = field(default_factory=dict)
    disconnected_s: float | None = None


@dataclass(kw_only=True)
class CoordinatedGroup:
    """One group whose slot allocation is kept here.

    :param share: The fraction of each upstream's slots that may be granted.
    :param opened_s: When the slot allocation was opened, on this process's monotonic
        clock.
    :param attached: The holders that have reported the slots that they hold.
    :param left_s: When each holder that switched to another slot source did so, on
        the same clock. Its slots stay counted for a while, since the work on
        them still runs.
    """

    plan: GroupPlan
    share: float
    opened_s: float
    attached: set[str] = field(default_factory=set)
    left_s: dict[str, float] = field(default_factory=dict)


@dataclass(kw_only=True)
class Coordinator:
    """All slot allocations kept here.

    Modified only by the modules ``coordinator`` and ``holders``.

    An instance has one ``Coordinator`` for the groups that it coordinates, and another
    one for its fallback share of every group.

    :param pool_runner: The pools of the slot allocations; its callback is
        ``coordinator.deliver``.
    :param groups: The groups whose slot allocations are kept here, by name.
    :param holders: The holders by name.
    :param entries: The requests and slots of all holders, by their id in the pool.

    >>> Coordinator.__name__
    'Coordinator'
    """

    pool_runner: PoolRunner
    groups: dict[str, CoordinatedGroup] = field(default_factory=dict)
    holders: dict[str, Holder] = field(default_factory=dict)
    entries: dict[str, HolderRequest] = field(default_factory=dict)
