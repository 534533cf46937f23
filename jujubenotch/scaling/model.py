"""Data model of orders of upstreams."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

NEVER_S = float("-inf")


class CapacityKind(StrEnum):
    """Whether the platform may reclaim an upstream."""

    STANDARD = "standard"
    PREEMPTIBLE = "preemptible"


class ChangeReason(StrEnum):
    """Why an order is sent."""

    DEMAND = "demand"
    REPLACEMENT = "replacement"
    RECLAIMED = "reclaimed"
    UNANSWERED = "unanswered"
    NOT_MET = "not-met"


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class OrderKey:
    """What an order is for: one kind of a service's upstreams in a data centre."""

    service: str
    data_centre: str
    kind: CapacityKind


@dataclass(frozen=True, kw_only=True, slots=True)
class Presence:
    """The listed upstreams of one kind in a data centre.

    :param ready: Upstreams that take requests.
    :param leaving: Upstreams that are draining.
    """

    ready: int = 0
    leaving: int = 0


@dataclass(kw_only=True, slots=True)
class Order:
    """The number of upstreams that was ordered last; times are in seconds.

    :param count: The ordered number.
    :param previous: The number before that, which may still hold while the order is
        not settled.
    :param is_settled: Whether the platform has confirmed the order.
    :param raised_s: When the number was last increased.
    :param lowered_s: When the number was last decreased.
    :param lowered_by: How many upstreams leave because of recent decreases.
    :param differs_s: Since when the listed number has differed from the ordered one;
        ``None`` while it is equal.
    :param repeats: How often the order has been repeated as it was not met.
    """

    count: int
    previous: int
    is_settled: bool = True
    raised_s: float = NEVER_S
    lowered_s: float = NEVER_S
    lowered_by: int = 0
    differs_s: float | None = None
    repeats: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderChange:
    """An order to be sent.

    :param before: The number that was ordered before.
    """

    key: OrderKey
    count: int
    before: int
    reason: ChangeReason


@dataclass(kw_only=True, slots=True)
class Block:
    """A kind that is not ordered in a data centre for some time.

    :param until_s: When it may be ordered again, in seconds.
    :param pause_s: The length of the pause, in seconds.
    """

    until_s: float
    pause_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DemandSample:
    """The demand for a service at one instant.

    :param offered_slots: Slots in use, and those that refused requests would use.
    :param offered_by_place: The same by the data centre of the instances.
    :param instances: The number of instances that reported.
    """

    at_s: float
    offered_slots: float
    offered_by_place: dict[str, float]
    instances: int


@dataclass(kw_only=True, slots=True)
class DemandHistory:
    """The recent demand for a service, oldest sample first.

    :param has_arrivals: Whether requests have ever arrived.
    """

    samples: deque[DemandSample] = field(default_factory=deque)
    has_arrivals: bool = False


@dataclass(kw_only=True, slots=True)
class ServicePlan:
    """How many upstreams a service needs, and where.

    :param needed: The number of upstreams that the demand needs.
    :param totals: Upstreams of both kinds to have in each data centre.
    :param lowered_s: When a total was last decreased, in seconds.
    :param doubt: Why the demand is no reason to order less; ``None`` when it is one.
    """

    needed: int
    totals: dict[str, int]
    lowered_s: float = NEVER_S
    doubt: str | None = None


@dataclass(kw_only=True, slots=True)
class ScalingState:
    """All orders and what they are based on.

    :param blocks: The kinds that are not ordered for some time.
    :param is_restored: Whether the orders come from an earlier holder of the lease.
    """

    orders: dict[OrderKey, Order] = field(default_factory=dict)
    plans: dict[str, ServicePlan] = field(default_factory=dict)
    histories: dict[str, DemandHistory] = field(default_factory=dict)
    blocks: dict[OrderKey, Block] = field(default_factory=dict)
    is_restored: bool = False
