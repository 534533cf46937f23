"""The rule that each class progresses while it has requests and an upstream is up."""

from collections import defaultdict
from dataclasses import dataclass

from benchmarks.journals import STARTED, Journals, Told, is_struck, select_spans
from benchmarks.schedule import PROCESS_FAULTS, FaultKind

PROGRESS_WINDOW_S = 10.0
HALF_WINDOW_S = PROGRESS_WINDOW_S / 2
MIN_WINDOW_REQUESTS = 5
SETTLE_S = 5.0
DOWN_FAULTS = frozenset(
    {
        FaultKind.CRASH_UPSTREAM,
        FaultKind.REFUSING_UPSTREAM,
        FaultKind.SILENCE_UPSTREAM,
        FaultKind.UPSTREAM_LEAVES,
    }
)


@dataclass(frozen=True, kw_only=True)
class Window:
    """A time window in which a class had requests and an upstream was up.

    :param name: The class and the data centre, for messages.
    :param requests: All requests of the class in the data centre, also those sent
        before the window, since they may be served first.
    :param upstreams: The upstreams of the data centre.
    :param first_sent_s: When the first request was sent that makes the window
        count; older requests of other data centres may be served before it.
    """

    name: str
    service_class: str
    begin_s: float
    requests: list[Told]
    upstreams: frozenset[str]
    first_sent_s: float


def check_progress(journals: Journals) -> list[str]:
    """Each class progresses in each window with requests and an upstream up.

    A window counts for a class and a data centre if at least 5 requests to a model
    were sent in its first half to instances that ran throughout the window, and an
    upstream of the data centre was up throughout the window. The class progresses
    if an upstream starts a request of the class that was sent in this data centre.
    The start of an older request of the class that came from another data centre to
    an upstream of this one counts too, since the oldest request is served first.

    :param journals: The journals.
    """
    sent = {each.digest: each for each in journals.told}
    starts = [
        ran for ran in journals.ran if ran.event == STARTED and ran.digest in sent
    ]
    broken = []
    for window in list_windows(journals):
        own = {each.digest for each in window.requests}
        end_s = window.begin_s + PROGRESS_WINDOW_S
        progresses = any(
            ran.digest in own or _is_older_guest(window, ran, sent[ran.digest])
            for ran in starts
            if window.begin_s <= ran.time_s <= end_s
        )
        if not progresses:
            broken.append(
                f"{window.name} had no start in the {PROGRESS_WINDOW_S:g} s from "
                f"{window.begin_s - journals.began_s:.1f} s after the load began"
            )
    return broken


def list_windows(journals: Journals) -> list[Window]:
    """List the time windows that the rule is checked on.

    :param journals: The journals.
    """
    last_s = max((told.sent_s for told in journals.told), default=journals.began_s)
    served_by = _find_upstreams(journals)
    windows = []
    for (name, place), group in _group_by_class(journals).items():
        begin_s = journals.began_s
        while begin_s + PROGRESS_WINDOW_S <= last_s:
            end_s = begin_s + PROGRESS_WINDOW_S
            early = [
                each
                for each in group
                if begin_s <= each.sent_s < begin_s + HALF_WINDOW_S
                and not _is_struck_process(journals, each.instance, begin_s, end_s)
            ]
            is_up = any(
                not is_struck(
                    select_spans(journals.faults, DOWN_FAULTS, [upstream]),
                    begin_s - SETTLE_S,
                    end_s,
                    SETTLE_S,
                )
                for upstream in served_by[place]
            )
            if is_up and len(early) >= MIN_WINDOW_REQUESTS:
                windows.append(
                    Window(
                        name=f"{name} in {place}",
                        service_class=name,
                        begin_s=begin_s,
                        requests=group,
                        upstreams=frozenset(served_by[place]),
                        first_sent_s=min(each.sent_s for each in early),
                    )
                )
            begin_s += HALF_WINDOW_S
    return windows


def _is_older_guest(window, ran, told):
    is_of_class = told.service_class == window.service_class
    is_here = ran.upstream in window.upstreams
    return is_of_class and is_here and told.sent_s < window.first_sent_s


def _group_by_class(journals):
    groups = defaultdict(list)
    for told in journals.told:
        place = journals.data_centres[told.instance]
        if told.idempotency_key:
            continue
        groups[told.service_class, place].append(told)
    return groups


def _find_upstreams(journals):
    models = {each.digest for each in journals.told if not each.idempotency_key}
    found = defaultdict(set)
    for ran in journals.ran:
        if ran.digest in models:
            found[journals.data_centres[ran.upstream]].add(ran.upstream)
    return found


def _is_struck_process(journals, instance, begin_s, end_s):
    spans = select_spans(journals.faults, PROCESS_FAULTS, [instance])
    return is_struck(spans, begin_s, end_s, SETTLE_S)
