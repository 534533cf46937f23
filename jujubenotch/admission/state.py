"""The state of one pool: queues, usages of upstreams, and held slots."""

from dataclasses import dataclass, field

from jujubenotch.admission.concurrency import ConcurrencyLimit
from jujubenotch.admission.heaps import LazyHeap, LazyStack
from jujubenotch.estimates import DecayingRate, RunningMean
from jujubenotch.outcomes import Refusal
from jujubenotch.records import Limits, Upstream
from jujubenotch.routing import ExternalLoad, Health, ObservedLatency, PrefixAffinity
from jujubenotch.work import TIERS, Grant, WorkRequest

FAST_WINDOW_S = 5.0
SLOW_WINDOW_S = 60.0
HOLD_WEIGHT = 0.01


def _count_tiers():
    return [0] * TIERS


@dataclass(frozen=True, kw_only=True)
class RefusedRequest:
    """A request that was removed from the queue without getting a slot."""

    request_id: str
    refusal: Refusal


@dataclass(eq=False, kw_only=True, slots=True)
class QueuedRequest:
    """The queue entry of a waiting request.

    :param sequence: The request's number in the sequence of all events of the
        pool.
    :param is_live: False once the request was granted, refused or withdrawn.
    """

    request: WorkRequest
    sequence: int
    is_live: bool = True


@dataclass(eq=False, kw_only=True, slots=True)
class TeamUsage:
    """The requests in progress and the limit of one team, over all tiers of a pool.

    :param limit: Number of requests that the team may have in progress; 0 means
        no limit.
    :param in_progress: Number of requests that the team has in progress.
    :param last_at_limit: The sequence number of the last event at which the team
        was found at its limit, before the limit was changed or a slot of the
        team was released.
    :param shares: The team's share of each tier, by tier.
    """

    name: str
    limit: int = 0
    in_progress: int = 0
    last_at_limit: int = 0
    shares: dict[int, "TeamShare"] = field(default_factory=dict)


@dataclass(eq=False, kw_only=True, slots=True)
class TeamShare:
    """The state of one team in the fair queueing of one tier.

    :param tag: The team's start tag, in tokens of cost for each unit of weight.
    :param queues: The team's non-empty queues in the tier, by target.
    """

    usage: TeamUsage
    tier: int
    weight: float
    tag: float = 0.0
    in_progress: int = 0
    queues: dict[str, "TeamQueue"] = field(default_factory=dict)


@dataclass(eq=False, kw_only=True, slots=True)
class TeamQueue:
    """A team's waiting requests in one target queue, earliest deadline first.

    :param entry: The current entry of this queue in the target queue's heap; ``None``
        when the heap has none.
    """

    share: TeamShare
    requests: LazyHeap = field(default_factory=LazyHeap)
    entry: tuple | None = None


@dataclass(eq=False, kw_only=True, slots=True)
class TargetQueue:
    """The waiting requests of one tier for one target.

    :param queued: Number of waiting requests.
    :param teams: Queues of the teams with waiting requests, by team.
    :param entries: Heap of (tag, number, team queue); stale entries are dropped
        when they reach the top or when there are too many entries.
    :param weight: Sum of the weights of the teams with waiting requests.
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

    :param max_wait_s: Interval within which the max-wait guarantee grants the
        class's oldest request a slot, in seconds.
    :param oldest_granted_s: Monotonic time at which the class's oldest request
        was last granted a slot, in seconds.
    """

    name: str
    tier: int
    max_wait_s: float
    requests: LazyHeap = field(default_factory=LazyHeap)
    oldest_granted_s: float = float("-inf")


@dataclass(eq=False, kw_only=True)
class UpstreamUsage:
    """The slots of one upstream.

    :param slots: Number of requests that this pool may run on the upstream.
    :param capacity: Number of requests that the upstream may run at present; 0
        when it is out of service or ejected.
    :param free: Number of slots that could be granted now.
    :param running: Number of slots held on the upstream.
    :param limit: The concurrency limit that keeps the time between tokens
        within the targets of the classes.
    :param external_load: Requests on the upstream that this pool did not grant.
    :param reported_slots: Number of requests that the upstream reports it can
        run at once; 0 when unknown.
    :param is_configured: False once the upstream was removed from the records.
    """

    record: Upstream
    slots: int
    capacity: int = 0
    free: int = 0
    running: int = 0
    running_by_tier: list[int] = field(default_factory=_count_tiers)
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    health: Health = field(default_factory=Health)
    latency: ObservedLatency = field(default_factory=ObservedLatency)
    external_load: ExternalLoad = field(default_factory=ExternalLoad)
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
    """The demand of one tier for one target.

    :param fast_rate: Arrival rate over a short window; rises soon after the
        start of a burst.
    :param slow_rate: Arrival rate over a long window; stays up during a lull.
    :param hold_s: Mean time for which a request holds a slot, in seconds.
    :param hold_s_squared: Mean square of that time, in seconds squared.
    :param start_rate: Rate of started requests over a long window.
    """

    fast_rate: DecayingRate = field(
        default_factory=lambda: DecayingRate(window_s=FAST_WINDOW_S)
    )
    slow_rate: DecayingRate = field(
        default_factory=lambda: DecayingRate(window_s=SLOW_WINDOW_S)
    )
    hold_s: RunningMean = field(default_factory=_make_hold_mean)
    hold_s_squared: RunningMean = field(default_factory=_make_hold_mean)
    start_rate: DecayingRate = field(
        default_factory=lambda: DecayingRate(window_s=SLOW_WINDOW_S)
    )


