"""The promises that a run of a site is checked against.

Each rule takes the journal and returns a line for each thing that breaks it.
"""

from collections import Counter, defaultdict
from collections.abc import Callable

from benchmarks.rules import Rule
from benchmarks.site.documents import RETRY_RATIO, REVOKE_S, SERVICE_BY_KIND
from benchmarks.site.model import (
    REPEATABLE,
    STREAMS,
    RouteKind,
    SiteFault,
    SiteJournal,
    Told,
)
from benchmarks.site.upstreams import count_events, make_body, make_event

MAX_RUNS = 2
NO_RUN_STATUSES = frozenset({408, 421, 429, 503})
OK = 200
NOT_FOUND = 404
UNAUTHORIZED = 401
ANSWER_BOUND_S = 0.5
CONTACT_S = 4.0
# What was on its way as a connection was reset still meets the reset.
CROSSING_S = 0.05
DRAIN_S = 3.0
CONFIGURATION_S = 3.0
RETRY_WINDOW_S = 10.0
RETRY_EXTRA = 58
RECOVERY_S = 4.0
MIN_SERVED_SHARE = 0.9
# An instance that these strike is out of touch.
TOUCHING_FAULTS = frozenset(
    {
        SiteFault.KILL_INSTANCE,
        SiteFault.PAUSE_INSTANCE,
        SiteFault.STOP_INSTANCE,
        SiteFault.CUT_STORE,
        SiteFault.CUT_STORE_ONE_WAY,
        SiteFault.SILENCE_STORE,
        SiteFault.SLOW_STORE,
        SiteFault.RESET_CALLERS,
    }
)
STORE_FAULTS = frozenset(
    {SiteFault.STORE_UNAVAILABLE, SiteFault.STORE_SILENT, SiteFault.DROP_HISTORY}
)
ENDING_FAULTS = frozenset(
    {SiteFault.KILL_INSTANCE, SiteFault.PAUSE_INSTANCE, SiteFault.RESET_CALLERS}
)


def check_runs(journal: SiteJournal) -> list[str]:
    """No request runs more often than its kind allows."""
    runs = _count_runs(journal)
    return [
        f"{_describe(told)} ran {runs[told.request_id]} times"
        for told in journal.told
        if runs[told.request_id] > (MAX_RUNS if told.kind in REPEATABLE else 1)
    ]


def check_refusals(journal: SiteJournal) -> list[str]:
    """What was told as not run was not run."""
    runs = _count_runs(journal)
    return [
        f"{_describe(told)} ran {runs[told.request_id]} times"
        for told in journal.told
        if told.status in NO_RUN_STATUSES
        and told.kind not in REPEATABLE
        and runs[told.request_id]
    ]


def check_answers(journal: SiteJournal) -> list[str]:
    """A success is the upstream's whole signed answer to this very request."""
    runs = _count_runs(journal)
    broken = []
    for told in journal.told:
        if told.status != OK:
            continue
        if not told.is_signed or not runs[told.request_id]:
            broken.append(f"{_describe(told)} is no upstream's answer")
        elif told.is_whole and told.body != _expect_body(told):
            broken.append(f"{_describe(told)} has another body: {told.body[:60]!r}")
    return broken


def check_streams(journal: SiteJournal) -> list[str]:
    """The events of a stream come once each and in order."""
    return [
        f"{_describe(told)} got the events {told.events}"
        for told in journal.told
        if told.kind in STREAMS and told.events != tuple(range(1, len(told.events) + 1))
    ]


def check_final_answers(journal: SiteJournal) -> list[str]:
    """Each request ends in time, and is cut off only with its instance."""
    broken = []
    runs = _count_runs(journal)
    for told in journal.told:
        if _is_struck(journal, told, ENDING_FAULTS):
            continue
        is_stopping = _is_struck(journal, told, {SiteFault.STOP_INSTANCE})
        crossed_close = is_stopping and not runs[told.request_id]
        if not told.status and not crossed_close:
            broken.append(f"{_describe(told)} has no answer: {told.error}")
        elif told.ended_s > told.deadline_s + ANSWER_BOUND_S:
            broken.append(
                f"{_describe(told)} ended {told.ended_s - told.deadline_s:.2f} s late"
            )
    return broken


