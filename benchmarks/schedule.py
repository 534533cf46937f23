"""Draws the faults of a randomised run from its seed: kind, target and time."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

FAULT_FREE_BEGIN_RATIO = 0.1
FAULT_FREE_END_RATIO = 0.1
MAX_MEAN_INTERVAL_S = 1.5
MEAN_INTERVAL_RATIO = 1 / 15
SIMULTANEOUS_RATIO = 0.3
REPEAT_RATIO = 0.2
REPEAT_PAUSE_S = 0.3
MAX_FAULT_RATIO = 0.25
MIN_FAULT_S = 0.5
MAX_PAUSE_S = 30.0
MAX_FAULT_S = 15.0
LIST_LAG_S = 10.0
SETTLE_AFTER_START_S = 3.0


class FaultKind(StrEnum):
    """The kinds of faults that are injected into a running fleet."""

    KILL_INSTANCE = "kill-instance"
    PAUSE_INSTANCE = "pause-instance"
    STOP_INSTANCE = "stop-instance"
    CUT_PEERS = "cut-peers"
    CUT_PEERS_ONE_WAY = "cut-peers-one-way"
    SILENCE_PEERS = "silence-peers"
    CUT_FROM_PLATFORM = "cut-from-platform"
    CUT_FROM_PLATFORM_ONE_WAY = "cut-from-platform-one-way"
    SILENCE_PLATFORM = "silence-platform"
    PLATFORM_DOWN = "platform-down"
    PLATFORM_SLOW = "platform-slow"
    PLATFORM_LOSES_REPLIES = "platform-loses-replies"
    LIST_LAGS = "list-lags"
    CRASH_UPSTREAM = "crash-upstream"
    SLOW_UPSTREAM = "slow-upstream"
    REFUSING_UPSTREAM = "refusing-upstream"
    LATE_ANSWERS = "late-answers"
    SHORT_STREAMS = "short-streams"
    SILENCE_UPSTREAM = "silence-upstream"
    LATE_LOAD_REPORTS = "late-load-reports"
    FALSE_LOAD_REPORTS = "false-load-reports"
    UPSTREAM_LEAVES = "upstream-leaves"
    OPERATORS_RACE = "operators-race"


PROCESS_FAULTS = frozenset(
    {FaultKind.KILL_INSTANCE, FaultKind.PAUSE_INSTANCE, FaultKind.STOP_INSTANCE}
)
DATA_CENTRE_FAULTS = frozenset(
    {
        FaultKind.CUT_PEERS,
        FaultKind.CUT_PEERS_ONE_WAY,
        FaultKind.CUT_FROM_PLATFORM,
        FaultKind.CUT_FROM_PLATFORM_ONE_WAY,
    }
)
INSTANCE_FAULTS = PROCESS_FAULTS | {
    FaultKind.SILENCE_PEERS,
    FaultKind.SILENCE_PLATFORM,
}
PLATFORM_FAULTS = frozenset(
    {
        FaultKind.PLATFORM_DOWN,
        FaultKind.PLATFORM_SLOW,
        FaultKind.PLATFORM_LOSES_REPLIES,
        FaultKind.LIST_LAGS,
    }
)
ENGINE_FAULTS = frozenset({FaultKind.SHORT_STREAMS})
# These faults are single actions without a duration. A race of operators is one of
# them because no change can be accepted while the platform is unavailable.
MOMENTARY_FAULTS = frozenset(
    {FaultKind.OPERATORS_RACE, FaultKind.SILENCE_PEERS, FaultKind.SILENCE_PLATFORM}
)


@dataclass(frozen=True, kw_only=True)
class FaultTargets:
    """The names of the possible targets of faults, in a fixed order.

    :param instances: The data centre of each instance, by the instance's name.
    :param engines: The model engines.
    :param services: The upstreams of plain services.
    """

    instances: dict[str, str]
    engines: tuple[str, ...]
    services: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class FaultEvent:
    """One fault; times are in seconds from the start of the load.

    :param target: An instance, a data centre, an upstream, or ``platform``.
    :param value: The severity or the variant of the fault, drawn between 0 and 1.
    """

    number: int
    kind: FaultKind
    target: str
    at_s: float
    duration_s: float
    value: float

    @property
    def end_s(self) -> float:
        """When the fault is cleared."""
        return self.at_s + self.duration_s


def plan_faults(
    *,
    seed: int,
    duration_s: float,
    targets: FaultTargets,
    kinds: Sequence[FaultKind] = tuple(FaultKind),
) -> list[FaultEvent]:
    """Plan the faults of a run.

    No fault is in force in the first and the last tenth of the run. Each kind is
    drawn once before any kind is drawn again. No process has two process faults,
    such as a kill and a pause, at the same time.

    :param seed: Equal seeds give equal plans.
    :param duration_s: How long requests are sent.
    :param targets: The possible targets of the faults.
    :param kinds: The kinds to draw from.
    :returns: The faults, in order of time.
    """
    generator = random.Random(f"faults {seed}")
    begin_s = FAULT_FREE_BEGIN_RATIO * duration_s
    end_s = (1 - FAULT_FREE_END_RATIO) * duration_s
    interval_s = min(MAX_MEAN_INTERVAL_S, MEAN_INTERVAL_RATIO * duration_s)
    planned = []
    remaining_kinds = []
    at_s = begin_s + generator.expovariate(1 / interval_s)
    while at_s < end_s:
        count = 2 if generator.random() < SIMULTANEOUS_RATIO else 1
        for _ in range(count):
            if not remaining_kinds:
                remaining_kinds = generator.sample(list(kinds), len(kinds))
            event = _draw_event(
                generator, remaining_kinds.pop(), at_s, duration_s, targets
            )
            planned += _repeat(generator, event)
        at_s += generator.expovariate(1 / interval_s)
    chosen = _drop_overlapping(sorted(planned, key=lambda event: event.at_s), end_s)
    return [replace(event, number=number) for number, event in enumerate(chosen)]


def _draw_event(generator, kind, at_s, duration_s, targets):
    max_fault_s = MAX_FAULT_S
    if kind is FaultKind.PAUSE_INSTANCE:
        max_fault_s = MAX_PAUSE_S
    max_fault_s = max(MIN_FAULT_S, min(max_fault_s, MAX_FAULT_RATIO * duration_s))
    fault_s = generator.uniform(MIN_FAULT_S, max_fault_s)
    if kind is FaultKind.PAUSE_INSTANCE:
        fault_s = max(1.0, fault_s)
    if kind in MOMENTARY_FAULTS:
        fault_s = 0.0
    return FaultEvent(
        number=0,
        kind=kind,
        target=_draw_target(generator, kind, targets),
        at_s=at_s,
        duration_s=fault_s,
        value=generator.random(),
    )


def _draw_target(generator, kind, targets):
    if kind in DATA_CENTRE_FAULTS:
        return generator.choice(sorted(set(targets.instances.values())))
    if kind in INSTANCE_FAULTS or kind is FaultKind.OPERATORS_RACE:
        return generator.choice(list(targets.instances))
    if kind in PLATFORM_FAULTS:
        return "platform"
    if kind in ENGINE_FAULTS:
        return generator.choice(targets.engines)
    return generator.choice(targets.engines + targets.services)


def _repeat(generator, event):
    yield event
    if generator.random() < REPEAT_RATIO:
        yield replace(event, at_s=event.end_s + REPEAT_PAUSE_S)


def _drop_overlapping(events, end_s):
    # A process can't be killed, paused or stopped again before it has restarted.
    free_at_s = {}
    for event in events:
        if event.end_s > end_s:
            event = replace(event, duration_s=max(0.0, end_s - event.at_s))
        if event.at_s >= end_s:
            continue
        is_process_fault = event.kind in PROCESS_FAULTS
        is_process_fault = is_process_fault or event.kind is FaultKind.CRASH_UPSTREAM
        if is_process_fault:
            if event.at_s < free_at_s.get(event.target, 0.0):
                continue
            free_at_s[event.target] = event.end_s + SETTLE_AFTER_START_S
        yield event
