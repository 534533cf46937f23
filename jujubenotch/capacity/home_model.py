"""The accounts that an instance keeps, and who holds slots of them."""

from collections.abc import Callable
from dataclasses import dataclass, field

from jujubenotch.capacity.groups import GroupPlan
from jujubenotch.capacity.keeper import PoolKeeper
from jujubenotch.outcomes import Refusal


@dataclass(frozen=True, kw_only=True, eq=False)
class HolderAnswers:
    """How a holder is told what became of its requests, by their numbers."""

    queued: Callable[[int], None]
    granted: Callable[[int, str], None]
    refused: Callable[[int, Refusal], None]
    not_home: Callable[[str], None]


@dataclass(kw_only=True)
class HomeEntry:
    """One request of a holder, from its arrival until its slot is given back.

    :param grant_id: The pool's name of its slot; empty while it waits.
    """

    holder: str
    number: int
    group: str
    grant_id: str = ""


@dataclass(kw_only=True)
class Holder:
    """One instance that gets slots here.

    :param entries: Its requests and slots, by its own numbers.
    :param lost_s: When its session ended, on this process's monotonic clock.
    """

    name: str
    incarnation: int
    answers: HolderAnswers
    entries: dict[int, HomeEntry] = field(default_factory=dict)
    lost_s: float | None = None


@dataclass(kw_only=True)
class HomeGroup:
    """One group whose account is kept here.

    :param opened_s: Since when, on this process's monotonic clock.
    :param attached: The holders that have told what they hold.
    :param left_s: When holders left for another account, same clock; their
        slots still count for a while, since they still run.
    """

    plan: GroupPlan
    share: float
    opened_s: float
    attached: set[str] = field(default_factory=set)
    left_s: dict[str, float] = field(default_factory=dict)


@dataclass(kw_only=True)
class Home:
    """All accounts kept here, changed only by ``home`` and ``holders``.

    :param keeper: Their pools; its callback is ``home.deliver``.

    >>> Home.__name__
    'Home'
    """

    keeper: PoolKeeper
    groups: dict[str, HomeGroup] = field(default_factory=dict)
    holders: dict[str, Holder] = field(default_factory=dict)
    entries: dict[str, HomeEntry] = field(default_factory=dict)
