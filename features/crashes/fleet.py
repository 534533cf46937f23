"""A model of instances, upstreams and callers, some of whose prompts crash upstreams.

Time advances in steps. The instances use the project's own decisions; a message that
an instance publishes reaches each other instance once, late, twice, or after it was
lost and read again.
"""

import random
from dataclasses import dataclass, field

from jujubenotch.crashes import (
    Evidence,
    adopt_reports,
    apply_reports,
    decode_reports,
    encode_reports,
    find_block,
    make_own_reports,
    record_break,
    record_sound_response,
    refresh_if_stale,
    take_own_reports,
)

STEP_S = 0.02
CRASH_DELAY_S = 0.06
RESTART_S = 3.0
CONFIRM_S = 0.02
MIN_PUBLISH_INTERVAL_S = 0.2
WRITES_PER_S = 75.0
UNIX_OFFSET_S = 1_800_000_000.0
MAX_CLOCK_SKEW_S = 0.5
FIRST_PARTS = 6
TOPICS = 40
REPEATED_SHARE = 0.2
REPEATED_REQUESTS = 4


@dataclass(frozen=True, kw_only=True)
class Plan:
    """What happens in one history; times are in seconds.

    ``bad_topics`` maps a prompt part to the time from which it crashes upstreams;
    before it, prompts with the part are sound if it ``turns_bad``, else not sent. ``companions`` always come with it.
    ``bad_requests`` does the same for requests that are repeated, by their digest.
    ``kills_s`` are the times at which an upstream is killed, ``cuts_s`` those at which
    an instance loses all its connections, ``restarts_s`` those at which an instance is
    killed and starts again.
    """

    instances: int
    upstreams: int
    sound_per_s: float
    bad_per_s: float
    bad_topics: dict[str, float]
    bad_requests: dict[str, float] = field(default_factory=dict)
    turns_bad: bool = False
    companions: dict[str, str] = field(default_factory=dict)
    kills_s: tuple[float, ...] = ()
    cuts_s: tuple[float, ...] = ()
    restarts_s: tuple[float, ...] = ()
    duration_s: float = 16.0
    loss_share: float = 0.0

    @property
    def bad_contents(self):
        return self.bad_topics | self.bad_requests


@dataclass(kw_only=True)
class Running:
    instance: int
    suspects: tuple[str, ...]
    begins_s: float
    ends_s: float
    is_bad: bool


@dataclass(kw_only=True)
class Process:
    name: str
    number: int
    running: list[Running] = field(default_factory=list)
    returns_s: float = 0.0
    is_up: bool = True


@dataclass(kw_only=True)
class Instance:
    name: str
    skew_s: float
    evidence: Evidence = field(default_factory=Evidence)
    published_s: float = float("-inf")
    applied: dict[str, int] = field(default_factory=dict)
    starts_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """One request; ``is_sent`` is false when it was blocked."""

    at_s: float
    suspects: tuple[str, ...]
    is_bad: bool
    is_sent: bool


@dataclass(kw_only=True)
class Fleet:
    plan: Plan
    draws: random.Random
    instances: list[Instance]
    processes: list[Process]
    now_s: float = 0.0
    next_process: int = 0
    rows: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    revision: int = 0
    messages: list[tuple[float, int, str, int, bytes]] = field(default_factory=list)
    breaks: list[tuple[float, int, str, tuple[str, ...]]] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    crashes_s: dict[str, list[float]] = field(default_factory=dict)
    cut_until_s: dict[int, float] = field(default_factory=dict)


def run_history(plan, seed):
    fleet = _make_fleet(plan, random.Random(seed))
    steps = int(plan.duration_s / STEP_S)
    for step in range(steps):
        fleet.now_s = step * STEP_S
        _begin_faults(fleet)
        _end_requests(fleet)
        _confirm_breaks(fleet)
        _deliver(fleet)
        _publish(fleet)
        _send_requests(fleet)
    return fleet


def _make_fleet(plan, draws):
    instances = [
        Instance(name=f"instance-{number}", skew_s=draws.uniform(0, MAX_CLOCK_SKEW_S))
        for number in range(plan.instances)
    ]
    fleet = Fleet(plan=plan, draws=draws, instances=instances, processes=[])
    fleet.processes = [
        Process(name=_name_process(fleet), number=number)
        for number in range(plan.upstreams)
    ]
    return fleet


