"""Counts the requests of one process, by window and team, and by service."""

from dataclasses import dataclass, field

from jujubenotch.usage.model import ProcessReport, ServiceTotals
from jujubenotch.usage.true_time import TrueTime, read_true_time_s
from jujubenotch.usage.windows import (
    WINDOW_LIFETIME_S,
    find_window,
    select_windows,
)


@dataclass(kw_only=True, slots=True)
class _ServiceCounter:
    """The running totals of a service.

    :param running: The number of requests in progress on upstreams.
    :param changed_s: Until when ``slot_s`` is added up, in seconds of the boot clock.
    """

    arrived: int = 0
    refused: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0
    slot_s: float = 0.0
    running: int = 0
    changed_s: float = 0.0


@dataclass(kw_only=True)
class UsageCounter:
    """The counts of one process since its start.

    :param process: A random name of the process.
    :param data_centre: The data centre of the process.
    :param window_s: The length of a window, in seconds.
    :param started_s: When counting began, in seconds of the boot clock.
    """

    process: str
    data_centre: str
    window_s: float
    started_s: float
    true_time: TrueTime = field(default_factory=TrueTime)
    windows: dict[int, dict[str, int]] = field(default_factory=dict)
    services: dict[str, _ServiceCounter] = field(default_factory=dict)


def count_begin(counter: UsageCounter, team: str, now_s: float) -> None:
    """Count a request that has begun to run.

    :param counter: The counts; changed in place.
    :param team: The name of its team.
    :param now_s: The present time of the boot clock, in seconds.
    """
    window = find_window(read_true_time_s(counter.true_time, now_s), counter.window_s)
    counts = counter.windows.setdefault(window, {})
    counts[team] = counts.get(team, 0) + 1


def count_arrival(counter: UsageCounter, service: str, prompt_tokens: int) -> None:
    """Count a request that has arrived.

    :param counter: The counts; changed in place.
    :param service: The service that it asks for.
    :param prompt_tokens: The length of its prompt, in tokens.
    """
    totals = _find_service(counter, service)
    totals.arrived += 1
    totals.prompt_tokens += prompt_tokens


def count_capacity_refusal(counter: UsageCounter, service: str) -> None:
    """Count a request that was refused for lack of capacity.

    :param counter: The counts; changed in place.
    :param service: The service that it asked for.
    """
    _find_service(counter, service).refused += 1


def count_attempt_start(counter: UsageCounter, service: str, now_s: float) -> None:
    """Count a request that was sent to an upstream.

    :param counter: The counts; changed in place.
    :param service: The service of the upstream.
    :param now_s: The present time of the boot clock, in seconds.
    """
    totals = _find_service(counter, service)
    _add_slot_time(totals, now_s)
    totals.running += 1


def count_attempt_end(
    counter: UsageCounter, service: str, tokens: int, now_s: float
) -> None:
    """Count a request that no longer occupies an upstream.

    :param counter: The counts; changed in place.
    :param service: The service of the upstream.
    :param tokens: The tokens that the upstream sent.
    :param now_s: The present time of the boot clock, in seconds.
    """
    totals = _find_service(counter, service)
    _add_slot_time(totals, now_s)
    totals.running -= 1
    totals.answer_tokens += tokens


def make_report(
    counter: UsageCounter, now_s: float, max_age_s: float = WINDOW_LIFETIME_S
) -> ProcessReport:
    """Make the report of this process, and forget the windows that are over.

    :param counter: The counts; changed in place.
    :param now_s: The present time of the boot clock, in seconds.
    :param max_age_s: The longest time since the end of a window in the report, in
        seconds.
    """
    true_time_s = read_true_time_s(counter.true_time, now_s)
    counter.windows = select_windows(
        counter.windows,
        window_s=counter.window_s,
        true_time_s=true_time_s,
        max_age_s=WINDOW_LIFETIME_S,
    )
    windows = select_windows(
        counter.windows,
        window_s=counter.window_s,
        true_time_s=true_time_s,
        max_age_s=max_age_s,
    )
    for totals in counter.services.values():
        _add_slot_time(totals, now_s)
    return ProcessReport(
        process=counter.process,
        data_centre=counter.data_centre,
        true_time_s=true_time_s,
        up_s=now_s - counter.started_s,
        windows={window: dict(counts) for window, counts in windows.items()},
        services={
            service: ServiceTotals(
                arrived=totals.arrived,
                refused=totals.refused,
                prompt_tokens=totals.prompt_tokens,
                answer_tokens=totals.answer_tokens,
                slot_s=totals.slot_s,
            )
            for service, totals in counter.services.items()
        },
    )


def _find_service(counter, service):
    return counter.services.setdefault(service, _ServiceCounter())


def _add_slot_time(totals, now_s):
    totals.slot_s += totals.running * (now_s - totals.changed_s)
    totals.changed_s = now_s
