"""Chooses the upstream of a request without messages between instances."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from jujubenotch.forwarding.notices import Statements
from jujubenotch.membership import choose_by_rendezvous
from jujubenotch.routing import Health
from jujubenotch.work import ChoiceBasis, LoadReport

# An upstream in the ranking of a prefix is skipped when it runs more of this
# instance's requests than this multiple of the mean plus the spare requests.
MAX_LOAD_RATIO = 1.25
SPARE_REQUESTS = 1
# Within this time about half of the other instances' requests have ended or moved
# to another upstream.
REPORT_HALF_LIFE_S = 1.0
# Long prompts are refused when an upstream that also serves short prompts has at
# least this ratio of requests to slots.
SHARED_LOAD_LIMIT = 0.3
# The same ratio for an upstream that serves only long prompts. At this ratio the
# queue is so long that callers would give up before their requests start.
DEDICATED_LOAD_LIMIT = 1.25
# From this ratio of requests to slots on, an upstream isn't chosen for its cache. The
# other instances send requests that its last report doesn't contain.
FULL_SHARE = 0.9
# Loads within this many requests of the lowest count as equal, so that the
# instances don't all choose the same upstream.
LOAD_TOLERANCE = 0.5


@dataclass(kw_only=True, slots=True)
class UpstreamState:
    """The load and the health of one upstream, as this instance knows them.

    :param started_ms: When the upstream's process started, as Unix time in
        milliseconds; 0 when unknown.
    :param software_version: The version of the upstream's software; empty when unknown.
    :param running: Requests of this instance that are on the upstream.
    :param reported: Running and waiting requests of all instances, from the
        upstream's last load report.
    :param running_at_report: Requests of this instance that were on the upstream
        when that report arrived.
    :param reported_waiting: The waiting ones of the reported requests.
    :param reported_pace: The pace in that report; ``None`` when it has none.
    :param reported_s: When that report arrived, monotonic, in seconds; ``None``
        before the first report.
    :param report_draw: A random number in [0, 1), drawn for the last report while the
        upstream is brittle.
    :param spared_until_s: Until when it gets nothing beyond what it is known to have
        room for, as it is brittle, monotonic, in seconds.
    :param health: The upstream's health by the results of recent requests.
    :param statements: What the upstream has stated about itself.
    """

    name: str
    slots: int
    started_ms: int = 0
    software_version: str = ""
    running: int = 0
    reported: int = 0
    running_at_report: int = 0
    reported_waiting: int = 0
    reported_pace: float | None = None
    reported_s: float | None = None
    report_draw: float = 0.0
    spared_until_s: float = 0.0
    health: Health = field(default_factory=Health)
    statements: Statements = field(default_factory=Statements)


def record_report(state: UpstreamState, report: LoadReport, now_s: float) -> None:
    """Record an upstream's load report.

    :param state: The upstream's state; changed in place.
    :param report: The load report.
    :param now_s: The present monotonic time, in seconds.
    """
    state.reported = report.running + report.waiting
    state.running_at_report = state.running
    state.reported_waiting = report.waiting
    state.reported_pace = report.pace
    state.reported_s = now_s


def estimate_load(state: UpstreamState, now_s: float) -> float:
    """Estimate the number of requests of all instances on an upstream.

    The requests of other instances are the reported requests minus this
    instance's own requests at the time of the report. Their number decays
    exponentially with the age of the report.

    :param state: The upstream's state.
    :param now_s: The present monotonic time, in seconds.
    :returns: The estimated number of requests.
    """
    if state.reported_s is None:
        return state.running
    other_requests = max(0, state.reported - state.running_at_report)
    age_s = max(0.0, now_s - state.reported_s)
    return state.running + other_requests * 0.5 ** (age_s / REPORT_HALF_LIFE_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The upstream chosen for a request, and what the choice was based on."""

    state: UpstreamState
    basis: ChoiceBasis


def must_shed_long_prompt(
    state: UpstreamState, *, is_shared: bool, now_s: float
) -> bool:
    """Return whether a long prompt must be refused because of an upstream's load.

    :param state: The state of the upstream chosen for the long prompt.
    :param is_shared: Whether the upstream serves short prompts as well.
    :param now_s: The present monotonic time, in seconds.
    """
    limit = SHARED_LOAD_LIMIT if is_shared else DEDICATED_LOAD_LIMIT
    return estimate_load(state, now_s) >= limit * state.slots


def are_slots_taken(states: Sequence[UpstreamState], now_s: float) -> bool:
    """Return whether the upstreams together have as many requests as slots.

    Their loads differ, so some of them queue requests before all are full.

    :param states: The states of the upstreams.
    :param now_s: The present monotonic time, in seconds.
    :returns: False when there are no upstreams.
    """
    slots = sum(state.slots for state in states)
    load = sum(estimate_load(state, now_s) for state in states)
    return bool(states) and load >= slots


def choose_upstream(
    candidates: Sequence[UpstreamState],
    prefix_key: str,
    *,
    draw: float,
    now_s: float,
) -> Choice:
    """Choose the upstream of a request.

    All instances rank the upstreams of a prefix in the same order, so they send
    requests with the same prefix to the same upstream unless its load is too
    high: waiting for a slot takes longer than processing the prefix again. Requests
    without a prefix go to one of the least loaded upstreams.

    :param candidates: The states of the upstreams to choose from; at least one.
    :param prefix_key: The same for all requests with the same prompt prefix;
        empty when the request has no prefix.
    :param draw: A random number in [0, 1), drawn for this request.
    :param now_s: The present monotonic time, in seconds.
    :returns: The choice.
    """
    loads = {state.name: estimate_load(state, now_s) for state in candidates}
    by_name = {state.name: state for state in candidates}
    if prefix_key:
        running = {state.name: state.running for state in candidates}
        limit = MAX_LOAD_RATIO * sum(running.values()) / len(running) + SPARE_REQUESTS
        ranking = choose_by_rendezvous(prefix_key, loads, len(loads))
        for rank, name in enumerate(ranking):
            is_full = loads[name] >= FULL_SHARE * by_name[name].slots
            if running[name] <= limit and not is_full:
                return _make_choice(by_name[name], loads, rank, now_s)
    lowest = min(loads.values())
    least_loaded = [
        name for name, load in loads.items() if load <= lowest + LOAD_TOLERANCE
    ]
    name = least_loaded[int(draw * len(least_loaded))]
    return _make_choice(by_name[name], loads, None, now_s)


def _make_choice(state, loads, prefix_rank, now_s):
    report_age_s = None if state.reported_s is None else now_s - state.reported_s
    basis = ChoiceBasis(
        load=loads[state.name],
        lowest_load=min(loads.values()),
        report_age_s=report_age_s,
        candidates=len(loads),
        prefix_rank=prefix_rank,
    )
    return Choice(state=state, basis=basis)