def _name_process(fleet):
    fleet.next_process += 1
    return f"engine-{fleet.next_process}@0"


def _times(fleet, instance):
    return {
        "now_s": fleet.now_s,
        "now_unix_s": UNIX_OFFSET_S + fleet.now_s + instance.skew_s,
    }


def _is_due(fleet, times_s):
    return any(fleet.now_s <= at_s < fleet.now_s + STEP_S for at_s in times_s)


def _begin_faults(fleet):
    plan = fleet.plan
    for process in fleet.processes:
        if not process.is_up and fleet.now_s >= process.returns_s:
            process.is_up = True
            process.name = _name_process(fleet)
    if _is_due(fleet, plan.kills_s):
        _end_process(fleet, fleet.draws.choice(fleet.processes))
    if _is_due(fleet, plan.cuts_s):
        _cut_instance(fleet, fleet.draws.randrange(plan.instances))
    if _is_due(fleet, plan.restarts_s):
        _restart_instance(fleet, fleet.draws.randrange(plan.instances))


def _end_process(fleet, process):
    if not process.is_up:
        return
    process.is_up = False
    process.returns_s = fleet.now_s + RESTART_S
    for each in process.running:
        if each.begins_s <= fleet.now_s:
            _break(fleet, each, process)
    process.running = []


def _break(fleet, running, process):
    fleet.breaks.append(
        (fleet.now_s + CONFIRM_S, running.instance, process.name, running.suspects)
    )


def _cut_instance(fleet, number):
    fleet.cut_until_s[number] = fleet.now_s + 1.0
    for process in fleet.processes:
        for each in process.running:
            if each.instance == number and each.begins_s <= fleet.now_s:
                _break(fleet, each, process)
        process.running = [each for each in process.running if each.instance != number]


def _restart_instance(fleet, number):
    old = fleet.instances[number]
    new = Instance(name=old.name, skew_s=old.skew_s, starts_s=fleet.now_s + 0.5)
    for name, (revision, content) in fleet.rows.items():
        reports = decode_reports(content)
        if name == new.name:
            adopt_reports(new.evidence, reports)
        else:
            apply_reports(new.evidence, name, reports)
            new.applied[name] = revision
    fleet.instances[number] = new
    fleet.breaks = [each for each in fleet.breaks if each[1] != number]
    for process in fleet.processes:
        process.running = [each for each in process.running if each.instance != number]


def _end_requests(fleet):
    for process in fleet.processes:
        due = [
            each
            for each in process.running
            if each.is_bad and each.begins_s + CRASH_DELAY_S <= fleet.now_s
        ]
        for each in due:
            for suspect in each.suspects:
                if suspect in fleet.plan.bad_contents:
                    fleet.crashes_s.setdefault(suspect, []).append(fleet.now_s)
        if due:
            _end_process(fleet, process)
            continue
        ended = [
            each
            for each in process.running
            if each.ends_s <= fleet.now_s and not each.is_bad
        ]
        for each in ended:
            process.running.remove(each)
            instance = fleet.instances[each.instance]
            record_sound_response(
                instance.evidence,
                each.suspects,
                begun_s=each.begins_s,
                **_times(fleet, instance),
            )


def _confirm_breaks(fleet):
    due = [each for each in fleet.breaks if each[0] <= fleet.now_s]
    fleet.breaks = [each for each in fleet.breaks if each[0] > fleet.now_s]
    up = {process.name for process in fleet.processes if process.is_up}
    for _, number, process, suspects in due:
        is_cut = fleet.now_s < fleet.cut_until_s.get(number, 0.0)
        if process in up and not is_cut:
            continue
        instance = fleet.instances[number]
        times = _times(fleet, instance)
        record_break(instance.evidence, process, suspects, **times)


