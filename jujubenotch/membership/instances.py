"""Which instances of a deployment are live, where a store lists them.

An instance reads the list of the store, which also names instances that ended long ago,
and asks those that it hasn't heard from. What it believes of each one is decided here
alone. Instances that keep sessions with each other use ``Membership`` in place of it.
"""

import secrets
import string
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

# The number of questions in a row without an answer that make an instance suspected,
# and silent.
SUSPECTED_QUESTIONS = 2
SILENT_QUESTIONS = 6
# A silent instance is gone after this time, and so is what its streams need of it.
GONE_AFTER_S = 120.0
# An instance that was heard within this time isn't asked.
HEARD_AGE_S = 5.0
# Bounds the memory and the work, whatever the store lists.
MAX_KNOWN = 4096
# Bounds the datagrams that one message to all causes.
MAX_NEIGHBOURS = 512
INCARNATION_DIGITS = 16


def make_incarnation() -> str:
    """Make an identity for a start of a process."""
    return secrets.token_hex(INCARNATION_DIGITS // 2)


def is_incarnation(text: str) -> bool:
    """Return whether a text is the identity of a start.

    :param text: The text.

    >>> is_incarnation(make_incarnation()), is_incarnation("edge-1")
    (True, False)
    """
    return len(text) == INCARNATION_DIGITS and set(text) <= set(string.hexdigits)


class Liveness(IntEnum):
    """What is believed of an instance; a higher value has more evidence of its end.

    ``LIVE`` holds until questions are left unanswered, also before the first one. A
    ``SILENT`` one becomes ``GONE`` only while the store answers this instance, which
    could be cut off from the others otherwise.
    """

    LIVE = 0
    SUSPECTED = 1
    SILENT = 2
    GONE = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedInstance:
    """An entry in the store's list of instances.

    :param address: The address of its endpoint; empty when it has none.
    :param name: The instance's name; empty where entries have addresses alone.
    :param incarnation: Identifies the start of its process; empty for releases that
        don't tell, which don't register software versions either.
    :param key: Identifies the entry in the store.
    :param revision: The revision of the entry; 0 where the store has none.
    """

    data_centre: str
    address: str
    name: str = ""
    incarnation: str = ""
    key: str = ""
    revision: int = 0


@dataclass(kw_only=True)
class KnownInstance:
    """What this instance knows of another one.

    :param entries: Its entries in the store, one for each start that wasn't removed.
    :param is_neighbour: Whether messages to all go to it.
    :param heard_s: When a message of it last arrived, monotonic, in seconds.
    :param unanswered: The number of questions since then.
    :param must_ask: Whether to ask it next.
    :param silent_s: Since when it has been silent while the store answered.
    """

    address: str
    data_centre: str = ""
    entries: tuple[ListedInstance, ...] = ()
    is_neighbour: bool = False
    heard_s: float | None = None
    unanswered: int = 0
    must_ask: bool = False
    silent_s: float | None = None
    liveness: Liveness = Liveness.LIVE


@dataclass(kw_only=True)
class Instances:
    """The other instances, by the address of their endpoint.

    :param own_address: The address of this instance's endpoint; empty without one.
    :param own_name: This instance's name.
    :param superseded: Entries of earlier starts of this instance.
    :param without_endpoint: The number of listed instances that can't be asked.
    :param was_listed: Whether the store has listed the instances.
    :param is_own_listed: Whether this start of the process was listed.
    :param is_registered: Whether the others can find this instance.
    :param are_versions_registered: Whether all listed instances are of releases that
        register software versions; false before they were listed.

    >>> Instances(own_address="127.0.0.1:1").known
    {}
    """

    own_address: str
    own_name: str = ""
    known: dict[str, KnownInstance] = field(default_factory=dict)
    superseded: tuple[ListedInstance, ...] = ()
    without_endpoint: int = 0
    was_listed: bool = False
    is_own_listed: bool = False
    is_registered: bool = False
    are_versions_registered: bool = False


def add_instance(
    instances: Instances, address: str, *, is_neighbour: bool = True
) -> KnownInstance | None:
    """Add an instance, unless it is this one or there is no room.

    :param instances: The instances; changed in place.
    :param address: The address of its endpoint.
    :param is_neighbour: Whether messages to all go to it.
    """
    if address == instances.own_address:
        return None
    known = instances.known.get(address)
    if known is None:
        if len(instances.known) >= MAX_KNOWN and not _evict(instances):
            return None
        known = instances.known[address] = KnownInstance(address=address)
    known.is_neighbour = known.is_neighbour or is_neighbour
    return known


def _evict(instances):
    """Drop the instance with the most evidence of its end; return whether one was."""
    worst = max(instances.known.values(), key=lambda each: each.liveness)
    if worst.liveness is Liveness.LIVE:
        return False
    del instances.known[worst.address]
    return True


def record_heard(
    instances: Instances, address: str, *, is_neighbour: bool = True, now_s: float
) -> bool:
    """Record that a message of an instance has arrived.

    :param instances: The instances; changed in place.
    :param address: The address of its endpoint.
    :param is_neighbour: Whether messages to all go to it if it wasn't known.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether it is new, or was taken for ended.
    """
    is_new = address not in instances.known
    known = add_instance(instances, address, is_neighbour=is_new and is_neighbour)
    if known is None:
        return False
    was_ended = known.liveness is not Liveness.LIVE
    known.heard_s = now_s
    known.unanswered = 0
    known.must_ask = False
    known.silent_s = None
    known.liveness = Liveness.LIVE
    return is_new or was_ended


def record_listed(
    instances: Instances,
    listed: Iterable[ListedInstance],
    *,
    own_incarnation: str,
    data_centre: str | None = None,
    neighbours_in: str | None = None,
    now_s: float,
) -> None:
    """Record what the store lists.

    :param instances: The instances; changed in place.
    :param listed: All entries, or those of one data centre.
    :param own_incarnation: Identifies the start of this process.
    :param data_centre: That data centre; ``None`` for entries of all.
    :param neighbours_in: The data centre whose instances are neighbours; ``None`` when
        all are.
    :param now_s: The present monotonic time, in seconds.
    """
    entries = tuple(listed)
    instances.was_listed = True
    own = [entry for entry in entries if _is_own(instances, entry)]
    instances.is_own_listed = any(each.incarnation == own_incarnation for each in own)
    instances.superseded = tuple(
        each for each in own if each.incarnation != own_incarnation
    )
    by_address = {}
    for entry in entries:
        if entry.address not in ("", instances.own_address):
            by_address.setdefault(entry.address, []).append(entry)
    if data_centre is None:
        instances.are_versions_registered = all(each.incarnation for each in entries)
        # An instance without an endpoint is known by its name, whenever it started.
        names = {each.name for each in entries if not each.address}
        instances.without_endpoint = len(names - {instances.own_name})
    has_room = True
    for address, group in by_address.items():
        place = group[0].data_centre
        is_neighbour = neighbours_in in (None, place)
        if not has_room and address not in instances.known:
            continue
        known = add_instance(instances, address, is_neighbour=is_neighbour)
        has_room = known is not None
        if has_room:
            known.entries = tuple(group)
            known.data_centre = place
    for known in tuple(instances.known.values()):
        if data_centre in (None, known.data_centre):
            if known.address not in by_address:
                _forget_entry(instances, known)
            _confirm_silence(known, now_s)


def _is_own(instances, entry):
    if entry.address != instances.own_address:
        return False
    return bool(entry.address) or entry.name == instances.own_name


def _forget_entry(instances, known):
    """Forget an instance that has left the list, unless it is heard."""
    known.entries = ()
    if known.liveness is not Liveness.LIVE:
        del instances.known[known.address]


def _confirm_silence(known, now_s):
    if known.liveness < Liveness.SILENT:
        return
    if known.silent_s is None:
        known.silent_s = now_s
    elif now_s - known.silent_s >= GONE_AFTER_S:
        known.liveness = Liveness.GONE


def request_answers(
    instances: Instances, *, asks_all: bool = False, now_s: float
) -> None:
    """Have each neighbour asked that was not heard lately.

    :param instances: The instances; changed in place.
    :param asks_all: Whether those that aren't neighbours are asked as well.
    :param now_s: The present monotonic time, in seconds.
    """
    for known in instances.known.values():
        is_recent = known.heard_s is not None and now_s - known.heard_s < HEARD_AGE_S
        if (known.is_neighbour or asks_all) and not is_recent:
            known.must_ask = True


def take_questions(instances: Instances, limit: int) -> list[str]:
    """Judge who has left questions unanswered, and return whom to ask now.

    An instance that doesn't answer is asked each time until it is silent.

    :param instances: The instances; changed in place.
    :param limit: The largest number to ask at once.
    :returns: The addresses of their endpoints.
    """
    asked = []
    for known in instances.known.values():
        known.liveness = max(known.liveness, _judge(known))
        is_pending = 0 < known.unanswered < SILENT_QUESTIONS
        if len(asked) < limit and (known.must_ask or is_pending):
            known.must_ask = False
            known.unanswered += 1
            asked.append(known.address)
    return asked


def _judge(known):
    if known.unanswered >= SILENT_QUESTIONS:
        return Liveness.SILENT
    if known.unanswered >= SUSPECTED_QUESTIONS:
        return Liveness.SUSPECTED
    return Liveness.LIVE


def is_asking(instances: Instances) -> bool:
    """Return whether a question is due, or its answer is awaited.

    :param instances: The instances.
    """
    return any(
        known.must_ask or (known.unanswered > 0 and known.liveness < Liveness.SILENT)
        for known in instances.known.values()
    )


def list_neighbours(instances: Instances) -> set[str]:
    """Return the neighbours that are expected to answer.

    :param instances: The instances.
    :returns: The addresses of their endpoints, at most ``MAX_NEIGHBOURS``.
    """
    addresses = [
        known.address
        for known in instances.known.values()
        if known.is_neighbour and known.liveness is Liveness.LIVE
    ]
    return set(addresses[:MAX_NEIGHBOURS])


def list_choosable(instances: Instances) -> set[str]:
    """Return the instances among which all choose those that keep something.

    They are the ones that were heard, this one included. While none was, those that
    were listed are expected to answer.

    :param instances: The instances.
    :returns: The addresses of their endpoints.
    """
    live = list_neighbours(instances)
    heard = {each for each in live if instances.known[each].heard_s is not None}
    return {*(heard or live), instances.own_address}


def list_helpers(instances: Instances) -> dict[str, str]:
    """Return the listed instances that are expected to answer.

    :param instances: The instances.
    :returns: The data centre of each, by the address of its endpoint.
    """
    return {
        known.address: known.data_centre
        for known in instances.known.values()
        if known.entries and known.liveness is Liveness.LIVE
    }


def list_possible(instances: Instances) -> set[str]:
    """Return the listed instances that aren't proved to have ended.

    One that is cut off from this instance is among them.

    :param instances: The instances.
    :returns: The addresses of their endpoints.
    """
    return {
        known.address
        for known in instances.known.values()
        if known.entries and known.liveness < Liveness.GONE
    }


def count_sharing(instances: Instances) -> int:
    """Count the instances with which this one shares what it reaches, itself included.

    Those that are cut off from it count until they are silent.

    :param instances: The instances.
    """
    return _count_below(instances, Liveness.SILENT)


def count_possible(instances: Instances) -> int:
    """Count the instances that may be running anywhere, this one included.

    :param instances: The instances.
    """
    return _count_below(instances, Liveness.GONE)


def _count_below(instances, liveness):
    others = sum(
        known.is_neighbour and known.liveness < liveness
        for known in instances.known.values()
    )
    return 1 + others + instances.without_endpoint


def find_gone(instances: Instances) -> list[ListedInstance]:
    """Return the entries of instances that are gone.

    :param instances: The instances.
    """
    return [
        entry
        for known in instances.known.values()
        if known.liveness is Liveness.GONE
        for entry in known.entries
    ]
