"""The rules that a run of a site is checked against.

Each rule takes the journal and returns one line for each violation.
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
# A request sent just after a connection was reset may still fail because of the reset.
CROSSING_S = 0.05
DRAIN_S = 3.0
CONFIGURATION_S = 3.0
RETRY_WINDOW_S = 10.0
RETRY_EXTRA = 58
RECOVERY_S = 4.0
MIN_SERVED_SHARE = 0.9
# An instance with one of these faults is not in contact with the store or its callers.
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
    """No request runs more often than the kind of its route allows."""
    runs = _count_runs(journal)
    return [
        f"{_describe(told)} ran {runs[told.request_id]} times"
        for told in journal.told
        if runs[told.request_id] > (MAX_RUNS if told.kind in REPEATABLE else 1)
    ]


def check_refusals(journal: SiteJournal) -> list[str]:
    """No request that was reported to its caller as not run was run."""
    runs = _count_runs(journal)
    return [
        f"{_describe(told)} ran {runs[told.request_id]} times"
        for told in journal.told
        if told.status in NO_RUN_STATUSES
        and told.kind not in REPEATABLE
        and runs[told.request_id]
    ]


def check_answers(journal: SiteJournal) -> list[str]:
    """A successful answer is an upstream's signed answer to its own request."""
    runs = _count_runs(journal)
    broken = []
    for told in journal.told:
        if told.status != OK:
            continue
        if not told.is_signed or not runs[told.request_id]:
            broken.append(
                f"{_describe(told)} succeeded without a signed answer of an upstream"
            )
        elif told.is_whole and told.body != _expect_body(told):
            broken.append(f"{_describe(told)} got a wrong body: {told.body[:60]!r}")
    return broken


def check_streams(journal: SiteJournal) -> list[str]:
    """Each event of a stream arrives once, and the events arrive in order."""
    return [
        f"{_describe(told)} got the events {told.events}"
        for told in journal.told
        if told.kind in STREAMS and told.events != tuple(range(1, len(told.events) + 1))
    ]


def check_final_answers(journal: SiteJournal) -> list[str]:
    """Each request gets an answer by its deadline, unless a fault prevents it.

    A request is exempt if its instance was killed or paused, or if its callers'
    connections were reset, while the caller waited. A request that no upstream ran
    may also end without an answer if it crossed the planned stop of its instance.
    """
    broken = []
    runs = _count_runs(journal)
    for told in journal.told:
        if _is_struck(journal, told, ENDING_FAULTS):
            continue
        is_stopping = _is_struck(journal, told, {SiteFault.STOP_INSTANCE})
        crossed_close = is_stopping and not runs[told.request_id]
        if not told.status and not crossed_close:
            broken.append(f"{_describe(told)} got no answer: {told.error}")
        elif told.ended_s > told.deadline_s + ANSWER_BOUND_S:
            broken.append(
                f"{_describe(told)} ended {told.ended_s - told.deadline_s:.2f} s after "
                "its deadline"
            )
    return broken


def check_keys(journal: SiteJournal) -> list[str]:
    """No request with a revoked key runs once the bound for revocations has passed.

    Each request is also run for the team of its key.
    """
    revoked_s = {each.key: each.at_s for each in journal.revocations}
    told_by_id = {told.request_id: told for told in journal.told}
    broken = []
    for arrival in journal.arrivals:
        told = told_by_id.get(arrival.request_id)
        if told is None:
            broken.append(
                f"{arrival.upstream} got {arrival.request_id}, which no caller sent"
            )
            continue
        if arrival.team != journal.teams[told.key]:
            broken.append(
                f"{_describe(told)} was sent for the wrong team {arrival.team!r}"
            )
        late_s = told.sent_s - revoked_s.get(told.key, float("inf")) - REVOKE_S
        if arrival.is_run and late_s > 0:
            broken.append(f"{_describe(told)} ran {late_s:.2f} s past its key's bound")
    return broken


def check_denials(journal: SiteJournal) -> list[str]:
    """No request is denied if its key and its route are valid throughout the run."""
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
    """A leaving upstream gets no new requests from instances in contact."""
    left_s = {each.upstream: each.at_s for each in journal.leavings}
    broken = []
    for arrival in journal.arrivals:
        late_s = arrival.at_s - left_s.get(arrival.upstream, float("inf")) - DRAIN_S
        if late_s > 0 and _is_in_touch(journal, arrival.instance, arrival.at_s):
            broken.append(
                f"{arrival.upstream} got {arrival.request_id} from "
                f"{arrival.instance} {late_s:.2f} s after the bound of {DRAIN_S:g} s"
            )
    return broken


def check_routes(journal: SiteJournal) -> list[str]:
    """Changes of routes are in force in time at instances in contact."""
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
            broken.append(
                f"{_describe(told)}: the added route was not in force in time"
            )
        if is_gone and told.status == OK:
            broken.append(f"{_describe(told)}: the removed route was still served")
    return broken


def check_budget(journal: SiteJournal) -> list[str]:
    """Retries stay within the budget that all instances share."""
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
                broken.append(f"{service} got {count} retries for {asked} requests")
    return broken


def check_ends(journal: SiteJournal) -> list[str]:
    """No instance ends unexpectedly, and each planned stop exits with code 0."""
    broken = [
        f"{name} exited unexpectedly with code {code}"
        for name, code in journal.ended.items()
    ]
    return broken + [
        f"{span.target} was stopped and exited with code {span.exit_code}"
        for span in journal.faults
        if span.kind is SiteFault.STOP_INSTANCE and span.exit_code != 0
    ]


def check_recovery(journal: SiteJournal) -> list[str]:
    """Nearly all requests are served once all faults have been cleared."""
    late = _list_recovered(journal)
    served = sum(_is_served(told) for told in late)
    if served >= MIN_SERVED_SHARE * len(late):
        return []
    lost = Counter((told.status, told.error) for told in late if not _is_served(told))
    return [f"only {served} of {len(late)} requests were served; the others: {lost}"]


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
    """Return whether neither the instance nor the store had a recent fault."""
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
