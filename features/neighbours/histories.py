"""Drawn histories: changes amid several disturbances, in virtual time.

They check what callers rely on: an instance that has been undisturbed for a while handles
no request by a configuration that was replaced too long ago, and none goes back.
"""

import asyncio
import contextlib
import logging
import random
from dataclasses import dataclass, field

from features.neighbours.fleet import (
    CONFIGURATION,
    UPSTREAMS,
    Fleet,
    MemoryStore,
    find_readers,
    start_member,
    stop_member,
)
from features.neighbours.virtual_time import open_virtual_time
from jujubenotch.forwarding import find_usable, read_boot_clock_s

LENGTH_S = 24.0
CHECK_INTERVAL_S = 0.05
MAX_KEY_AGE_S = 5.0
MAX_DELAY_S = 3.0
# An instance is judged once it has been undisturbed for this time.
CALM_S = 4.0
# The store's own disturbances allow this much more, until it has been calm as well.
STORE_SLACK_S = 6.0
LARGE_CONFIGURATION_BYTES = 300_000
UPSTREAM_NAMES = ("a", "b", "c", "d", "e")


@dataclass(kw_only=True)
class History:
    """One history; ``disturbed_s`` holds when each instance's disturbances end.

    ``late`` lists the instances that had an older version than allowed, with the time,
    and ``in_use`` those that still used an upstream which had said that it leaves.
    """

    fleet: Fleet
    loop: asyncio.AbstractEventLoop
    draws: random.Random
    size_bytes: int = 0
    written: list[tuple[float, int]] = field(default_factory=list)
    disturbed_s: dict[str, float] = field(default_factory=dict)
    store_disturbed_s: float = float("-inf")
    seen: dict[str, int] = field(default_factory=dict)
    late: list[tuple[float, str, int, int]] = field(default_factory=list)
    left: list[tuple[float, str]] = field(default_factory=list)
    in_use: list[tuple[float, str, str]] = field(default_factory=list)
    events: list[tuple[float, str, tuple[str, ...]]] = field(default_factory=list)


def play(seed, instances, kinds, transfer_s=0.0):
    """Play one history with disturbances of some kinds, and return it.

    Where ``transfer_s`` is set, the configuration is too large for a message.
    """
    with open_virtual_time() as loop, _without_logs():
        random.seed(seed)
        fleet = Fleet(store=MemoryStore(), max_key_age_s=MAX_KEY_AGE_S)
        fleet.store.transfer_s = transfer_s
        history = History(fleet=fleet, loop=loop, draws=random.Random(seed))
        if transfer_s:
            history.size_bytes = LARGE_CONFIGURATION_BYTES
        loop.run_until_complete(_play(history, instances, kinds))
    return history


@contextlib.contextmanager
def _without_logs():
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)


async def _play(history, instances, kinds):
    loop, draws, fleet = history.loop, history.draws, history.fleet
    fleet.draws = draws
    start_s = loop.time()
    write(history)
    for name in UPSTREAM_NAMES:
        fleet.store.write(UPSTREAMS, name, b"ready")
    for number in range(instances):
        start_member(fleet, number)
    for _ in range(draws.randint(4, 12)):
        loop.call_at(start_s + draws.uniform(3.0, LENGTH_S - 4.0), write, history)
    for _ in range(draws.randint(2, 5)):
        disturb = DISTURBANCES[draws.choice(kinds)]
        loop.call_at(start_s + draws.uniform(2.5, LENGTH_S - 6.0), disturb, history)
    for name in UPSTREAM_NAMES[1:]:
        leaves_s = start_s + draws.uniform(3.0, LENGTH_S - 4.0)
        loop.call_at(leaves_s, leave, history, name)
    while loop.time() < start_s + LENGTH_S:
        await asyncio.sleep(CHECK_INTERVAL_S)
        check(history)
    for name in list(fleet.members):
        stop_member(fleet, name)
    await asyncio.sleep(CHECK_INTERVAL_S)


