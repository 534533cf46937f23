"""Injects the planned faults into a running fleet."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import aiohttp

from benchmarks import fleet as fleets
from benchmarks.controls import change_route, publish, set_faults, silence_route
from benchmarks.fleet import Fleet
from benchmarks.journals import Change, FaultSpan
from benchmarks.operators import race_operators
from benchmarks.schedule import LIST_LAG_S, FaultEvent, FaultKind
from standins.relay_core import RelayMode

ROUTE_PREFIX_BY_KIND = {
    FaultKind.CUT_PEERS: "peers",
    FaultKind.CUT_PEERS_ONE_WAY: "peers",
    FaultKind.SILENCE_PEERS: "peers",
    FaultKind.CUT_FROM_PLATFORM: "platform",
    FaultKind.CUT_FROM_PLATFORM_ONE_WAY: "platform",
    FaultKind.SILENCE_PLATFORM: "platform",
}
CUT_FAULTS = frozenset({FaultKind.CUT_PEERS, FaultKind.CUT_FROM_PLATFORM})
SILENCE_FAULTS = frozenset({FaultKind.SILENCE_PEERS, FaultKind.SILENCE_PLATFORM})
ONE_WAY_MODES = (RelayMode.HOLD_TO_TARGET, RelayMode.HOLD_FROM_TARGET)
MAX_LOAD_LAG_S = 10.0
MAX_SLOWDOWN = 5.0
MAX_ANSWER_DELAY_S = 2.0
MAX_STREAM_EVENTS = 20
MAX_PLATFORM_DELAY_S = 1.0
MAX_LOST_REPLIES_RATIO = 0.6
FALSE_RUNNING_REQUESTS = 99


@dataclass(kw_only=True)
class Injection:
    """The faults that are in force in a fleet, and the record of injected faults.

    :param teams: The names of the teams whose records operators change.
    :param faults: The faults in force at each stand-in: the stand-in's name, then
        the event's number, to the fields that the event sets.
    :param modes: The modes set on each route: the route's name, then the event's
        number, to a mode. The mode that was set last is in force.
    :param leaving: The upstreams that are leaving, by the event's number.
    :param spans: The faults that have been cleared.
    :param changes: The changes that operators submitted.
    """

    fleet: Fleet
    teams: Sequence[str]
    faults: dict[str, dict[int, dict]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    modes: dict[str, dict[int, RelayMode]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    leaving: dict[int, str] = field(default_factory=dict)
    spans: list[FaultSpan] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)


async def inject_faults(
    injection: Injection, events: Sequence[FaultEvent], began_s: float
) -> None:
    """Inject all faults, each at its planned time, and clear them again.

    :param injection: The fleet; the injected faults are recorded in it.
    :param events: The planned faults.
    :param began_s: When the load began, in wall-clock time.
    """
    async with asyncio.TaskGroup() as group:
        for event in events:
            group.create_task(_inject(injection, event, began_s))


async def _inject(injection, event, began_s):
    await asyncio.sleep(max(0.0, began_s + event.at_s - time.time()))
    begin_s = time.time()
    exit_code = await _find_action(event)(injection, event)
    injection.spans.append(
        FaultSpan(
            kind=event.kind,
            target=event.target,
            begin_s=begin_s,
            settled_s=time.time(),
            exit_code=exit_code,
        )
    )


def _find_action(event):
    if event.kind in SILENCE_FAULTS:
        return _silence_routes
    if event.kind in ROUTE_PREFIX_BY_KIND:
        return _cut_routes
    return {
        FaultKind.KILL_INSTANCE: _kill_and_restart,
        FaultKind.CRASH_UPSTREAM: _kill_and_restart,
        FaultKind.PAUSE_INSTANCE: _pause_and_resume,
        FaultKind.STOP_INSTANCE: _stop_and_restart,
        FaultKind.UPSTREAM_LEAVES: _make_upstream_leave,
        FaultKind.OPERATORS_RACE: _run_race,
    }.get(event.kind, _inject_standin_fault)


async def _kill_and_restart(injection, event):
    await fleets.kill_program(injection.fleet, event.target)
    await asyncio.sleep(event.duration_s)
    await fleets.start(injection.fleet, event.target)
    if event.target in injection.faults:
        await _apply_faults(injection, event.target)


async def _pause_and_resume(injection, event):
    fleets.pause(injection.fleet, event.target)
    await asyncio.sleep(event.duration_s)
    fleets.resume(injection.fleet, event.target)


async def _stop_and_restart(injection, event):
    exit_code = await fleets.stop(injection.fleet, event.target)
    await fleets.start(injection.fleet, event.target)
    return exit_code


async def _cut_routes(injection, event):
    mode = RelayMode.CUT
    if event.kind not in CUT_FAULTS:
        mode = ONE_WAY_MODES[event.value < 1 / 2]
    routes = _find_routes(injection, event)
    for route in routes:
        injection.modes[route][event.number] = mode
        await change_route(injection.fleet, route, mode=mode)
    await asyncio.sleep(event.duration_s)
    for route in routes:
        del injection.modes[route][event.number]
        remaining = list(injection.modes[route].values())
        mode = remaining[-1] if remaining else RelayMode.FORWARD
        await change_route(injection.fleet, route, mode=mode)


async def _silence_routes(injection, event):
    for route in _find_routes(injection, event):
        await silence_route(injection.fleet, route)


def _find_routes(injection, event):
    prefix = ROUTE_PREFIX_BY_KIND[event.kind]
    return [
        f"{prefix}-{instance.name}"
        for instance in injection.fleet.layout.instances.values()
        if event.target in (instance.name, instance.data_centre)
    ]


async def _make_upstream_leave(injection, event):
    injection.leaving[event.number] = event.target
    if event.value < 1 / 2:
        await publish(injection.fleet, leaving=set(injection.leaving.values()))
    await _inject_standin_fault(injection, event)
    del injection.leaving[event.number]
    await publish(injection.fleet, leaving=set(injection.leaving.values()))


async def _run_race(injection, event):
    team = injection.teams[event.number % len(injection.teams)]
    injection.changes += await race_operators(injection.fleet, event, team)


async def _inject_standin_fault(injection, event):
    injection.faults[event.target][event.number] = _make_fault_fields(event)
    await _apply_faults(injection, event.target)
    await asyncio.sleep(event.duration_s)
    del injection.faults[event.target][event.number]
    await _apply_faults(injection, event.target)


async def _apply_faults(injection, target):
    merged = {}
    for fields in injection.faults[target].values():
        merged |= fields
    # A crashed upstream can't be reached. Its faults are set again after its restart.
    with suppress(aiohttp.ClientError, TimeoutError):
        await set_faults(injection.fleet, target, **merged)


def _make_fault_fields(event):
    value = event.value
    false_load = {
        "running": FALSE_RUNNING_REQUESTS if value < 1 / 2 else 0,
        "waiting": 0,
    }
    return {
        FaultKind.PLATFORM_DOWN: {"is_down": True},
        FaultKind.PLATFORM_SLOW: {"delay_s": value * MAX_PLATFORM_DELAY_S},
        FaultKind.PLATFORM_LOSES_REPLIES: {
            "lost_reply_ratio": value * MAX_LOST_REPLIES_RATIO
        },
        FaultKind.LIST_LAGS: {"list_lag_s": LIST_LAG_S},
        FaultKind.SLOW_UPSTREAM: {"slowdown": 1 + value * (MAX_SLOWDOWN - 1)},
        FaultKind.REFUSING_UPSTREAM: {"is_refusing": True},
        FaultKind.LATE_ANSWERS: {"answer_delay_s": value * MAX_ANSWER_DELAY_S},
        FaultKind.SHORT_STREAMS: {"end_after_events": int(value * MAX_STREAM_EVENTS)},
        FaultKind.SILENCE_UPSTREAM: {"is_silent": True},
        FaultKind.LATE_LOAD_REPORTS: {"load_lag_s": value * MAX_LOAD_LAG_S},
        FaultKind.FALSE_LOAD_REPORTS: {"load_report": false_load},
        FaultKind.UPSTREAM_LEAVES: {"is_leaving": True},
    }[event.kind]
