"""Draws faults of paths, upstreams and instances, and makes them one after the other."""

import random
import signal
import time
from dataclasses import dataclass

from features.platform.paths import cut_path, open_path
from features.platform.site import run

WAYS_TO_CUT = ("hangs", "resets", "refuses")
SHORTEST_S = 0.4
LONGEST_S = 2.4
PAUSE_S = 0.6
# Fewer instances are cut off than others could help.
MAX_CUT = 2


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault of some instances or upstreams, by their numbers, for some time."""

    kind: str
    numbers: tuple[int, ...]
    duration_s: float
    how: str = ""


def draw_faults(seed, *, instances, upstreams, duration_s):
    """Draw faults that end before the given time, in seconds."""
    generator = random.Random(seed)
    faults = []
    left_s = duration_s - PAUSE_S
    while left_s > LONGEST_S:
        fault = _draw_fault(generator, instances, upstreams)
        faults.append(fault)
        left_s -= fault.duration_s + PAUSE_S
    return faults


def _draw_fault(generator, instances, upstreams):
    kind = generator.choice(("cut", "stop-upstream", "stop-instance", "cut-and-stop"))
    count = generator.randint(1, MAX_CUT if kind.startswith("cut") else 1)
    pool = upstreams if kind == "stop-upstream" else instances
    return Fault(
        kind=kind,
        numbers=tuple(generator.sample(range(pool), count)),
        duration_s=generator.uniform(SHORTEST_S, LONGEST_S),
        how=generator.choice(WAYS_TO_CUT),
    )


@dataclass(kw_only=True)
class Span:
    """When an instance was cut off or stopped, monotonic, in seconds."""

    instance: int
    begin_s: float
    end_s: float


def play_fault(fleet, fault):
    """Make a fault and end it; return the spans of the instances that it disturbed."""
    begin_s = time.monotonic()
    if fault.kind == "stop-upstream":
        _stop([fleet.upstreams[each].process for each in fault.numbers], fault)
        return []
    if fault.kind == "stop-instance":
        _stop([fleet.instances[each].process for each in fault.numbers], fault)
    else:
        _cut(fleet, fault)
    end_s = time.monotonic()
    return [Span(instance=each, begin_s=begin_s, end_s=end_s) for each in fault.numbers]


def _stop(processes, fault):
    for process in processes:
        process.send_signal(signal.SIGSTOP)
    time.sleep(fault.duration_s)
    for process in processes:
        process.send_signal(signal.SIGCONT)


def _cut(fleet, fault):
    """Cut paths; another instance, which may help, is stopped in the middle of it."""
    paths = [path for each in fault.numbers for path in fleet.paths[each]]
    for path in paths:
        run(fleet.site, cut_path(path, fault.how))
    if fault.kind == "cut-and-stop":
        others = set(range(len(fleet.instances))) - set(fault.numbers)
        _stop([fleet.instances[min(others)].process], fault)
    else:
        time.sleep(fault.duration_s)
    for path in paths:
        run(fleet.site, open_path(path))
