"""Exchanges what is learned about upstreams with the other instances.

An instance sends its own sums and its newest load reports to the reader; the reader
sends the totals and the newest reports of all. Reports are as old as the message says,
so an instance that receives few responses still knows the present loads.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from jujubenotch.forwarding.learned import LearnedServices
from jujubenotch.forwarding.states import UpstreamStates
from jujubenotch.pace import (
    ServicePace,
    SharedPace,
    SharedPaces,
    apply_total,
    find_totals,
    mark_sent,
    read_limit,
    read_own_sums,
    read_slowness,
    read_sums,
    record_sender,
    take_reported_pace,
    write_sums,
)

# Load reports that are older are not shared.
MAX_REPORT_AGE_S = 3.0
MAX_REPORTS = 5_000
# Without totals for this time each instance divides the upstreams by itself again.
SHARED_COUNT_VALID_S = 5.0
# Limits on what a message may claim of one upstream.
MAX_LOAD = 1_000_000
MIN_PACE = 0.01
MAX_PACE = 1_000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownReport:
    """The newest load report of an upstream.

    :param reported_s: When the report was made, monotonic, in seconds.
    """

    load: int
    pace: float
    reported_s: float


@dataclass(kw_only=True)
class PaceExchange:
    """What an instance exchanges with the others.

    :param states: The states of the upstreams.
    :param learned: What is learned.
    :param shared: The sums of other instances, while this one is the reader.
    :param reports: The newest reports that other instances sent, by service and
        upstream.
    :param shared_counts: How many upstreams of a service the reader gives to short
        prompts, and when that was received, monotonic, in seconds.
    :param read_own_counts: Returns the same numbers as this instance finds them.
    :param record_load: Called with the name and the load of each upstream of which a
        newer report was taken up, and with the present monotonic time in seconds.
    """

    states: UpstreamStates
    learned: LearnedServices
    shared_counts: dict[str, tuple[int, float]] = field(default_factory=dict)
    read_own_counts: Callable[[], dict[str, int]] = dict
    record_load: Callable[[str, int, float], None] = lambda name, load, now_s: None
    shared: SharedPaces = field(default_factory=SharedPaces)
    reports: dict[tuple[str, str], KnownReport] = field(default_factory=dict)


def list_own(exchange: PaceExchange, now_s: float) -> list[SharedPace]:
    """Return what this instance has to tell the reader.

    :param exchange: The exchange; the observations count as sent.
    :param now_s: The present monotonic time, in seconds.
    """
    entries = []
    services = exchange.learned.services
    for service_name, service in services.items():
        for name in service.upstreams:
            sums = read_own_sums(service, name, now_s)
            report = _read_own_report(exchange.states, name, now_s)
            if sums or report:
                entries.append(_make_entry(service_name, name, sums, report, now_s))
    mark_sent(services, now_s)
    return entries


def list_totals(exchange: PaceExchange, now_s: float) -> list[SharedPace]:
    """Return what this instance, as the reader, has to tell all others.

    :param exchange: The exchange; the totals are taken up here as well.
    :param now_s: The present monotonic time, in seconds.
    """
    services = exchange.learned.services
    totals = find_totals(exchange.shared, services, now_s)
    reports = _find_newest_reports(exchange, now_s)
    for (service_name, name), total in totals.items():
        if exchange.states.find(name) is not None:
            service = services.setdefault(service_name, ServicePace())
            apply_total(service, name, total, is_own_settled=True)
    for key, report in reports.items():
        _take_report(exchange, *key, report, now_s)
    entries = []
    for key in dict.fromkeys((*totals, *reports)):
        sums = write_sums(totals[key], now_s) if key in totals else ()
        if sums or key in reports:
            entries.append(_make_entry(*key, sums, reports.get(key), now_s))
    return entries


def list_short_counts(exchange: PaceExchange) -> dict[str, int]:
    """Return, for the reader, how many upstreams of a service short prompts get.

    :param exchange: The exchange.
    """
    counts = exchange.read_own_counts()
    return {
        service: counts[service]
        for service in exchange.learned.services
        if service in counts
    }


def take_short_counts(
    exchange: PaceExchange, counts: Mapping[str, int], now_s: float
) -> None:
    """Take up the reader's division of upstreams.

    Where instances divide them differently, the same prompt is cached at several.

    :param exchange: The exchange; changed in place.
    :param counts: The numbers of upstreams for short prompts, by service.
    :param now_s: The present monotonic time, in seconds.
    """
    for service, count in counts.items():
        if service in exchange.learned.services and count > 0:
            exchange.shared_counts[service] = (count, now_s)


def find_shared_count(exchange: PaceExchange, service: str, now_s: float) -> int | None:
    """Return how many upstreams short prompts get by the reader's division.

    :param exchange: The exchange.
    :param service: The service's name.
    :param now_s: The present monotonic time, in seconds.
    :returns: The number; ``None`` when this instance has to find it.
    """
    count, taken_s = exchange.shared_counts.get(service, (0, float("-inf")))
    return count if now_s - taken_s < SHARED_COUNT_VALID_S else None


def take_own(
    exchange: PaceExchange, sender: str, entries: Iterable[SharedPace], now_s: float
) -> None:
    """Take up, as the reader, what another instance observed.

    :param exchange: The exchange; changed in place.
    :param sender: The address of the sender's endpoint.
    :param entries: What it observed.
    :param now_s: The present monotonic time, in seconds.
    """
    entries = list(entries)
    record_sender(exchange.shared, sender, entries, now_s)
    for entry in entries:
        key = entry.service, entry.upstream
        report = _read_report(entry, now_s)
        known = exchange.reports.get(key)
        if report is None or (known and known.reported_s >= report.reported_s):
            continue
        if known or len(exchange.reports) < MAX_REPORTS:
            exchange.reports[key] = report


def take_totals(
    exchange: PaceExchange, entries: Iterable[SharedPace], now_s: float
) -> int:
    """Take up the totals that the reader sent.

    :param exchange: The exchange; changed in place.
    :param entries: The totals; those of unknown upstreams are ignored.
    :param now_s: The present monotonic time, in seconds.
    :returns: The number of upstreams that were taken up.
    """
    taken = 0
    for entry in entries:
        if exchange.states.find(entry.upstream) is None:
            continue
        taken += 1
        services = exchange.learned.services
        service = services.setdefault(entry.service, ServicePace())
        total = read_sums(entry.sums, now_s)
        if total is not None:
            apply_total(service, entry.upstream, total)
        report = _read_report(entry, now_s)
        if report is not None:
            _take_report(exchange, entry.service, entry.upstream, report, now_s)
    return taken


def describe_learned(
    exchange: PaceExchange, now_s: float
) -> dict[str, tuple[float, float]]:
    """Return the slowness and the limit of each upstream, by name, for the metrics.

    :param exchange: The exchange.
    :param now_s: The present monotonic time, in seconds.
    """
    figures = {}
    for service in exchange.learned.services.values():
        for name in service.upstreams:
            state = exchange.states.find(name)
            if state is not None:
                figures[name] = (
                    read_slowness(service, name, now_s),
                    read_limit(service, name, state.slots, now_s),
                )
    return figures


def _make_entry(service, name, sums, report, now_s):
    return SharedPace(
        service=service,
        upstream=name,
        sums=sums,
        load=report.load if report else None,
        pace=report.pace if report else None,
        age_s=round(max(0.0, now_s - report.reported_s), 3) if report else 0.0,
    )


def _read_own_report(states, name, now_s):
    state = states.find(name)
    if state is None or state.reported_s is None or state.reported_pace is None:
        return None
    if now_s - state.reported_s > MAX_REPORT_AGE_S:
        return None
    return KnownReport(
        load=state.reported, pace=state.reported_pace, reported_s=state.reported_s
    )


def _read_report(entry, now_s):
    """Return the report in an entry; ``None`` without one that is possible."""
    if entry.load is None or entry.pace is None:
        return None
    # NaN fails each comparison, so it is rejected as well.
    is_possible = (
        0 <= entry.load <= MAX_LOAD
        and MIN_PACE <= entry.pace <= MAX_PACE
        and 0 <= entry.age_s <= MAX_REPORT_AGE_S
    )
    if not is_possible:
        return None
    return KnownReport(load=entry.load, pace=entry.pace, reported_s=now_s - entry.age_s)


def _find_newest_reports(exchange, now_s):
    for key, report in list(exchange.reports.items()):
        if now_s - report.reported_s > MAX_REPORT_AGE_S:
            del exchange.reports[key]
    newest = dict(exchange.reports)
    for service_name, service in exchange.learned.services.items():
        for name in service.upstreams:
            own = _read_own_report(exchange.states, name, now_s)
            known = newest.get((service_name, name))
            if own and not (known and known.reported_s > own.reported_s):
                newest[service_name, name] = own
    return newest


def _take_report(exchange, service_name, name, report, now_s):
    state = exchange.states.find(name)
    if state is None:
        return
    service = exchange.learned.services.setdefault(service_name, ServicePace())
    take_reported_pace(service, name, report.pace, report.reported_s, now_s)
    if state.reported_s is not None and state.reported_s >= report.reported_s:
        return
    state.reported = report.load
    state.running_at_report = min(state.running, report.load)
    state.reported_waiting = 0
    state.reported_pace = report.pace
    state.reported_s = report.reported_s
    exchange.record_load(name, report.load, now_s)
