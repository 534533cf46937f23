"""The rule that each class progresses while it has requests and an upstream is up."""

from collections import defaultdict
from dataclasses import dataclass

from benchmarks.journals import (
    STARTED,
    CallerRequest,
    Journals,
    has_overlap,
    select_spans,
)
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
    requests: list[CallerRequest]
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
        entry
        for entry in journals.ran
        if entry.event == STARTED and entry.digest in sent
    ]
    violations = []
    for window in list_windows(journals):
        window_digests = {each.digest for each in window.requests}
        end_s = window.begin_s + PROGRESS_WINDOW_S
        has_progress = any(
            entry.digest in window_digests
            or _is_older_remote_request(window, entry, sent[entry.digest])
            for entry in starts
            if window.begin_s <= entry.time_s <= end_s
        )
        if not has_progress:
            violations.append(
                f"{window.name} had no start in the {PROGRESS_WINDOW_S:g} s from "
                f"{window.begin_s - journals.began_s:.1f} s after the load began"
            )
    return violations


def list_windows(journals: Journals) -> list[Window]:
    """List the time windows that the rule is checked on.

    :param journals: The journals.
    """
    last_s = max(
        (request.sent_s for request in journals.told), default=journals.began_s
    )
    upstreams_by_data_centre = _find_upstreams(journals)
    windows = []
    for (name, data_centre), group in _group_by_class(journals).items():
        begin_s = journals.began_s
        while begin_s + PROGRESS_WINDOW_S <= last_s:
            end_s = begin_s + PROGRESS_WINDOW_S
            early_requests = [
                each
                for each in group
                if begin_s <= each.sent_s < begin_s + HALF_WINDOW_S
                and not _had_process_fault(journals, each.instance, begin_s, end_s)
            ]
            is_up = any(
                not has_overlap(
                    select_spans(journals.faults, DOWN_FAULTS, [upstream]),
                    begin_s - SETTLE_S,
                    end_s,
                    SETTLE_S,
                )
                for upstream in upstreams_by_data_centre[data_centre]
            )
            if is_up and len(early_requests) >= MIN_WINDOW_REQUESTS:
                windows.append(
                    Window(
                        name=f"{name} in {data_centre}",
                        service_class=name,
                        begin_s=begin_s,
                        requests=group,
                        upstreams=frozenset(upstreams_by_data_centre[data_centre]),
                        first_sent_s=min(each.sent_s for each in early_requests),
                    )
                )
            begin_s += HALF_WINDOW_S
    return windows


def _is_older_remote_request(window, entry, request):
    is_same_class = request.service_class == window.service_class
    is_local_upstream = entry.upstream in window.upstreams
    return is_same_class and is_local_upstream and request.sent_s < window.first_sent_s


def _group_by_class(journals):
    groups = defaultdict(list)
    for request in journals.told:
        data_centre = journals.data_centres[request.instance]
        if request.idempotency_key:
            continue
        groups[request.service_class, data_centre].append(request)
    return groups


def _find_upstreams(journals):
    model_digests = {each.digest for each in journals.told if not each.idempotency_key}
    found = defaultdict(set)
    for entry in journals.ran:
        if entry.digest in model_digests:
            found[journals.data_centres[entry.upstream]].add(entry.upstream)
    return found


def _had_process_fault(journals, instance, begin_s, end_s):
    spans = select_spans(journals.faults, PROCESS_FAULTS, [instance])
    return has_overlap(spans, begin_s, end_s, SETTLE_S)