@dataclass(eq=False, kw_only=True)
class TargetUsage:
    """The usage of one target: a model or plain service.

    :param usages: The usages of the upstreams that serve the target.
    :param slots: Sum of the upstreams' capacities.
    :param free: Sum of the upstreams' free slots.
    :param running_by_tier: Number of requests in progress for this target, by
        tier.
    :param mean_watts: Mean power of one slot, in watts.
    :param demands: The demand of each tier for the target.
    :param last_grants: For each tier, the sequence number of the last grant on
        an upstream that serves this target; probes and grants under the
        max-wait guarantee are left out.
    :param upper_needs: For each tier, the number of slots that the tiers above
        need.
    :param upper_needs_at_s: Monotonic time for which ``upper_needs`` was
        computed, in seconds; ``None`` when ``upper_needs`` is outdated.
    """

    name: str
    usages: list[UpstreamUsage] = field(default_factory=list)
    slots: int = 0
    free: int = 0
    running_by_tier: list[int] = field(default_factory=_count_tiers)
    mean_watts: float = 0.0
    demands: list[TierDemand] = field(
        default_factory=lambda: [TierDemand() for _ in range(TIERS)]
    )
    last_grants: list[int] = field(default_factory=_count_tiers)
    upper_needs: list[int] = field(default_factory=_count_tiers)
    upper_needs_at_s: float | None = None


@dataclass(eq=False, kw_only=True, slots=True)
class HeldSlot:
    """A slot that was granted and not released yet.

    :param cost: The cost that the team was charged, in tokens.
    :param watts: The power that the slot takes of the power cap, in watts.
    :param is_guaranteed: Whether the slot was granted under the max-wait guarantee.
    :param is_probe: Whether the request probes an ejected upstream.
    :param is_prefix_hit: Whether the upstream is the one that ran the last
        request with the same prompt prefix; ``None`` without a prefix.
    :param between_tokens_target_s: Target of the request's class for the time
        between tokens, in seconds; 0 means no target.
    """

    grant: Grant
    target: str
    team: TeamUsage
    service_class: str
    tier: int
    started_s: float
    cost: float
    watts: float
    is_guaranteed: bool = False
    is_probe: bool = False
    is_prefix_hit: bool | None = None
    between_tokens_target_s: float = 0.0


@dataclass(eq=False, kw_only=True)
class Pool:
    """The queues and the slot allocation of one group of upstreams.

    Made by :func:`make_pool`, changed only by the functions of this package.

    :param name: The name of the group of upstreams.
    :param coordinator: The instance that keeps the slot allocation; empty when an
        instance grants slots from its own conservative share instead.
    :param id_prefix: Prefix of each grant's id; unique over all instances.
    :param power_watts: The power cap of the running requests, in watts;
        ``None`` means no cap.
    :param watts_in_use: Power that the running requests take, in watts.
    :param tiers: Tiers of the classes that use the group.
    :param guaranteed_running: Number of held slots that were granted under the
        max-wait guarantee.
    :param ejected: Upstreams that get no requests other than probes, by name.
    :param next_change_s: Monotonic time at which an upstream's capacity next
        changes through the passing of time, in seconds.
    :param group_latency: The latency observed over the whole group.
    :param affinity: The upstream of each recent prompt prefix.
    :param target_queues: For each tier, the target queues with waiting requests, by
        target.
    :param newest: For each tier, the waiting requests, newest first.
    :param deadlines: The waiting requests, earliest deadline first.
    :param teams_after_sweep: Number of teams that the last sweep of idle teams
        left.
    :param virtual_time: For each tier, the largest start tag that a team had
        when one of its requests started.
    :param learned_tokens: Mean length of answers by class and team, and by
        class alone, with an empty team; in tokens.
    :param held: The held slots, by grant id.
    :param held_requests: The ids of the requests that hold a slot granted by
        this pool.
    :param refused: Refusals of queued requests that were not returned yet.
    :param grants_made: Number of grants made so far; numbers the grants' ids.
    :param sequence: Number of the last event; orders arrivals, grants and
        releases.
    :param entries_made: Number of entries made in target queues so far; orders the
        entries that have equal tags.
    """

    name: str
    coordinator: str
    id_prefix: str
    limits: Limits = field(default_factory=Limits)
    power_watts: float | None = None
    watts_in_use: float = 0.0
    tiers: frozenset[int] = frozenset(range(TIERS))
    guaranteed_running: int = 0
    ejected: dict[str, UpstreamUsage] = field(default_factory=dict)
    next_change_s: float = float("inf")
    group_latency: ObservedLatency = field(default_factory=ObservedLatency)
    affinity: PrefixAffinity = field(default_factory=PrefixAffinity)
    upstreams: dict[str, UpstreamUsage] = field(default_factory=dict)
    targets: dict[str, TargetUsage] = field(default_factory=dict)
    queued: dict[str, QueuedRequest] = field(default_factory=dict)
    target_queues: list[dict[str, TargetQueue]] = field(
        default_factory=lambda: [{} for _ in range(TIERS)]
    )
    queued_by_tier: list[int] = field(default_factory=_count_tiers)
    newest: list[LazyStack] = field(
        default_factory=lambda: [LazyStack() for _ in range(TIERS)]
    )
    deadlines: LazyHeap = field(default_factory=LazyHeap)
    classes: dict[str, ClassQueue] = field(default_factory=dict)
    teams: dict[str, TeamUsage] = field(default_factory=dict)
    teams_after_sweep: int = 0
    virtual_time: list[float] = field(default_factory=lambda: [0.0] * TIERS)
    learned_tokens: dict[tuple[str, str], RunningMean] = field(default_factory=dict)
    held: dict[str, HeldSlot] = field(default_factory=dict)
    held_requests: set[str] = field(default_factory=set)
    refused: list[RefusedRequest] = field(default_factory=list)
    grants_made: int = 0
    sequence: int = 0
    entries_made: int = 0
