"""The accounts that this instance keeps for itself and for its peers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from jujubenotch.admission import Grant, WorkReport, WorkResult, restore
from jujubenotch.capacity.groups import GroupPlan
from jujubenotch.capacity.keeper import (
    PoolKeeper,
    cancel,
    configure_group,
    give_back,
    pump,
)
from jujubenotch.capacity.keeper import submit as submit_to_pool
from jujubenotch.invariants import assert_invariant
from jujubenotch.outcomes import Refusal
from jujubenotch.peers import HeldSlot, SlotRequest

LOST_HOLDER_S = 5.0


@dataclass(frozen=True, kw_only=True, eq=False)
class HolderAnswers:
    """How a holder is told what became of its requests, by their numbers."""

    queued: Callable[[int], None]
    granted: Callable[[int, str], None]
    refused: Callable[[int, Refusal], None]
    not_home: Callable[[str], None]


@dataclass(kw_only=True)
class HomeEntry:
    """One request of a holder, from its arrival until its slot is given back.

    :param grant_id: The pool's name of its slot; empty while it waits.
    """

    holder: str
    number: int
    group: str
    grant_id: str = ""


@dataclass(kw_only=True)
class Holder:
    """One instance that gets slots here.

    :param entries: Its requests and slots, by its own numbers.
    :param lost_s: When its session ended, on this process's monotonic clock.
    """

    name: str
    incarnation: int
    answers: HolderAnswers
    entries: dict[int, HomeEntry] = field(default_factory=dict)
    lost_s: float | None = None


@dataclass(kw_only=True)
class HomeGroup:
    """One group whose account is kept here.

    :param opened_s: Since when, on this process's monotonic clock.
    :param attached: The holders that have told what they hold.
    :param left_s: When holders left for another account, same clock; their
        slots still count for a while, since they still run.
    """

    plan: GroupPlan
    share: float
    opened_s: float
    attached: set[str] = field(default_factory=set)
    left_s: dict[str, float] = field(default_factory=dict)


@dataclass(kw_only=True)
class Home:
    """All accounts kept here, changed only by this module's functions.

    :param keeper: Their pools; its callback is :func:`deliver`.

    >>> Home.__name__
    'Home'
    """

    keeper: PoolKeeper
    groups: dict[str, HomeGroup] = field(default_factory=dict)
    holders: dict[str, Holder] = field(default_factory=dict)
    entries: dict[str, HomeEntry] = field(default_factory=dict)


def make_home(*, name: str, id_prefix: str, read_clock_s: Callable[[], float]) -> Home:
    """Make a home without accounts.

    :param name: What grants name as their home; empty for the own share.
    :param id_prefix: Starts the ids of slots; unique over all instances.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :returns: The home.
    """
    home = Home(keeper=None)
    home.keeper = PoolKeeper(
        home=name,
        id_prefix=id_prefix,
        read_clock_s=read_clock_s,
        deliver=lambda queue_id, answer: deliver(home, queue_id, answer),
    )
    return home


def open_group(home: Home, plan: GroupPlan, *, share: float, now_s: float) -> None:
    """Keep a group's account, or change what it may grant.

    :param home: The home.
    :param plan: What the group is made of.
    :param share: The part of each upstream that may be granted, up to 1.
    :param now_s: The present monotonic time, in seconds.
    """
    group = home.groups.get(plan.name)
    if group is None:
        group = HomeGroup(plan=plan, share=share, opened_s=now_s)
        home.groups[plan.name] = group
    elif group.plan == plan and group.share == share:
        return
    group.plan = plan
    group.share = share
    configure_group(home.keeper, plan, share=share, now_s=now_s)


def close_group(home: Home, name: str, now_s: float) -> None:
    """Keep a group's account no longer; its holders are told.

    :param home: The home.
    :param name: The group.
    :param now_s: The present monotonic time, in seconds.
    """
    group = home.groups.pop(name)
    # Without its pool, nothing that is dropped makes room for a new grant.
    home.keeper.pools.pop(name, None)
    for holder in tuple(home.holders.values()):
        _drop_entries(home, _list_entries(holder, name), now_s)
        if holder.lost_s is None and holder.name in group.attached:
            holder.answers.not_home(name)


def attach_holder(
    home: Home, name: str, incarnation: int, answers: HolderAnswers, now_s: float
) -> None:
    """Take in a holder, or the new session of a known one.

    What a former incarnation held is free at once. What the same incarnation
    had queued is dropped, since it sends that again.

    :param home: The home.
    :param name: The holder.
    :param incarnation: The holder's.
    :param answers: How to answer it.
    :param now_s: The present monotonic time, in seconds.
    """
    known = home.holders.get(name)
    if known is not None and known.incarnation != incarnation:
        _drop_holder(home, known, now_s)
        known = None
    if known is None:
        home.holders[name] = Holder(name=name, incarnation=incarnation, answers=answers)
        return
    known.answers = answers
    known.lost_s = None
    _drop_waiting(home, known, now_s)
    _detach(home, name)


def lose_holder(home: Home, name: str, answers: HolderAnswers, now_s: float) -> None:
    """Take in the end of a holder's session; its slots stay for a while.

    :param home: The home.
    :param name: The holder.
    :param answers: The session's; a later session's holder isn't lost.
    :param now_s: The present monotonic time, in seconds.
    """
    holder = home.holders.get(name)
    if holder is None or holder.answers is not answers:
        return
    holder.lost_s = now_s
    _drop_waiting(home, holder, now_s)
    _detach(home, name)


def drop_lost_holders(home: Home, now_s: float) -> None:
    """Free the slots of holders that have been lost for too long.

    :param home: The home.
    :param now_s: The present monotonic time, in seconds.
    """
    for holder in tuple(home.holders.values()):
        if holder.lost_s is not None and now_s - holder.lost_s >= LOST_HOLDER_S:
            _drop_holder(home, holder, now_s)
    for name, group in home.groups.items():
        for holder_name, left_s in tuple(group.left_s.items()):
            if now_s - left_s >= LOST_HOLDER_S:
                del group.left_s[holder_name]
                _drop_group_of(home, holder_name, name, now_s)


def hold(
    home: Home, name: str, group: str, held: Iterable[HeldSlot], now_s: float
) -> None:
    """Make a holder's entries of a group what it says that it holds.

    :param home: The home.
    :param name: The holder; attached.
    :param group: The group.
    :param held: All slots that it holds of the group.
    :param now_s: The present monotonic time, in seconds.
    """
    holder = home.holders[name]
    if group not in home.groups:
        holder.answers.not_home(group)
        return
    home.groups[group].attached.add(name)
    home.groups[group].left_s.pop(name, None)
    reported = {slot.number: slot for slot in held}
    _drop_entries(
        home,
        [
            entry
            for entry in _list_entries(holder, group)
            if not entry.grant_id or entry.number not in reported
        ],
        now_s,
    )
    for number, slot in reported.items():
        if number not in holder.entries:
            _restore(home, holder, slot, now_s)
    pump(home.keeper, group, now_s)


def leave(home: Home, name: str, group: str, now_s: float) -> None:
    """Drop what a holder has queued of a group.

    What it holds still runs, and is counted until it comes back or for 5 s.

    :param home: The home.
    :param name: The holder.
    :param group: The group.
    :param now_s: The present monotonic time, in seconds.
    """
    holder = home.holders.get(name)
    if holder is None or group not in home.groups:
        return
    _drop_waiting(home, holder, now_s, group)
    home.groups[group].attached.discard(name)
    home.groups[group].left_s[name] = now_s


def submit(home: Home, name: str, asked: SlotRequest, now_s: float) -> None:
    """Queue a holder's request.

    :param home: The home.
    :param name: The holder; attached.
    :param asked: The request, under a number not used before.
    :param now_s: The present monotonic time, in seconds.
    """
    holder = home.holders[name]
    if asked.group not in home.groups:
        holder.answers.not_home(asked.group)
        return
    if asked.number in holder.entries:
        return
    queue_id = _name_entry(holder, asked.number)
    entry = HomeEntry(holder=name, number=asked.number, group=asked.group)
    holder.entries[asked.number] = entry
    home.entries[queue_id] = entry
    holder.answers.queued(asked.number)
    queued = replace(asked.request, request_id=queue_id)
    submit_to_pool(home.keeper, asked.group, queued, now_s)


def withdraw(home: Home, name: str, number: int, now_s: float) -> None:
    """Take a request back; one that was granted already counts as released.

    :param home: The home.
    :param name: The holder.
    :param number: The request's number; an unknown one is ignored.
    :param now_s: The present monotonic time, in seconds.
    """
    holder = home.holders.get(name)
    entry = holder.entries.get(number) if holder else None
    if entry is not None:
        _drop_entries(home, [entry], now_s)


def release(
    home: Home, name: str, number: int, report: WorkReport, now_s: float
) -> None:
    """Take a slot back.

    :param home: The home.
    :param name: The holder.
    :param number: The number of the request; an unknown one is ignored.
    :param report: What was seen of the work.
    :param now_s: The present monotonic time, in seconds.
    """
    holder = home.holders.get(name)
    entry = holder.entries.get(number) if holder else None
    if entry is None:
        return
    _forget(home, holder, entry)
    if entry.grant_id:
        give_back(home.keeper, entry.group, entry.grant_id, report, now_s)
    else:
        queue_id = _name_entry(holder, number)
        cancel(home.keeper, entry.group, queue_id, now_s)


def deliver(home: Home, queue_id: str, answer: Grant | Refusal) -> None:
    """Tell a holder what its pool decided.

    :param home: The home.
    :param queue_id: The pool's name of the request.
    :param answer: What was decided.
    """
    entry = home.entries.get(queue_id)
    if entry is None:
        # A pool may still report the refusal of a request taken back.
        assert_invariant(isinstance(answer, Refusal), "grant-has-holder")
        return
    holder = home.holders[entry.holder]
    assert_invariant(not entry.grant_id, "request-granted-once", holder=holder.name)
    if isinstance(answer, Grant):
        entry.grant_id = answer.grant_id
        holder.answers.granted(entry.number, answer.upstream)
    else:
        _forget(home, holder, entry)
        holder.answers.refused(entry.number, answer)


def _name_entry(holder, number):
    return f"{holder.name}/{holder.incarnation}/{number}"


def _list_entries(holder, group):
    return [entry for entry in holder.entries.values() if entry.group == group]


def _drop_holder(home, holder, now_s):
    _drop_entries(home, tuple(holder.entries.values()), now_s)
    _detach(home, holder.name)
    del home.holders[holder.name]


def _drop_group_of(home, name, group, now_s):
    holder = home.holders.get(name)
    if holder is not None:
        _drop_entries(home, _list_entries(holder, group), now_s)


def _drop_waiting(home, holder, now_s, group=""):
    waiting = [
        entry
        for entry in holder.entries.values()
        if not entry.grant_id and group in ("", entry.group)
    ]
    _drop_entries(home, waiting, now_s)


def _drop_entries(home, entries, now_s):
    report = WorkReport(result=WorkResult.CANCELLED)
    for entry in entries:
        release(home, entry.holder, entry.number, report, now_s)


def _detach(home, name):
    for group in home.groups.values():
        group.attached.discard(name)


def _forget(home, holder, entry):
    del holder.entries[entry.number]
    del home.entries[_name_entry(holder, entry.number)]


def _restore(home, holder, slot, now_s):
    queue_id = _name_entry(holder, slot.number)
    entry = HomeEntry(
        holder=holder.name, number=slot.number, group=slot.group, grant_id=queue_id
    )
    holder.entries[slot.number] = entry
    home.entries[queue_id] = entry
    request = slot.request
    restore(
        home.keeper.pools[slot.group],
        grant=Grant(
            grant_id=queue_id,
            request_id=queue_id,
            upstream=slot.upstream,
            home=home.keeper.home,
        ),
        target=request.target,
        team=request.team,
        service_class=request.service_class,
        tier=request.tier,
        started_s=slot.started_s,
        now_s=now_s,
        team_weight=request.team_weight,
        expected_tokens=request.expected_tokens,
    )
