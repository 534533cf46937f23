"""Decides, stores and sends the usage of each window while this instance may."""

import asyncio
import logging
from dataclasses import dataclass

from jujubenotch.daemon.forward_leases import (
    end_tenure,
    find_call_timeout_s,
    find_token,
    write_records,
)
from jujubenotch.daemon.forward_usage import (
    UsageWatch,
    read_counts,
    take_own_counts,
)
from jujubenotch.forwarding import read_boot_clock_s
from jujubenotch.leases import ApiResult
from jujubenotch.logs import log_event
from jujubenotch.metrics import count_usage_windows
from jujubenotch.usage import (
    adopt_records,
    decide_window,
    find_due_windows,
    find_end_s,
    find_era,
    find_true_offset_s,
    find_unsent,
    make_write,
    record_write,
    skip_late_windows,
)

logger = logging.getLogger(__name__)

STEP_INTERVAL_S = 0.2
MAX_CALL_S = 1.0
FIRST_PAUSE_S = 0.3
MAX_PAUSE_S = 2.0
# With fewer processes a single wrong clock could decide which windows are over, so a
# new holder waits for others, but not longer than they need to find it.
MIN_PROCESSES = 3
MAX_PROCESSES_WAIT_S = 1.5


@dataclass(kw_only=True)
class ReportingState:
    """The progress of the task that reports usage.

    :param records: The records that the ledger has adopted; each tenure has others,
        which the lease changes in place.
    :param noticed: The records that were seen last.
    :param noticed_s: When they were seen first, in seconds of the boot clock.
    :param pause_s: The pause after the last failed call, in seconds; 0 after none.
    :param paused_until_s: No call is made before, in seconds of the boot clock.
    """

    records: dict[str, bytes] | None = None
    noticed: dict[str, bytes] | None = None
    noticed_s: float = 0.0
    pause_s: float = 0.0
    paused_until_s: float = 0.0


async def report_usage(watch: UsageWatch) -> None:
    """Report the usage of windows while this instance holds the lease.

    Runs until it is cancelled. An error is logged and ends the tenure, as another
    instance may do better and requests must go on here.

    :param watch: The state of the watch; changed in place.
    """
    state = ReportingState()
    while True:
        await watch.lease.tenure_began.wait()
        try:
            await run_step(watch, state)
        except Exception as error:
            log_event(logger, logging.ERROR, "usage-failed", error=repr(error))
            end_tenure(watch.lease, "usage-failed")
        await asyncio.sleep(STEP_INTERVAL_S)


async def run_step(watch: UsageWatch, state: ReportingState) -> None:
    """Do what is due: decide windows, store them, send them.

    :param watch: The state of the watch; changed in place.
    :param state: The progress; changed in place.
    """
    now_s = read_boot_clock_s()
    take_own_counts(watch, now_s)
    true_time_s = now_s + find_true_offset_s(watch.gathered, now_s)
    if not _adopt_tenure(watch, state, now_s, true_time_s):
        return
    _decide_windows(watch, true_time_s)
    if now_s < state.paused_until_s:
        return
    if await _store_windows(watch, state, true_time_s):
        await _send_windows(watch, state, true_time_s)


def _adopt_tenure(watch, state, now_s, true_time_s):
    """Return whether the ledger stands on the records of the present tenure."""
    lease = watch.lease
    tenure, records = lease.state.tenure, lease.records
    if tenure is None or not lease.tenure_began.is_set():
        return False
    if records is not state.noticed:
        state.noticed = records
        state.noticed_s = now_s
    if state.records is records:
        return True
    is_alone = len(watch.gathered.processes) < MIN_PROCESSES
    if is_alone and now_s - state.noticed_s < MAX_PROCESSES_WAIT_S:
        return False
    ledger = watch.ledger
    adopt_records(ledger, records, tenure.era, true_time_s)
    state.records = records
    state.pause_s = 0.0
    state.paused_until_s = 0.0
    log_event(
        logger,
        logging.INFO,
        "usage-reporting-begun",
        token=tenure.token,
        era=tenure.era,
        first_window=ledger.first,
        is_era_known=ledger.is_first_stored,
        stored=sorted(ledger.stored),
        processes=len(watch.gathered.processes),
    )
    return True


def _decide_windows(watch, true_time_s):
    ledger = watch.ledger
    skipped = skip_late_windows(ledger, true_time_s)
    if skipped:
        count_usage_windows(watch.metrics, "missed", len(skipped))
        log_event(
            logger,
            logging.WARNING,
            "usage-windows-missed",
            first=skipped[0],
            last=skipped[-1],
            windows=len(skipped),
        )
    for window in find_due_windows(ledger, true_time_s):
        counts = read_counts(watch, window)
        is_decided = decide_window(ledger, window, counts)
        count_usage_windows(watch.metrics, "decided" if is_decided else "too-large")
        log_event(
            logger,
            logging.INFO if is_decided else logging.ERROR,
            "usage-window-decided" if is_decided else "usage-window-too-large",
            window=window,
            teams=len(counts),
            requests=sum(counts.values()),
            processes=len(watch.gathered.processes),
            late_s=_measure_delay_s(ledger, window, true_time_s),
        )


def _measure_delay_s(ledger, window, true_time_s):
    return round(true_time_s - find_end_s(window, ledger.bounds.window_s), 3)


async def _store_windows(watch, state, true_time_s):
    """Store what was decided; return whether nothing is left to store."""
    write = make_write(watch.ledger, true_time_s)
    if write is None:
        return True
    is_confirmed = await write_records(watch.lease, write.writes, write.removals)
    if watch.lease.records is not state.records:
        # The records of the next tenure tell whether the write was executed.
        return False
    if not is_confirmed:
        _pause(state)
        log_event(
            logger, logging.WARNING, "usage-not-stored", windows=list(write.windows)
        )
        return False
    record_write(watch.ledger, write)
    state.pause_s = 0.0
    return not watch.ledger.decided


async def _send_windows(watch, state, true_time_s):
    for window in find_unsent(watch.ledger, true_time_s):
        if not await _send_window(watch, state, window, true_time_s):
            return


async def _send_window(watch, state, window, true_time_s):
    """Send the stored counts of a window; return whether the API has them.

    After a call without a response the same counts are sent again with the same
    token, as the API takes an exact repeat for the same report.
    """
    lease, ledger = watch.lease, watch.ledger
    counts = ledger.stored[window]
    now_s = read_boot_clock_s()
    token = find_token(lease, now_s)
    timeout_s = min(MAX_CALL_S, find_call_timeout_s(lease, now_s))
    if token is None or timeout_s <= 0 or find_era(token) != ledger.era:
        return False
    if lease.records is not state.records:
        return False
    result = await lease.api.send_usage(window, counts, watch.name, token, timeout_s)
    log_event(
        logger,
        logging.INFO if result is ApiResult.DONE else logging.WARNING,
        "usage-window-sent" if result is ApiResult.DONE else "usage-window-not-sent",
        window=window,
        result=result,
        token=token,
        requests=sum(counts.values()),
        late_s=_measure_delay_s(ledger, window, true_time_s),
        took_s=round(read_boot_clock_s() - now_s, 4),
    )
    if result is ApiResult.DONE:
        ledger.sent.add(window)
        count_usage_windows(watch.metrics, "sent")
        state.pause_s = 0.0
        return True
    # After a conflict the tenure has ended, and the pause is without effect.
    _pause(state)
    return False


def _pause(state):
    state.pause_s = min(MAX_PAUSE_S, 2 * state.pause_s or FIRST_PAUSE_S)
    state.paused_until_s = read_boot_clock_s() + state.pause_s
