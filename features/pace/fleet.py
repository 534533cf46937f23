"""A small loop over the decisions of many instances, with upstreams of several speeds.

An upstream runs as many requests as it has slots, the others wait in its queue, which
is bounded. Reading takes longer beside others and makes the streams beside it pause,
and a machine is slow for 15% of the time, in phases of about 0.6 s.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from jujubenotch.forwarding import (
    DirectCapacity,
    Item,
    ListedUpstream,
    PaceExchange,
    UpstreamListing,
    apply_items,
    list_own,
    list_short_counts,
    list_totals,
    take_own,
    take_short_counts,
    take_totals,
)
from jujubenotch.outcomes import Refusal
from jujubenotch.work import LoadReport, WorkReport, WorkRequest, WorkResult

SERVICE = "drafting"
SLOTS = 12
QUEUE = 6
PHASE_S = 0.6
SLOW_SHARE = 0.15
SLOW_PACE = 2.5
FIXED_S = 0.03
TOKEN_S = 1 / 60_000
BESIDE_SHARE = 0.04
STEP_TOKENS = 4_500
EVENTS = 8
GAP_S = 0.06
CACHED_PREFIXES = 30
DEADLINE_S = 4.0


@dataclass(frozen=True)
class Kind:
    """A kind of request."""

    route: str
    tokens: int
    prefix_tokens: int
    target_s: float
    gap_target_s: float


SHORT = Kind("chat", 1_500, 900, 0.25, 0.15)
LONG = Kind("summary", 6_000, 4_000, 0.7, 0.6)
# Has no prompt, so it may use all upstreams.
PLAIN = Kind("search", 0, 0, 0.25, 0.15)


@dataclass(kw_only=True)
class Upstream:
    """The true state of an upstream."""

    name: str
    speed: float
    pace: float = 1.0
    running: int = 0
    streams: dict = field(default_factory=dict)
    queue: list = field(default_factory=list)
    cached: dict = field(default_factory=dict)
    arrived: int = 0
    fails: bool = False


@dataclass(kw_only=True)
class Result:
    """How one request fared."""

    at_s: float
    kind: Kind
    key: str
    upstream: str = ""
    first_s: float | None = None
    gap_s: float = 0.0
    pause_s: float = 0.0
    has_waited_needlessly: bool = False
    read_again: int = 0
    is_refused: bool = False
    listed: int = 0

    @property
    def is_in_time(self):
        return self.first_s is not None and self.first_s <= self.kind.target_s


@dataclass(kw_only=True)
class Fleet:
    """Instances, upstreams, the pending events and the results."""

    reports_pace: bool
    shares: bool
    draws: random.Random
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    capacities: list[DirectCapacity] = field(default_factory=list)
    exchanges: list[PaceExchange] = field(default_factory=list)
    listings: list[UpstreamListing] = field(default_factory=list)
    results: list[Result] = field(default_factory=list)
    chosen: list[str] = field(default_factory=list)
    now_s: float = 0.0
    events: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)

    def at(self, when_s, action):
        heapq.heappush(self.events, (when_s, next(self.numbers), action))

    def run_until(self, end_s):
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        self.now_s = end_s


def make_fleet(
    *, instances, speeds, reports_pace=True, shares=True, seed=5, has_noise=True
):
    """Make a fleet.

    :param speeds: How long work takes on each upstream, as multiples.
    :param reports_pace: Whether the load reports contain the pace.
    :param shares: Whether the instances exchange what they learn.
    """
    fleet = Fleet(reports_pace=reports_pace, shares=shares, draws=random.Random(seed))
    for _ in range(instances):
        listing = UpstreamListing()
        capacity = DirectCapacity(
            listing=listing,
            read_clock_s=lambda: fleet.now_s,
            read_listing_clock_s=lambda: 0.0,
            draw=fleet.draws.random,
        )
        fleet.listings.append(listing)
        fleet.capacities.append(capacity)
        fleet.exchanges.append(capacity.pace_exchange)
    for number, speed in enumerate(speeds):
        add_upstream(fleet, f"u-{number}", speed, has_noise=has_noise)
    if shares and reports_pace:
        fleet.at(1.0, lambda: exchange_figures(fleet))
    return fleet


def add_upstream(fleet, name, speed, *, has_noise=True):
    """Add an upstream to the list of all instances."""
    fleet.upstreams[name] = Upstream(name=name, speed=speed)
    list_upstream(fleet, name)
    if has_noise:
        change_pace(fleet, fleet.upstreams[name])


def list_upstream(fleet, name):
    """List an upstream that exists at all instances."""
    listed = ListedUpstream(
        name=name,
        service=SERVICE,
        address="127.0.0.1:1",
        data_centre="north",
        slots=SLOTS,
    )
    _apply(fleet, [Item(key=name, value=listed)])


def unlist_upstreams(fleet, names):
    """Remove upstreams from the list of all instances, in one update."""
    _apply(fleet, [Item(key=name, value=None, is_removed=True) for name in names])
    for capacity in fleet.capacities:
        capacity.forget(set(names))


def _apply(fleet, items):
    for listing in fleet.listings:
        apply_items(
            listing,
            tuple(items),
            is_snapshot=False,
            follows_outage=False,
            now_s=fleet.now_s,
        )


def change_pace(fleet, upstream):
    is_slow = fleet.draws.random() < SLOW_SHARE
    upstream.pace = SLOW_PACE if is_slow else 1.0
    next_s = fleet.now_s + PHASE_S * (0.5 + fleet.draws.random())
    fleet.at(next_s, lambda: change_pace(fleet, upstream))


def exchange_figures(fleet):
    """Send all figures to the first instance, and its totals to the others."""
    reader, *others = fleet.exchanges
    for number, exchange in enumerate(others):
        take_own(reader, f"{number}", list_own(exchange, fleet.now_s), fleet.now_s)
    totals = list_totals(reader, fleet.now_s)
    for exchange in others:
        take_totals(exchange, totals, fleet.now_s)
        take_short_counts(exchange, list_short_counts(reader), fleet.now_s)
    fleet.at(fleet.now_s + 1.0, lambda: exchange_figures(fleet))


def add_load(
    fleet, *, per_s, seconds, long_share=0.3, hot_share=0.0, short=SHORT, prefixes=200
):
    """Send requests at random times, and run until all have ended."""
    start_s = at_s = fleet.now_s
    while (at_s := at_s + fleet.draws.expovariate(per_s)) < start_s + seconds:
        kind = LONG if fleet.draws.random() < long_share else short
        number = fleet.draws.randrange(prefixes)
        key = "hot" if fleet.draws.random() < hot_share else f"{kind.route}-{number}"
        key = key if kind.tokens else ""
        fleet.at(at_s, lambda kind=kind, key=key: send(fleet, kind, key))
    fleet.run_until(start_s + seconds)


def send(fleet, kind, key):
    """Let one instance choose the upstream of a request."""
    now_s = fleet.now_s
    capacity = fleet.draws.choice(fleet.capacities)
    request = WorkRequest(
        request_id="r",
        target=SERVICE,
        team="agents",
        team_weight=1.0,
        team_limit=0,
        service_class=kind.route,
        tier=0 if kind is SHORT else 1,
        arrived_s=now_s,
        first_token_by_s=now_s + kind.target_s,
        deadline_s=now_s + DEADLINE_S,
        max_wait_s=1.0,
        expected_tokens=10,
        between_tokens_target_s=kind.gap_target_s,
        prompt_tokens=kind.tokens,
        prefix_tokens=kind.prefix_tokens,
        prefix_key=key,
    )
    listed = len(fleet.listings[0].upstreams)
    result = Result(at_s=now_s, kind=kind, key=key, listed=listed)
    fleet.results.append(result)
    grant = run(capacity.acquire(request))
    if isinstance(grant, Refusal):
        result.is_refused = True
        return
    fleet.chosen.append(grant.upstream)
    upstream = fleet.upstreams[grant.upstream]
    result.upstream = grant.upstream
    upstream.arrived += 1
    job = (capacity, grant, result, key)
    if upstream.fails:
        fleet.at(now_s + 0.005, lambda: fail(fleet, upstream, job))
    elif upstream.running < SLOTS:
        begin(fleet, upstream, job)
    else:
        others = fleet.upstreams.values()
        result.has_waited_needlessly = any(other.running < SLOTS for other in others)
        if len(upstream.queue) < QUEUE:
            upstream.queue.append(job)
        else:
            end(fleet, upstream, job, WorkResult.REFUSED, None)


def run(coroutine):
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the decision waited")


def begin(fleet, upstream, job):
    """Begin to read a prompt."""
    _, _, result, key = job
    upstream.running += 1
    tokens = result.kind.tokens
    if key in upstream.cached:
        tokens -= result.kind.prefix_tokens
    else:
        result.read_again = result.kind.prefix_tokens
    upstream.cached.pop(key, None)
    upstream.cached[key] = None
    if len(upstream.cached) > CACHED_PREFIXES:
        del upstream.cached[next(iter(upstream.cached))]
    beside = 1 + BESIDE_SHARE * upstream.running
    factor = upstream.speed * upstream.pace * beside
    took_s = factor * (FIXED_S + TOKEN_S * tokens)
    step_s = upstream.speed * upstream.pace * TOKEN_S * min(tokens, STEP_TOKENS)
    for other in upstream.streams.values():
        other.pause_s = max(other.pause_s, other.gap_s + step_s)
    fleet.at(fleet.now_s + took_s, lambda: answer(fleet, upstream, job))


def answer(fleet, upstream, job):
    """Bring the first event, with a load report in the head."""
    capacity, grant, result, _ = job
    now_s = fleet.now_s
    result.first_s = now_s - result.at_s
    capacity.record_response_start(grant, now_s)
    capacity.record_load(grant.upstream, make_report(fleet, upstream), now_s)
    capacity.record_first_event(grant, now_s)
    pace = 1.0 + SLOW_SHARE * (SLOW_PACE - 1.0) if upstream.pace > 1 else 1.0
    result.gap_s = GAP_S * upstream.speed * pace * fleet.draws.uniform(0.9, 1.3)
    result.pause_s = result.gap_s
    upstream.streams[id(job)] = result
    fleet.at(
        now_s + EVENTS * result.gap_s,
        lambda: finish(fleet, upstream, job, result.gap_s),
    )


def make_report(fleet, upstream):
    return LoadReport(
        running=upstream.running,
        waiting=len(upstream.queue),
        slots=SLOTS,
        pace=upstream.pace if fleet.reports_pace else None,
    )


def finish(fleet, upstream, job, gap_s):
    upstream.running -= 1
    del upstream.streams[id(job)]
    end(fleet, upstream, job, WorkResult.COMPLETED, gap_s)
    if upstream.queue:
        begin(fleet, upstream, upstream.queue.pop(0))


def fail(fleet, upstream, job):
    """Break a stream off just after a very early first event."""
    capacity, grant, _, _ = job
    capacity.record_response_start(grant, fleet.now_s)
    capacity.record_load(grant.upstream, make_report(fleet, upstream), fleet.now_s)
    capacity.record_first_event(grant, fleet.now_s)
    end(fleet, upstream, job, WorkResult.ERROR, None)


def end(fleet, upstream, job, result, gap_s):
    capacity, grant, _, _ = job
    capacity.release(
        grant,
        WorkReport(
            result=result,
            tokens=EVENTS if gap_s else 0,
            between_tokens_s=gap_s,
        ),
        fleet.now_s,
    )


def measure(fleet, from_s=0.0):
    """Return the figures of all requests that arrived after a time."""
    results = [result for result in fleet.results if result.at_s >= from_s]
    arrived = {}
    for result in results:
        if result.upstream:
            arrived[result.upstream] = arrived.get(result.upstream, 0) + 1
    mean = sum(arrived.values()) / max(1, len(fleet.upstreams))
    short = [result for result in results if result.kind is SHORT]
    on_time_gaps = [r for r in short if r.first_s and r.pause_s <= r.kind.gap_target_s]
    return {
        "requests": len(results),
        "in_time": sum(r.is_in_time for r in results) / len(results),
        "short_in_time": sum(r.is_in_time for r in short) / max(1, len(short)),
        "gaps_in_time": len(on_time_gaps) / max(1, len(short)),
        "refused": sum(r.is_refused for r in results) / len(results),
        "waited": sum(r.has_waited_needlessly for r in results) / len(results),
        "read_again": sum(r.read_again for r in results),
        "busiest": max(arrived.values()) / mean,
    }
