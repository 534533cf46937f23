"""The rules about upstreams that state something about themselves in their responses.

A statement counts only if no fault of the connections may have kept it from the
instance, and not after the instance was killed, stopped or paused.
"""

from collections import defaultdict

from benchmarks.site.model import SiteFault, SiteJournal
from benchmarks.site.request_limit import (
    TOLD_AFTER_S,
    ReceivedRequests,
    find_largest_excess,
)

LEAVING_BOUND_S = 3.0
MAX_WHILE_WAITING = 2
RESTART_FAULTS = frozenset(
    {
        SiteFault.KILL_INSTANCE,
        SiteFault.REPLACE_INSTANCE,
        SiteFault.STOP_INSTANCE,
        SiteFault.PAUSE_INSTANCE,
    }
)
CONNECTION_FAULTS = frozenset(
    {
        SiteFault.CUT_UPSTREAM,
        SiteFault.CUT_UPSTREAM_ONE_WAY,
        SiteFault.RESET_UPSTREAM,
        SiteFault.DELAY_UPSTREAM,
    }
)
# A request that an upstream received shortly before a fault of its connections may get
# no response.
DELIVERY_S = 1.0


def check_said_leaving(journal: SiteJournal) -> list[str]:
    """An upstream that said that it leaves gets nothing from the instances told."""
    told_s = {}
    for statement in _list_delivered(journal, SiteFault.SAY_LEAVING):
        pair = (statement.upstream, statement.instance)
        told_s.setdefault(pair, statement.at_s)
    violations = []
    for arrival in journal.arrivals:
        since_s = told_s.get((arrival.upstream, arrival.instance), float("inf"))
        late_s = arrival.at_s - since_s - LEAVING_BOUND_S
        if late_s > 0 and not _was_restarted(
            journal, arrival.instance, since_s, arrival.at_s
        ):
            violations.append(
                f"{arrival.upstream} got {arrival.request_id} from {arrival.instance} "
                f"{late_s:.2f} s after the bound, though it had said that it leaves"
            )
    return violations


def check_waits(journal: SiteJournal) -> list[str]:
    """An upstream that turned an instance away gets little until the time has ended."""
    violations = []
    for statement in _list_delivered(journal, SiteFault.TURN_AWAY):
        begin_s = statement.at_s + TOLD_AFTER_S
        end_s = statement.at_s + statement.value
        received = sum(
            arrival.upstream == statement.upstream
            and arrival.instance == statement.instance
            and begin_s <= arrival.at_s < end_s
            for arrival in journal.arrivals
        )
        if received > MAX_WHILE_WAITING and not _was_restarted(
            journal, statement.instance, statement.at_s, end_s
        ):
            violations.append(
                f"{statement.upstream} got {received} requests from "
                f"{statement.instance} within the {statement.value:g} s that it named"
            )
    return violations


def check_limits(journal: SiteJournal) -> list[str]:
    """An upstream that names a limit gets no more than that from the instances told."""
    named_s, until_s, told_s = {}, {}, defaultdict(dict)
    for statement in _list_statements(journal, SiteFault.NAME_LIMIT):
        key = (statement.upstream, statement.episode, statement.value)
        named_s.setdefault(key, statement.at_s)
        until_s[key] = statement.at_s
    for statement in _list_delivered(journal, SiteFault.NAME_LIMIT):
        key = (statement.upstream, statement.episode, statement.value)
        told_s[key].setdefault(statement.instance, statement.at_s)
    violations = []
    for key, first_s in named_s.items():
        upstream, _, limit_per_s = key
        received = ReceivedRequests(
            arrivals=_list_counted(journal, upstream, first_s, until_s[key]),
            told_s=told_s[key],
        )
        excess = find_largest_excess(received, limit_per_s, named_s=first_s)
        if excess > 0:
            violations.append(
                f"{upstream} got {excess:.1f} requests in 4 s more than its limit of "
                f"{limit_per_s:g} a second allows"
            )
    return violations


def _list_counted(journal, upstream, begin_s, end_s):
    return [
        (arrival.at_s, arrival.instance)
        for arrival in journal.arrivals
        if arrival.upstream == upstream
        and begin_s <= arrival.at_s <= end_s
        and not _was_restarted(journal, arrival.instance, begin_s, arrival.at_s)
    ]


def _list_statements(journal, kind):
    statements = [each for each in journal.statements if each.kind is kind]
    return sorted(statements, key=lambda each: each.at_s)


def _list_delivered(journal, kind):
    return [
        statement
        for statement in _list_statements(journal, kind)
        if not _had_connection_fault(journal, statement)
    ]


def _had_connection_fault(journal, statement):
    return any(
        span.kind in CONNECTION_FAULTS
        and statement.upstream.startswith(f"i-{span.target}-")
        and span.begin_s <= statement.at_s + DELIVERY_S
        and span.settled_s >= statement.at_s - DELIVERY_S
        for span in journal.faults
    )


def _was_restarted(journal, instance, begin_s, end_s):
    return any(
        span.kind in RESTART_FAULTS
        and span.target == instance
        and span.begin_s <= end_s
        and span.settled_s >= begin_s
        for span in journal.faults
    )
