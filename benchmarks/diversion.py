"""Measures how soon requests move away from an engine that stops responding.

The measurement reads the journals of the engines.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from standins.journal import read_journal

UPPER_TIERS = (0, 1)


@dataclass(frozen=True, kw_only=True)
class Diversion:
    """How soon requests moved from a silent engine to other engines.

    :param affected: Number of requests that were in progress on the engine when
        it fell silent, or that it received while it was silent.
    :param diverted: Number of affected requests that another engine received.
    :param upper_affected: Number of affected requests of tiers 0 and 1.
    :param upper_diverted: Number of diverted requests of tiers 0 and 1.
    :param upper_max_s: The longest diversion of a request of tiers 0 and 1, in
        seconds. It lasts from the start of the silence, or from the arrival at the
        silent engine if that was later, to the arrival at another engine.
        ``None`` if no request of these tiers was diverted.
    :param max_s: The longest diversion of a request of any tier, in seconds;
        requests of lower tiers may have waited in a queue again.
    :param last_sent_s: Time from the start of the silence to the last request
        that the engine received before a full second without requests, in
        seconds; 0 if it received none.
    """

    affected: int
    diverted: int
    upper_affected: int
    upper_diverted: int
    upper_max_s: float | None
    max_s: float | None
    last_sent_s: float


def measure_diversion(
    paths: Mapping[str, Path], silent_engine: str, silent_at_s: float
) -> Diversion:
    """Measure how soon requests moved from a silent engine to other engines.

    :param paths: The journal of each engine, by the name of the engine.
    :param silent_engine: The name of the engine that fell silent.
    :param silent_at_s: When it fell silent, as wall-clock time in seconds.
    """
    silent_events = read_journal(str(paths[silent_engine]))
    arrivals_elsewhere = _list_arrivals(paths, silent_engine)
    delays_s = {}
    affected = find_affected_requests(silent_events, silent_at_s)
    for request_id, event in affected.items():
        affected_from_s = max(event["time_s"], silent_at_s)
        later_arrivals = [
            at_s
            for at_s in arrivals_elsewhere.get(request_id, ())
            if at_s >= affected_from_s
        ]
        if later_arrivals:
            delays_s[request_id] = min(later_arrivals) - affected_from_s
    upper_ids = {
        each for each, event in affected.items() if event["priority"] in UPPER_TIERS
    }
    upper_delays_s = [delays_s[each] for each in upper_ids & delays_s.keys()]
    return Diversion(
        affected=len(affected),
        diverted=len(delays_s),
        upper_affected=len(upper_ids),
        upper_diverted=len(upper_delays_s),
        upper_max_s=max(upper_delays_s, default=None),
        max_s=max(delays_s.values(), default=None),
        last_sent_s=find_last_sent_s(silent_events, silent_at_s),
    )


def find_affected_requests(events: list[dict], silent_at_s: float) -> dict[str, dict]:
    """Find the requests that an engine held or received while it was silent.

    Requests that it received after the first full second without requests are
    not counted: they are probes, or they arrived after the silence ended.

    :param events: The journal of the engine.
    :param silent_at_s: When it fell silent, as wall-clock time in seconds.
    :returns: The ``received`` event of each affected request, by request id.
    """
    until_s = silent_at_s + find_last_sent_s(events, silent_at_s)
    affected = {}
    for event in events:
        if event["event"] == "received" and event["time_s"] <= until_s:
            affected[event["request_id"]] = event
        if event["event"] == "ended" and event["time_s"] < silent_at_s:
            affected.pop(event["request_id"], None)
    return affected


def find_last_sent_s(events: list[dict], silent_at_s: float) -> float:
    """Find when a silent engine received its last request before a pause of 1 s.

    :param events: The journal of the engine.
    :param silent_at_s: When it fell silent, as wall-clock time in seconds.
    :returns: The time from then to the last request, in seconds.
    """
    last_s = silent_at_s
    for event in events:
        if event["event"] != "received" or event["time_s"] < silent_at_s:
            continue
        if event["time_s"] - last_s >= 1.0:
            break
        last_s = event["time_s"]
    return last_s - silent_at_s


def _list_arrivals(paths, silent_engine):
    arrivals = {}
    for name, path in paths.items():
        if name == silent_engine or not path.exists():
            continue
        for event in read_journal(str(path)):
            if event["event"] == "received":
                arrivals.setdefault(event["request_id"], []).append(event["time_s"])
    return arrivals
