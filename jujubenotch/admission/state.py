"""The state of one pool: queues, accounts of upstreams, and slots held."""

from dataclasses import dataclass, field

from jujubenotch.admission.concurrency import ConcurrencyLimit
from jujubenotch.admission.heaps import LazyHeap, LazyStack
from jujubenotch.estimates import DecayingRate, RunningMean
from jujubenotch.outcomes import Refusal
from jujubenotch.records import Limits, Upstream
from jujubenotch.routing import Health, OtherLoad, PrefixAffinity, Speed
from jujubenotch.work import TIERS, Grant, WorkRequest

FAST_WINDOW_S = 5.0
SLOW_WINDOW_S = 60.0
HOLD_WEIGHT = 0.01


def _count_tiers():
    return [0] * TIERS


@dataclass(frozen=True, kw_only=True)
class RefusedRequest:
    """A request that left the queue without a slot."""

    request_id: str
    refusal: Refusal


@dataclass(eq=False, kw_only=True, slots=True)
class QueuedRequest:
    """A request that waits.

    :param sequence: Its place among all events of the pool.
    :param is_live: False once it was granted, refused or withdrawn.
    """

    request: WorkRequest
    sequence: int
    is_live: bool = True


@dataclass(eq=False, kw_only=True, slots=True)
class TeamAccount:
    """What one team has in progress over all tiers of a pool.

    :param limit: Requests that it may have in progress; 0 is no limit.
    :param last_limited: The sequence of the last event before which the team
        was at its limit.
    """

    name: str
    limit: int = 0
    in_progress: int = 0
    last_limited: int = 0
    shares: dict[int, "TeamShare"] = field(default_factory=dict)


@dataclass(eq=False, kw_only=True, slots=True)
class TeamShare:
    """A team's place in the fair queueing of one tier.

    :param tag: Its start tag, in tokens of cost for each unit of weight.
    :param queues: Its queues, by target.
    """

    account: TeamAccount
    tier: int
    weight: float
    tag: float = 0.0
    in_progress: int = 0
    queues: dict[str, "TeamQueue"] = field(default_factory=dict)


@dataclass(eq=False, kw_only=True, slots=True)
class TeamQueue:
    """A team's waiting requests in one lane, earliest deadline first.

    :param entry: Its entry in the lane's heap; ``None`` without one.
    """

    share: TeamShare
    requests: LazyHeap = field(default_factory=LazyHeap)
    entry: tuple | None = None


@dataclass(eq=False, kw_only=True, slots=True)
class Lane:
    """The waiting requests of one tier for one target.

    :param teams: Queues of the teams with waiting requests, by team.
    :param entries: Heap of (tag, number, team queue); stale entries are dropped
        when they come up.
    :param weight: Sum of the weights of the waiting teams.
    """

    tier: int
    target: str
    queued: int = 0
    weight: float = 0.0
    teams: dict[str, TeamQueue] = field(default_factory=dict)
    entries: list[tuple] = field(default_factory=list)


@dataclass(eq=False, kw_only=True, slots=True)
class ClassQueue:
    """The waiting requests of one class, oldest first.

    :param served_s: When its oldest request was granted last, monotonic.
    """

    name: str
    tier: int
    max_wait_s: float
    requests: LazyHeap = field(default_factory=LazyHeap)
    served_s: float = float("-inf")


@dataclass(eq=False, kw_only=True)
class UpstreamAccount:
    """The slots of one upstream.

    :param slots: Requests that this pool may run on it.
    :param capacity: Requests that it may run at present; 0 out of service.
    :param free: Slots that could be granted now.
    :param limit: What it holds within its classes' time between tokens.
    :param reported_slots: Requests that it says it can run; 0 is unknown.
    :param is_configured: False once the records dropped it.
    """

    record: Upstream
    slots: int
    capacity: int = 0
    free: int = 0
    running: int = 0
    running_by_tier: list[int] = field(default_factory=_count_tiers)
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    health: Health = field(default_factory=Health)
    speed: Speed = field(default_factory=Speed)
    others: OtherLoad = field(default_factory=OtherLoad)
    reported_slots: int = 0
    is_leaving: bool = False
    is_configured: bool = True

    @property
    def name(self) -> str:
        """The upstream's name."""
        return self.record.name


def _make_hold_mean():
    return RunningMean(weight=HOLD_WEIGHT)


@dataclass(eq=False, kw_only=True, slots=True)
class TierDemand:
    """What one tier asks of one target.

    :param fast: Recent arrivals; follows the start of a burst.
    :param slow: Arrivals over a longer time; outlasts a lull.
    :param hold_s: Mean time that its requests hold a slot, in seconds.
    :param hold_square: Mean square of that time, in seconds squared.
    :param started: Starts of its requests over a longer time.
    """

    fast: DecayingRate = field(
        default_factory=lambda: DecayingRate(window_s=FAST_WINDOW_S)
    )
    slow: DecayingRate = field(
        default_factory=lambda: DecayingRate(window_s=SLOW_WINDOW_S)
    )
    hold_s: RunningMean = field(default_factory=_make_hold_mean)
    hold_square: RunningMean = field(default_factory=_make_hold_mean)
    started: DecayingRate = field(
        default_factory=lambda: DecayingRate(window_s=SLOW_WINDOW_S)
    )


