"""Data model of the usage reports and of the demand for services."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceDemand:
    """What callers of one data centre ask of a service, as its instances report it.

    The rates and the busy slots are means over some seconds.

    :param arrived_per_s: Requests that arrived, those refused included.
    :param refused_per_s: Requests refused for lack of capacity.
    :param prompt_tokens_per_s: Tokens of the prompts of requests that arrived.
    :param answer_tokens_per_s: Tokens that upstreams sent.
    :param busy_slots: Requests in progress on upstreams, in the mean.
    :param age_s: Time since the oldest of the reports that were added up was made, in
        seconds; infinite without a report.
    :param instances: The number of instances of the data centre that reported.
    """

    arrived_per_s: float = 0.0
    refused_per_s: float = 0.0
    prompt_tokens_per_s: float = 0.0
    answer_tokens_per_s: float = 0.0
    busy_slots: float = 0.0
    age_s: float = float("inf")
    instances: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceTotals:
    """What one process has counted for a service since its start.

    :param arrived: Requests that arrived.
    :param refused: Requests refused for lack of capacity.
    :param prompt_tokens: Tokens of the prompts of requests that arrived.
    :param answer_tokens: Tokens that upstreams sent.
    :param slot_s: The integral of the requests in progress on upstreams, in
        slot-seconds.
    """

    arrived: int = 0
    refused: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0
    slot_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessReport:
    """The cumulative counts of one process; any subset of the windows may be sent.

    :param process: A random name of the process, which a restart changes.
    :param data_centre: The data centre of the process.
    :param true_time_s: The true time at the process when the report was made, in
        seconds.
    :param up_s: The time since the start of the process, in seconds.
    :param age_s: The time since the report was made, in seconds.
    :param windows: The requests that began, by window and team.
    :param services: The totals by service.
    """

    process: str
    data_centre: str
    true_time_s: float
    up_s: float
    age_s: float = 0.0
    windows: Mapping[int, Mapping[str, int]] = field(default_factory=dict)
    services: Mapping[str, ServiceTotals] = field(default_factory=dict)


def split_reports(reports: Sequence[ProcessReport]) -> list[list[ProcessReport]]:
    """Divide reports into two smaller lists, which together tell the same.

    :param reports: The reports.
    :returns: Two lists; none when the reports can't be divided.
    """
    middle = len(reports) // 2
    if middle:
        return [list(reports[:middle]), list(reports[middle:])]
    return [[part] for report in reports for part in _split_report(report)]


def _split_report(report):
    """Divide the windows of a report, or the teams of its only window."""
    if len(report.windows) > 1:
        return [replace(report, windows=half) for half in _halve(report.windows)]
    for window, counts in report.windows.items():
        if len(counts) > 1:
            return [replace(report, windows={window: half}) for half in _halve(counts)]
    return []


def _halve(entries):
    pairs = list(entries.items())
    middle = len(pairs) // 2
    return dict(pairs[:middle]), dict(pairs[middle:])