def check_keys(journal: SiteJournal) -> list[str]:
    """A key that was taken away lets nothing run after the bound."""
    revoked_s = {each.key: each.at_s for each in journal.revocations}
    told_by_id = {told.request_id: told for told in journal.told}
    broken = []
    for arrival in journal.arrivals:
        told = told_by_id.get(arrival.request_id)
        if told is None:
            broken.append(f"{arrival.upstream} read {arrival.request_id}, never sent")
            continue
        if arrival.team != journal.teams[told.key]:
            broken.append(f"{_describe(told)} ran for {arrival.team!r}")
        late_s = told.sent_s - revoked_s.get(told.key, float("inf")) - REVOKE_S
        if arrival.is_run and late_s > 0:
            broken.append(f"{_describe(told)} ran {late_s:.2f} s after its key's bound")
    return broken


def check_denials(journal: SiteJournal) -> list[str]:
    """A key and a route that are valid all along are never denied."""
    gone = {each.key for each in journal.revocations}
    return [
        f"{_describe(told)} was denied"
        for told in journal.told
        if told.status in (UNAUTHORIZED, NOT_FOUND)
        and told.key in journal.teams
        and told.key not in gone
        and told.path.startswith(f"/{told.kind}/")
    ]


def check_leaving(journal: SiteJournal) -> list[str]:
    """An upstream that leaves gets nothing new from instances in touch."""
    left_s = {each.upstream: each.at_s for each in journal.leavings}
    broken = []
    for arrival in journal.arrivals:
        late_s = arrival.at_s - left_s.get(arrival.upstream, float("inf")) - DRAIN_S
        if late_s > 0 and _is_in_touch(journal, arrival.instance, arrival.at_s):
            broken.append(
                f"{arrival.upstream} got {arrival.request_id} from "
                f"{arrival.instance} {late_s:.2f} s after the bound"
            )
    return broken


def check_routes(journal: SiteJournal) -> list[str]:
    """Changed routes are in force in time at instances in touch."""
    changes = defaultdict(dict)
    for change in journal.routes:
        changes[change.prefix][change.is_added] = change.at_s
    broken = []
    for told in journal.told:
        prefix = told.path[: told.path.rindex("/") + 1]
        if prefix not in changes or not told.status:
            continue
        if not _is_in_touch(journal, told.instance, told.sent_s):
            continue
        removed_s = changes[prefix].get(False, float("inf"))
        added_s = changes[prefix][True]
        is_known = told.sent_s > added_s + CONFIGURATION_S and told.ended_s < removed_s
        is_gone = told.sent_s > removed_s + CONFIGURATION_S
        if is_known and told.status == NOT_FOUND:
            broken.append(f"{_describe(told)}: the route is not known in time")
        if is_gone and told.status == OK:
            broken.append(f"{_describe(told)}: the route was served after its end")
    return broken


def check_budget(journal: SiteJournal) -> list[str]:
    """Second sendings stay within the budget of all instances together."""
    seen = set()
    repeats = defaultdict(list)
    for arrival in sorted(journal.arrivals, key=lambda each: each.at_s):
        if arrival.request_id in seen:
            repeats[arrival.service].append(arrival.at_s)
        seen.add(arrival.request_id)
    broken = []
    for service, times in repeats.items():
        sent = [
            told.sent_s
            for told in journal.told
            if SERVICE_BY_KIND[told.kind] == service
        ]
        for begin_s in times:
            count = sum(begin_s <= at_s < begin_s + RETRY_WINDOW_S for at_s in times)
            asked = sum(begin_s <= at_s < begin_s + RETRY_WINDOW_S for at_s in sent)
            if count > RETRY_RATIO * asked + RETRY_EXTRA:
                broken.append(f"{service} got {count} repeats of {asked} requests")
    return broken


def check_ends(journal: SiteJournal) -> list[str]:
    """No instance ends by itself, and a planned stop ends with 0."""
    broken = [f"{name} ended with {code}" for name, code in journal.ended.items()]
    return broken + [
        f"{span.target} stopped with code {span.exit_code}"
        for span in journal.faults
        if span.kind is SiteFault.STOP_INSTANCE and span.exit_code != 0
    ]