@dataclass(eq=False, kw_only=True)
class TargetAccount:
    """The upstreams that serve one model or plain service.

    :param slots: Sum of the upstreams' capacities.
    :param free: Sum of their free slots.
    :param mean_watts: Mean power of one slot, in watts.
    :param running_by_tier: Requests in progress for this target.
    :param demands: What each tier asks of it.
    :param lower_grants: The sequence of the last grant by tier, other than the
        floor's, on an upstream that serves this target.
    :param needs: Slots that the tiers above each tier need.
    :param needs_at_s: When they were worked out, monotonic, in seconds.
    """

    name: str
    accounts: list[UpstreamAccount] = field(default_factory=list)
    slots: int = 0
    free: int = 0
    running_by_tier: list[int] = field(default_factory=_count_tiers)
    mean_watts: float = 0.0
    demands: list[TierDemand] = field(
        default_factory=lambda: [TierDemand() for _ in range(TIERS)]
    )
    lower_grants: list[int] = field(default_factory=_count_tiers)
    needs: list[int] = field(default_factory=_count_tiers)
    needs_at_s: float | None = None


@dataclass(eq=False, kw_only=True, slots=True)
class HeldSlot:
    """A slot that was granted and not released yet.

    :param cost: What its team was charged, in tokens.
    :param watts: What it takes of the power cap, in watts.
    :param is_floor: Whether the floor gave it.
    :param is_probe: Whether it probes an ejected upstream.
    :param is_prefix_hit: Whether it went where its prefix had gone last;
        ``None`` without a prefix.
    :param between_tokens_target_s: Its class's bound; 0 is no bound.
    """

    grant: Grant
    target: str
    team: TeamAccount
    service_class: str
    tier: int
    started_s: float
    cost: float
    watts: float
    is_floor: bool = False
    is_probe: bool = False
    is_prefix_hit: bool | None = None
    between_tokens_target_s: float = 0.0


@dataclass(eq=False, kw_only=True)
class Pool:
    """The queues and the slot account of one group of upstreams.

    Made by :func:`make_pool`, changed only by the functions of this package.

    :param name: The group's name.
    :param home: The instance that keeps the account; empty for a fallback.
    :param id_prefix: Starts each grant's id; unique over all instances.
    :param power_watts: Power that running requests may take, in watts.
    :param watts_in_use: Power that they take, in watts.
    :param ejected: Upstreams that get nothing but probes, by name.
    :param next_change_s: When time alone next changes an upstream's capacity.
    :param typical: The latency seen over the whole group.
    :param affinity: Where prompt prefixes went.
    :param tiers: Tiers of the classes that use the group.
    :param floor_running: Slots held that the floor gave.
    :param held_requests: The requests that hold a slot granted by this pool.
    :param sequence: Number of the last event; orders arrivals and grants.
    :param offers: Entries made in lanes so far; keeps equal tags in order.
    :param virtual_time: The start tag granted last, by tier.
    """

    name: str
    home: str
    id_prefix: str
    limits: Limits = field(default_factory=Limits)
    power_watts: float | None = None
    watts_in_use: float = 0.0
    tiers: frozenset[int] = frozenset(range(TIERS))
    floor_running: int = 0
    ejected: dict[str, UpstreamAccount] = field(default_factory=dict)
    next_change_s: float = float("inf")
    typical: Speed = field(default_factory=Speed)
    affinity: PrefixAffinity = field(default_factory=PrefixAffinity)
    upstreams: dict[str, UpstreamAccount] = field(default_factory=dict)
    targets: dict[str, TargetAccount] = field(default_factory=dict)
    queued: dict[str, QueuedRequest] = field(default_factory=dict)
    lanes: list[dict[str, Lane]] = field(
        default_factory=lambda: [{} for _ in range(TIERS)]
    )
    queued_by_tier: list[int] = field(default_factory=_count_tiers)
    newest: list[LazyStack] = field(
        default_factory=lambda: [LazyStack() for _ in range(TIERS)]
    )
    deadlines: LazyHeap = field(default_factory=LazyHeap)
    classes: dict[str, ClassQueue] = field(default_factory=dict)
    teams: dict[str, TeamAccount] = field(default_factory=dict)
    teams_after_sweep: int = 0
    virtual_time: list[float] = field(default_factory=lambda: [0.0] * TIERS)
    learned_tokens: dict[tuple[str, str], RunningMean] = field(default_factory=dict)
    held: dict[str, HeldSlot] = field(default_factory=dict)
    held_requests: set[str] = field(default_factory=set)
    refused: list[RefusedRequest] = field(default_factory=list)
    grants_made: int = 0
    sequence: int = 0
    offers: int = 0
