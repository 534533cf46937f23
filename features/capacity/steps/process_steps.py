import json
import os
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field

from behave import given, then, when

from features.capacity.cluster import find_target_with_coordinator
from jujubenotch.listeners import bind_socket

TIMEOUT_S = 10.0
DURATION_S = 60
CALLERS = 6
SETTLED_AFTER_S = 2.0


@dataclass
class Process:
    name: str
    popen: subprocess.Popen
    journal: list = field(default_factory=list)

    def read(self):
        for line in self.popen.stdout:
            time_s, sign, number, coordinator = line.split()
            self.journal.append((float(time_s), sign, int(number), coordinator))


def start_process(name, bound, arguments):
    command = [sys.executable, "-m", "features.capacity.peer_process"]
    fd = bound.fileno()
    text = json.dumps({**arguments, "name": name, "bound": fd})
    popen = subprocess.Popen(
        [*command, text],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        pass_fds=[fd],
    )
    bound.close()
    process = Process(name=name, popen=popen)
    threading.Thread(target=process.read, daemon=True).start()
    return process


def terminate(process):
    if process.popen.poll() is None:
        process.popen.send_signal(signal.SIGCONT)
        process.popen.terminate()
    process.popen.wait(TIMEOUT_S)


def wait_until(condition, bound_s=TIMEOUT_S):
    until_s = time.monotonic() + bound_s
    while not condition():
        assert time.monotonic() < until_s, f"condition not met within {bound_s} s"
        time.sleep(0.01)


def list_coordinators_since(process, since_s):
    return {
        coordinator
        for time_s, sign, _, coordinator in list(process.journal)
        if sign == "+" and time_s >= since_s
    }


def list_others(context):
    return [each for each in context.processes if each.name != "a"]


def list_changes(context):
    """List all changes of the number of slots in use, sorted by time.

    The slots that a killed process still held count as released at the fault.
    """
    changes = []
    for process in context.processes:
        open_slots = set()
        for time_s, sign, number, _ in list(process.journal):
            changes.append((time_s, 1 if sign == "+" else -1))
            open_slots ^= {number}
        if process.popen.poll() == -signal.SIGKILL:
            changes += [(context.fault_s, -1)] * len(open_slots)
    return sorted(changes)


def find_peak(context, is_counted):
    in_use = peak = 0
    for time_s, change in list_changes(context):
        in_use += change
        if is_counted(time_s):
            peak = max(peak, in_use)
    return peak


@given(
    "{count:d} instance processes that request more than the {slots:d} slots of an upstream"
)
def start_processes(context, count, slots):
    names = "abcdefgh"[:count]
    bounds = {name: bind_socket("127.0.0.1", 0) for name in names}
    arguments = {
        "seeds": [
            {
                "name": name,
                "data_centre": "north",
                "host": "127.0.0.1",
                "port": bound.getsockname()[1],
            }
            for name, bound in bounds.items()
        ],
        "target": find_target_with_coordinator("a", names),
        "slots": slots,
        "callers": CALLERS,
        "seed": 7,
        "duration_s": DURATION_S,
    }
    context.slots = slots
    context.processes = []
    for name, bound in bounds.items():
        process = start_process(name, bound, arguments)
        context.processes.append(process)
        context.add_cleanup(terminate, process)


@given("their common coordinator grants slots to all of them")
def wait_for_coordinator(context):
    def is_settled():
        since_s = time.monotonic() - 0.5
        return all(
            list_coordinators_since(process, since_s) == {"a"}
            for process in context.processes
        )

    wait_until(is_settled)
    context.started_s = time.monotonic()
    time.sleep(0.5)


@when("the coordinator is paused for {pause_s:g} s")
def pause_coordinator(context, pause_s):
    coordinator = context.processes[0].popen
    context.fault_s = time.monotonic()
    os.kill(coordinator.pid, signal.SIGSTOP)
    time.sleep(pause_s)
    os.kill(coordinator.pid, signal.SIGCONT)
    context.end_s = time.monotonic()


@when("the coordinator is killed")
def kill_coordinator(context):
    coordinator = context.processes[0].popen
    context.fault_s = context.end_s = time.monotonic()
    coordinator.kill()
    coordinator.wait(TIMEOUT_S)


@then(
    "within {bound_s:g} s of the fault each other instance has slots of its fallback share"
)
def check_own_share(context, bound_s):
    until_s = context.fault_s + bound_s
    for process in list_others(context):
        own = [
            time_s
            for time_s, sign, _, coordinator in list(process.journal)
            if sign == "+"
            and coordinator == "own"
            and context.fault_s < time_s < until_s
        ]
        assert own, (process.name, list_coordinators_since(process, context.fault_s))


@then(
    "within {bound_s:g} s of the end of the pause all instances have slots of that coordinator again"
)
def check_returned(context, bound_s):
    def is_back():
        since_s = max(context.end_s, time.monotonic() - 0.5)
        return all(
            list_coordinators_since(process, since_s) == {"a"}
            for process in context.processes
        )

    left_s = context.end_s + bound_s - time.monotonic()
    wait_until(is_back, left_s)


@then(
    "within {bound_s:g} s of the fault all other instances have slots of one new coordinator"
)
def check_new_coordinator(context, bound_s):
    def is_moved():
        since_s = max(context.fault_s, time.monotonic() - 0.4)
        coordinators = [
            list_coordinators_since(process, since_s)
            for process in list_others(context)
        ]
        return (
            coordinators[0]
            and coordinators[0].isdisjoint({"a", "own"})
            and coordinators == coordinators[:1] * 3
        )

    wait_until(is_moved, context.fault_s + bound_s - time.monotonic())


@then("at most {bound:d} slots were in use at any time")
def check_peak(context, bound):
    peak = find_peak(context, lambda time_s: time_s >= context.started_s)
    assert peak <= bound, peak


@then("at most {bound:d} slots were in use before the fault and from 2 s after its end")
def check_settled_peak(context, bound):
    settled_s = context.end_s + SETTLED_AFTER_S
    time.sleep(max(0.0, settled_s + 1.5 - time.monotonic()))

    def is_counted(time_s):
        return context.started_s <= time_s < context.fault_s or time_s >= settled_s

    peak = find_peak(context, is_counted)
    assert peak <= bound, peak


@then(
    "the new coordinator does not grant the killed instance's share while that is listed"
)
def check_share_kept(context):
    settled_s = context.end_s + SETTLED_AFTER_S
    peak = find_peak(context, lambda time_s: time_s >= settled_s)
    assert peak == context.slots * 3 // 4, peak