def write(history):
    """Write a change, which the store confirms at once."""
    version = len(history.written) + 1
    filler = history.draws.randbytes(history.size_bytes // 2).hex().encode()
    history.fleet.store.write(CONFIGURATION, "config", b"%d %b" % (version, filler))
    history.written.append((history.loop.time(), version))


def leave(history, name):
    """Let an upstream say that it leaves, which the store confirms at once."""
    history.fleet.store.write(UPSTREAMS, name, b"leaving")
    history.left.append((history.loop.time(), name))


def check(history):
    """Note each undisturbed instance that has not followed a change in time."""
    now_s = history.loop.time()
    allowed_s = MAX_DELAY_S
    if now_s - history.store_disturbed_s < CALM_S:
        allowed_s += STORE_SLACK_S
    confirmed = [each for at_s, each in history.written if now_s - at_s > allowed_s]
    due = max(confirmed, default=0)
    gone = {name for at_s, name in history.left if now_s - at_s > allowed_s}
    for name, member in history.fleet.members.items():
        if member.state.index is None:
            continue
        version = member.state.index.configuration.version
        assert version >= history.seen.get(name, 0), (name, version)
        history.seen[name] = version
        disturbed_s = history.disturbed_s.get(name, float("-inf"))
        if now_s - disturbed_s < CALM_S:
            continue
        if version < due:
            history.late.append((now_s, name, version, due))
        usable = find_usable(member.state.listing, "drafting", read_boot_clock_s())
        for upstream in gone & {each.name for each in usable}:
            history.in_use.append((now_s, name, upstream))


def _choose_instances(history, share):
    """Choose some instances, the readers first more often than not."""
    draws = history.draws
    names = list(history.fleet.members)
    chosen = draws.sample(names, max(1, int(share * len(names))))
    if draws.random() < 0.6:
        chosen = [*find_readers(history.fleet), *chosen][: len(chosen)]
    return list(dict.fromkeys(chosen))


def _note(history, event, names, for_s):
    now_s = history.loop.time()
    history.events.append((now_s, event, tuple(names)))
    for name in names:
        ends_s = max(history.disturbed_s.get(name, now_s), now_s + for_s)
        history.disturbed_s[name] = ends_s


def kill(history):
    """End some instances, which start again."""
    fleet = history.fleet
    names = _choose_instances(history, history.draws.choice((0.05, 0.16, 0.5)))
    down_s = history.draws.uniform(0.5, 3.5)
    _note(history, "killed", names, down_s)
    for name in names:
        stop_member(fleet, name)
        history.seen.pop(name, None)

    def start():
        for name in names:
            if name not in fleet.members:
                start_member(fleet, int(name.partition(":")[0].rpartition(".")[2]))

    history.loop.call_later(down_s, start)


def turn_away(history):
    """Let the store turn some instances away."""
    turned_away = history.fleet.store.turned_away
    names = _choose_instances(history, history.draws.choice((0.1, 0.35)))
    for_s = history.draws.uniform(3.0, 9.0)
    _note(history, "turned away", names, for_s)
    turned_away.update(names)
    history.loop.call_later(for_s, turned_away.difference_update, names)


def cut_off(history):
    """Cut some instances off from their neighbours."""
    names = _choose_instances(history, 0.17)
    for_s = history.draws.uniform(3.0, 6.0)
    _note(history, "cut off", names, for_s)
    history.fleet.cut_off.update(names)
    history.loop.call_later(for_s, history.fleet.cut_off.difference_update, names)


def lose_messages(history):
    """Lose some messages of all instances, which stay judged."""
    for_s = history.draws.uniform(3.0, 6.0)
    _note(history, "messages lost", (), for_s)
    history.fleet.loss_share = history.draws.choice((0.03, 0.1))
    history.loop.call_later(for_s, setattr, history.fleet, "loss_share", 0.0)


def silence(history):
    """Let all open connections to the store go silent for good; new ones work."""
    _note(history, "connections silent", list(history.fleet.members), 0.0)
    history.fleet.store.silence_connections()


def drop_history(history):
    """Bring no changes for a second, then cut all calls and drop the history."""
    store = history.fleet.store
    _note(history, "history dropped", (), 0.0)
    history.store_disturbed_s = history.loop.time() + 1.0
    store.hides_changes = True
    write(history)
    history.loop.call_later(0.5, write, history)
    history.loop.call_later(1.0, store.drop_history)


DISTURBANCES = {
    "kill": kill,
    "turn-away": turn_away,
    "cut-off": cut_off,
    "loss": lose_messages,
    "silence": silence,
    "drop": drop_history,
}
