"""Merges the reports of processes; lost, late and repeated ones do no harm."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from statistics import median_low

from jujubenotch.usage.model import ProcessReport, ServiceTotals
from jujubenotch.usage.windows import WINDOW_LIFETIME_S, find_window, select_windows

# Bounds the memory that the reports of restarted processes take.
MAX_PROCESSES = 4096
# Windows that begin later than this are a fault of the sender's clock.
MAX_LEAD_S = 10.0
# A process that has sent nothing for this time is taken for ended.
LIVE_AGE_S = 5.0
# Reports of a process from which rates are computed. One comes each second, so they
# span 5 s.
MAX_SAMPLES = 6


@dataclass(frozen=True, kw_only=True, slots=True)
class TotalsSample:
    """The totals of a process at one moment.

    :param up_s: The time since the start of the process, in seconds.
    """

    up_s: float
    services: Mapping[str, ServiceTotals]


@dataclass(kw_only=True)
class GatheredProcess:
    """What one process has reported.

    :param made_s: When the newest report was made, in seconds of the boot clock of
        this machine.
    :param true_offset_s: What the process takes for the offset of true time to the
        boot clock of this machine, in seconds.
    """

    data_centre: str
    made_s: float
    true_offset_s: float
    windows: dict[int, dict[str, int]] = field(default_factory=dict)
    samples: deque[TotalsSample] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )


@dataclass(kw_only=True)
class Gathered:
    """The reports of all processes that this instance received.

    :param window_s: The length of a window, in seconds.

    >>> Gathered(window_s=5.0).processes
    {}
    """

    window_s: float
    processes: dict[str, GatheredProcess] = field(default_factory=dict)


def merge_report(gathered: Gathered, report: ProcessReport, now_s: float) -> None:
    """Take up a report.

    :param gathered: The reports; changed in place.
    :param report: The report.
    :param now_s: The present time of the boot clock, in seconds.
    """
    made_s = now_s - report.age_s
    if report.age_s > WINDOW_LIFETIME_S:
        return
    known = gathered.processes.get(report.process)
    if known is None:
        if len(gathered.processes) >= MAX_PROCESSES:
            return
        known = GatheredProcess(
            data_centre=report.data_centre,
            made_s=made_s,
            true_offset_s=report.true_time_s - made_s,
        )
        gathered.processes[report.process] = known
    newest_up_s = known.samples[-1].up_s if known.samples else float("-inf")
    if report.up_s > newest_up_s:
        known.made_s = made_s
        known.true_offset_s = report.true_time_s - made_s
        known.samples.append(TotalsSample(up_s=report.up_s, services=report.services))
    _merge_windows(gathered, known, report, now_s)


def _merge_windows(gathered, known, report, now_s):
    offset_s = find_true_offset_s(gathered, now_s)
    last = find_window(now_s + offset_s + MAX_LEAD_S, gathered.window_s)
    for window, counts in report.windows.items():
        if window > last:
            continue
        merged = known.windows.setdefault(window, {})
        for team, count in counts.items():
            if count > merged.get(team, 0):
                merged[team] = count


def find_true_offset_s(gathered: Gathered, now_s: float) -> float:
    """Return the offset of true time to the boot clock that most processes agree on.

    A single machine with a wrong clock then neither decides windows too early nor
    too late.

    :param gathered: The reports.
    :param now_s: The present time of the boot clock, in seconds.
    :returns: The offset in seconds; 0 without a report.
    """
    known = gathered.processes.values()
    live = [each.true_offset_s for each in known if now_s - each.made_s <= LIVE_AGE_S]
    offsets = live or [each.true_offset_s for each in known]
    return median_low(offsets) if offsets else 0.0


def drop_old_windows(gathered: Gathered, now_s: float) -> None:
    """Forget windows that are over, and processes that have ended.

    :param gathered: The reports; changed in place.
    :param now_s: The present time of the boot clock, in seconds.
    """
    true_time_s = now_s + find_true_offset_s(gathered, now_s)
    for process, known in list(gathered.processes.items()):
        known.windows = select_windows(
            known.windows,
            window_s=gathered.window_s,
            true_time_s=true_time_s,
            max_age_s=WINDOW_LIFETIME_S,
        )
        if not known.windows and now_s - known.made_s > WINDOW_LIFETIME_S:
            del gathered.processes[process]


def add_up_window(gathered: Gathered, window: int) -> dict[str, int]:
    """Return the requests that began in a window, by team.

    :param gathered: The reports.
    :param window: The window's number.
    """
    totals: dict[str, int] = {}
    for known in gathered.processes.values():
        for team, count in known.windows.get(window, {}).items():
            totals[team] = totals.get(team, 0) + count
    return totals


def make_forwarded_reports(
    gathered: Gathered, data_centre: str, now_s: float, max_age_s: float
) -> list[ProcessReport]:
    """Make the reports that a reader sends on for the instances of its data centre.

    Counts of processes that have ended are sent on as well.

    :param gathered: The reports.
    :param data_centre: The data centre.
    :param now_s: The present time of the boot clock, in seconds.
    :param max_age_s: The longest time since the end of a window in the reports, in
        seconds.
    """
    true_time_s = now_s + find_true_offset_s(gathered, now_s)
    reports = []
    for process, known in gathered.processes.items():
        if known.data_centre != data_centre:
            continue
        windows = select_windows(
            known.windows,
            window_s=gathered.window_s,
            true_time_s=true_time_s,
            max_age_s=max_age_s,
        )
        age_s = now_s - known.made_s
        if not windows and age_s > LIVE_AGE_S:
            continue
        newest = known.samples[-1]
        reports.append(
            ProcessReport(
                process=process,
                data_centre=data_centre,
                true_time_s=known.made_s + known.true_offset_s,
                up_s=newest.up_s,
                age_s=age_s,
                windows=windows,
                services=newest.services,
            )
        )
    return reports