def check_recovery(journal: SiteJournal) -> list[str]:
    """Once all faults are over, nearly all requests are served."""
    late = _list_recovered(journal)
    served = sum(_is_served(told) for told in late)
    if served >= MIN_SERVED_SHARE * len(late):
        return []
    lost = Counter((told.status, told.error) for told in late if not _is_served(told))
    return [f"{served} of {len(late)} requests were served; the others: {lost}"]


def _list_recovered(journal):
    gone = {each.key for each in journal.revocations}
    return [
        told
        for told in journal.told
        if told.sent_s > journal.calm_s + RECOVERY_S
        and told.key not in gone
        and told.path.startswith(f"/{told.kind}/")
    ]


def _is_served(told):
    return told.status == OK and told.is_whole


def _count_runs(journal):
    return Counter(each.request_id for each in journal.arrivals if each.is_run)


def _expect_body(told: Told) -> bytes:
    if told.kind not in STREAMS:
        return make_body(told.request_id, told.path)
    numbers = range(1, count_events(told.path) + 1)
    return b"".join(make_event(told.request_id, number) for number in numbers)


def _is_struck(journal, told, kinds):
    return any(
        span.kind in kinds
        and span.target == told.instance
        and span.begin_s <= told.ended_s
        and span.settled_s >= told.sent_s - CROSSING_S
        for span in journal.faults
    )


def _is_in_touch(journal, instance, at_s):
    """Whether neither the instance nor the store was struck lately."""
    for span in journal.faults:
        is_store = span.kind in STORE_FAULTS
        is_own = span.kind in TOUCHING_FAULTS and span.target == instance
        overlaps = span.begin_s <= at_s and span.settled_s >= at_s - CONTACT_S
        if (is_store or is_own) and overlaps:
            return False
    return True


def _describe(told: Told) -> str:
    return (
        f"request {told.request_id} ({told.path} at {told.instance}, sent at "
        f"{told.sent_s:.2f} s, status {told.status})"
    )


def _count_told(*kinds: RouteKind) -> Callable[[SiteJournal], int]:
    def count(journal):
        return sum(told.kind in kinds for told in journal.told)

    return count


SITE_RULES = (
    Rule(
        name="no request ran too often",
        count=lambda journal: len(journal.told),
        check=check_runs,
    ),
    Rule(
        name="nothing told as not run was run",
        count=lambda journal: sum(
            told.status in NO_RUN_STATUSES for told in journal.told
        ),
        check=check_refusals,
    ),
    Rule(
        name="each success is the upstream's own whole answer",
        count=lambda journal: sum(told.status == OK for told in journal.told),
        check=check_answers,
    ),
    Rule(
        name="the events of a stream come once and in order",
        count=_count_told(*STREAMS),
        check=check_streams,
    ),
    Rule(
        name="one final answer by the deadline",
        count=lambda journal: len(journal.told),
        check=check_final_answers,
    ),
    Rule(
        name="a key that was taken away lets nothing run",
        count=lambda journal: len(journal.revocations),
        check=check_keys,
    ),
    Rule(
        name="nothing allowed is denied",
        count=lambda journal: len(journal.told),
        check=check_denials,
    ),
    Rule(
        name="a leaving upstream gets nothing new",
        count=lambda journal: len(journal.leavings),
        check=check_leaving,
    ),
    Rule(
        name="changed routes are in force in time",
        count=lambda journal: len(journal.routes),
        check=check_routes,
    ),
    Rule(
        name="repeats stay within the shared budget",
        count=lambda journal: len(journal.arrivals),
        check=check_budget,
    ),
    Rule(
        name="no instance ended by itself",
        count=lambda journal: sum(
            span.kind is SiteFault.STOP_INSTANCE for span in journal.faults
        ),
        check=check_ends,
    ),
    Rule(
        name="nearly all is served after the last fault",
        count=lambda journal: len(_list_recovered(journal)),
        check=check_recovery,
    ),
)
