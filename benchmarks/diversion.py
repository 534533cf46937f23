"""Measures from journals how soon work left an engine that fell silent."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from standins.journal import read_journal

UPPER = (0, 1)


@dataclass(frozen=True, kw_only=True)
class Diversion:
    """How soon work left a silent engine.

    :param affected: Requests that it had, or got, while it was silent.
    :param diverted: Those that came to another engine.
    :param upper_affected: Those of tiers 0 and 1.
    :param upper_diverted: Those of them that came to another engine.
    :param upper_max_s: The longest time of the upper tiers' requests from the
        silence, or from their arrival there if that was later, to their arrival
        at another engine; ``None`` without any.
    :param max_s: The same of all tiers; lower ones may have queued again.
    :param last_sent_s: From the silence to the last request that it got before
        a whole second without any; 0 when it got none.
    """

    affected: int
    diverted: int
    upper_affected: int
    upper_diverted: int
    upper_max_s: float | None
    max_s: float | None
    last_sent_s: float


def measure_diversion(
    paths: Mapping[str, Path], silent: str, silent_at_s: float
) -> Diversion:
    """Measure how soon work left a silent engine.

    :param paths: The engines' journals by their names.
    :param silent: The engine that fell silent.
    :param silent_at_s: When, wall clock, in seconds.
    """
    own = read_journal(str(paths[silent]))
    elsewhere = _list_arrivals(paths, silent)
    delays_s = {}
    affected = find_affected(own, silent_at_s)
    for request_id, event in affected.items():
        began_s = max(event["time_s"], silent_at_s)
        later = [at_s for at_s in elsewhere.get(request_id, ()) if at_s >= began_s]
        if later:
            delays_s[request_id] = min(later) - began_s
    upper = {each for each, event in affected.items() if event["priority"] in UPPER}
    upper_delays_s = [delays_s[each] for each in upper & delays_s.keys()]
    return Diversion(
        affected=len(affected),
        diverted=len(delays_s),
        upper_affected=len(upper),
        upper_diverted=len(upper_delays_s),
        upper_max_s=max(upper_delays_s, default=None),
        max_s=max(delays_s.values(), default=None),
        last_sent_s=find_last_sent_s(own, silent_at_s),
    )


def find_affected(events: list[dict], silent_at_s: float) -> dict[str, dict]:
    """Find the requests that an engine had, or got, while it was silent.

    Those that it got after its first second without any are probes, or came
    after the silence.

    :param events: Its journal.
    :param silent_at_s: When it fell silent, wall clock, in seconds.
    :returns: The event of each one's arrival, by its id.
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
    """Find when work stopped coming to a silent engine.

    :param events: Its journal.
    :param silent_at_s: When it fell silent, wall clock, in seconds.
    :returns: Seconds after that.
    """
    last_s = silent_at_s
    for event in events:
        if event["event"] != "received" or event["time_s"] < silent_at_s:
            continue
        if event["time_s"] - last_s >= 1.0:
            break
        last_s = event["time_s"]
    return last_s - silent_at_s


def _list_arrivals(paths, silent):
    arrivals = {}
    for name, path in paths.items():
        if name == silent or not path.exists():
            continue
        for event in read_journal(str(path)):
            if event["event"] == "received":
                arrivals.setdefault(event["request_id"], []).append(event["time_s"])
    return arrivals