def _publish(fleet):
    interval_s = max(MIN_PUBLISH_INTERVAL_S, fleet.plan.instances / WRITES_PER_S)
    for instance in fleet.instances:
        if fleet.now_s - instance.published_s < interval_s:
            continue
        refresh_if_stale(instance.evidence, **_times(fleet, instance))
        if not instance.evidence.is_unpublished:
            continue
        instance.published_s = fleet.now_s
        content = encode_reports(take_own_reports(instance.evidence))
        fleet.revision += 1
        fleet.rows[instance.name] = (fleet.revision, content)
        _send_message(fleet, instance.name, fleet.revision, content)


def _send_message(fleet, name, revision, content):
    for receiver, other in enumerate(fleet.instances):
        if other.name == name:
            continue
        is_lost = fleet.draws.random() < fleet.plan.loss_share
        delay_s = fleet.draws.uniform(0.02, 0.3) + (1.0 if is_lost else 0.0)
        copies = 2 if fleet.draws.random() < fleet.plan.loss_share else 1
        for copy in range(copies):
            at_s = fleet.now_s + delay_s + 0.2 * copy
            fleet.messages.append((at_s, receiver, name, revision, content))


def _deliver(fleet):
    due = [each for each in fleet.messages if each[0] <= fleet.now_s]
    if not due:
        return
    fleet.messages = [each for each in fleet.messages if each[0] > fleet.now_s]
    for _, receiver, name, revision, content in due:
        instance = fleet.instances[receiver]
        if revision < instance.applied.get(name, 0):
            continue
        instance.applied[name] = revision
        apply_reports(instance.evidence, name, decode_reports(content))


def _send_requests(fleet):
    plan = fleet.plan
    for _ in range(_draw_count(fleet, plan.sound_per_s)):
        topic = f"topic-{min(int(fleet.draws.expovariate(0.08)), TOPICS - 1)}"
        _send(fleet, (_draw_first(fleet), topic, _draw_request(fleet)))
    for part, since_s in plan.bad_topics.items():
        if fleet.now_s < since_s and not plan.turns_bad:
            continue
        for _ in range(_draw_count(fleet, plan.bad_per_s)):
            companion = plan.companions.get(part)
            first = companion or _draw_first(fleet)
            _send(fleet, (first, part, _draw_request(fleet)))
    for request, since_s in plan.bad_requests.items():
        if fleet.now_s < since_s:
            continue
        for _ in range(_draw_count(fleet, plan.bad_per_s)):
            _send(fleet, ("first-0", "topic-0", request))


def _draw_first(fleet):
    return f"first-{fleet.draws.randrange(FIRST_PARTS)}"


def _draw_request(fleet):
    """Draw the digest of a sound request; some of them are repeated often."""
    if fleet.draws.random() < REPEATED_SHARE:
        return f"r-repeated-{fleet.draws.randrange(REPEATED_REQUESTS)}"
    return f"r-{fleet.draws.getrandbits(64):x}"


def _draw_count(fleet, per_s):
    count = int(per_s * STEP_S)
    return count + (fleet.draws.random() < per_s * STEP_S - count)


def _send(fleet, suspects):
    number = fleet.draws.randrange(len(fleet.instances))
    instance = fleet.instances[number]
    up = [process for process in fleet.processes if process.is_up]
    if fleet.now_s < instance.starts_s or not up:
        return
    is_bad = any(
        fleet.now_s >= fleet.plan.bad_contents.get(each, float("inf"))
        for each in suspects
    )
    block = find_block(instance.evidence, suspects, **_times(fleet, instance))
    fleet.outcomes.append(
        Outcome(
            at_s=fleet.now_s, suspects=suspects, is_bad=is_bad, is_sent=block is None
        )
    )
    if block is not None:
        return
    begins_s = fleet.now_s + fleet.draws.uniform(0.01, 0.2)
    length_s = min(2.0, fleet.draws.expovariate(1 / 0.3))
    running = Running(
        instance=number,
        suspects=suspects,
        begins_s=begins_s,
        ends_s=begins_s + length_s,
        is_bad=is_bad,
    )
    fleet.draws.choice(up).running.append(running)


def count_rows_bytes(fleet):
    return max((len(content) for _, content in fleet.rows.values()), default=0)


def count_own_crashes(fleet):
    return max(len(make_own_reports(each.evidence).crashes) for each in fleet.instances)
