"""Decides which windows are decided, stored, sent and given up.

The counts of a window are decided once. They are sent only after the store has
confirmed them, and every later call sends the stored counts. No window is decided
twice, whoever holds the lease and whatever is restored: a window below ``first`` is
never decided again, and ``first`` is stored together with each decision.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from jujubenotch.usage.rows import (
    FIRST_KEY,
    FirstWindow,
    UsageRowError,
    decode_first,
    decode_window,
    encode_first,
    encode_window,
    name_window_row,
    read_window_key,
)
from jujubenotch.usage.windows import find_end_s, find_window

# The bits of a token below those of the era.
ERA_SHIFT = 32
# Instances report each second. The counts of a window's last moment pass through the
# reader, and either of the two datagrams may have to be repeated.
DECISION_DELAY_S = 3.5
# A new holder decides after the readers have read its address and have sent all
# counts again.
GATHERING_S = 2.5
# Time for the calls to the store and to the API, which may have to be repeated.
CALLS_TIME_S = 1.5
# Below this there is no time left for both calls.
MIN_CALLS_TIME_S = 0.2
ROW_LIFETIME_S = 30.0
# A transaction may have 100 entries.
MAX_REMOVALS = 40
MAX_WRITTEN = 8


@dataclass(frozen=True, kw_only=True)
class UsageBounds:
    """When a window's report is due.

    :param window_s: The length of a window, in seconds.
    :param late_s: The time after a window's end within which the report must have
        arrived, in seconds.
    """

    window_s: float = 5.0
    late_s: float = 10.0


@dataclass(kw_only=True)
class UsageLedger:
    """What one holder of the lease knows to be decided.

    :param era: The era of the store in which the tenure began; ``None`` before the
        first tenure.
    :param tenure_began_s: The true time at which the tenure began, in seconds.
    :param first: The first window that may still be decided; it never falls in an era
        once the store has confirmed it.
    :param decided: Windows that were decided in this tenure, while the store has not
        confirmed them.
    :param stored: Windows that the store has confirmed.
    :param sent: Windows that the API has acknowledged.
    :param row_windows: The windows that have a row.
    :param is_first_stored: Whether the store has confirmed ``first`` of this era.

    >>> UsageLedger(bounds=UsageBounds()).first
    0
    """

    bounds: UsageBounds
    era: int | None = None
    tenure_began_s: float = 0.0
    first: int = 0
    decided: dict[int, bytes] = field(default_factory=dict)
    stored: dict[int, dict[str, int]] = field(default_factory=dict)
    sent: set[int] = field(default_factory=set)
    row_windows: set[int] = field(default_factory=set)
    is_first_stored: bool = False


@dataclass(frozen=True, kw_only=True)
class LedgerWrite:
    """One transaction.

    :param windows: The windows that it stores.
    """

    windows: tuple[int, ...]
    writes: dict[str, bytes]
    removals: tuple[str, ...]


def find_era(token: int) -> int:
    """Return the era of the store in which a token was taken.

    :param token: The token.
    """
    return token >> ERA_SHIFT


def adopt_records(
    ledger: UsageLedger, records: Mapping[str, bytes], era: int, true_time_s: float
) -> None:
    """Begin a tenure with the rows that were read at take-over.

    A window that was decided in an era of which the store lost the end may have been
    sent. Such windows ended before this tenure began, so none of these is decided.
    Rows of an earlier era are not sent either: a late transaction of that era may
    have written them over those of this one, as revisions are used again.

    :param ledger: The ledger; changed in place.
    :param records: The rows.
    :param era: The era of the store in which the tenure began.
    :param true_time_s: The present true time, in seconds.
    """
    ledger.decided.clear()
    ledger.stored.clear()
    ledger.row_windows.clear()
    for key, content in records.items():
        window = read_window_key(key)
        if window is not None:
            _adopt_window(ledger, window, content, era)
    ledger.sent &= set(ledger.stored)
    first = _read_first(records)
    ledger.is_first_stored = first is not None and first.era == era
    ledger.era = era
    ledger.tenure_began_s = true_time_s
    if ledger.is_first_stored:
        # What this process has decided since, without a confirmation, was not sent,
        # and can't be written any more, as the lease has changed.
        ledger.first = first.window
    else:
        running = find_window(true_time_s, ledger.bounds.window_s)
        ledger.first = max(ledger.first, running)
    # A row proves that its window was decided.
    ledger.first = max([ledger.first, *(each + 1 for each in ledger.row_windows)])


def _adopt_window(ledger, window, content, era):
    ledger.row_windows.add(window)
    try:
        row_era, counts = decode_window(content)
    except UsageRowError:
        return
    if row_era == era:
        ledger.stored[window] = counts


def _read_first(records):
    try:
        return decode_first(records.get(FIRST_KEY, b""))
    except UsageRowError:
        return None


def skip_late_windows(ledger: UsageLedger, true_time_s: float) -> range:
    """Give up windows whose report can't arrive in time any more.

    :param ledger: The ledger; changed in place.
    :param true_time_s: The present true time, in seconds.
    :returns: The windows that are never decided.
    """
    bounds = ledger.bounds
    oldest_end_s = true_time_s - bounds.late_s + MIN_CALLS_TIME_S
    # The first window whose end is not before that time.
    oldest = find_window(oldest_end_s, bounds.window_s)
    skipped = range(ledger.first, max(ledger.first, oldest))
    ledger.first = skipped.stop
    return skipped


def find_due_windows(ledger: UsageLedger, true_time_s: float) -> range:
    """Return the windows that are to be decided now.

    :param ledger: The ledger.
    :param true_time_s: The present true time, in seconds.
    """
    window = ledger.first
    while _is_due(ledger, window, true_time_s):
        window += 1
    return range(ledger.first, window)


def _is_due(ledger, window, true_time_s):
    bounds = ledger.bounds
    end_s = find_end_s(window, bounds.window_s)
    latest_s = end_s + max(0.0, bounds.late_s - CALLS_TIME_S)
    gathered_s = max(end_s + DECISION_DELAY_S, ledger.tenure_began_s + GATHERING_S)
    return true_time_s >= min(gathered_s, latest_s)


def decide_window(ledger: UsageLedger, window: int, counts: Mapping[str, int]) -> bool:
    """Decide the counts of a window.

    :param ledger: The ledger; changed in place.
    :param window: The window; all before it are decided or given up.
    :param counts: The requests that began, by team.
    :returns: False when the counts are too large for a row; the window is given up.
    :raises ValueError: The window was decided before.
    """
    if window < ledger.first:
        raise ValueError(f"window {window} is below {ledger.first}, the first one")
    ledger.first = window + 1
    content = encode_window(ledger.era, window, counts)
    if content is None:
        return False
    ledger.decided[window] = content
    return True


def make_write(ledger: UsageLedger, true_time_s: float) -> LedgerWrite | None:
    """Make the transaction that stores what was decided.

    The same bytes are written again until the store confirms them, as an earlier
    transaction may have been executed without a response.

    :param ledger: The ledger.
    :param true_time_s: The present true time, in seconds.
    :returns: The transaction; ``None`` when there is nothing to store.
    """
    if not ledger.decided and ledger.is_first_stored:
        return None
    windows = tuple(sorted(ledger.decided)[:MAX_WRITTEN])
    bounds = ledger.bounds
    newest_over = find_window(true_time_s - ROW_LIFETIME_S, bounds.window_s)
    over = sorted(
        window
        for window in ledger.row_windows
        if window < min(newest_over, ledger.first)
    )
    first = FirstWindow(era=ledger.era, window=ledger.first)
    writes = {name_window_row(each): ledger.decided[each] for each in windows}
    return LedgerWrite(
        windows=windows,
        writes={**writes, FIRST_KEY: encode_first(first)},
        removals=tuple(name_window_row(window) for window in over[:MAX_REMOVALS]),
    )


def record_write(ledger: UsageLedger, write: LedgerWrite) -> None:
    """Record that the store has confirmed a transaction in this tenure.

    :param ledger: The ledger; changed in place.
    :param write: The transaction.
    """
    ledger.is_first_stored = True
    for window in write.windows:
        _, ledger.stored[window] = decode_window(ledger.decided.pop(window))
        ledger.row_windows.add(window)
    for key in write.removals:
        window = read_window_key(key)
        ledger.row_windows.discard(window)
        ledger.stored.pop(window, None)
        ledger.sent.discard(window)


def find_unsent(ledger: UsageLedger, true_time_s: float) -> list[int]:
    """Return the windows that are stored and still worth a call, the oldest first.

    :param ledger: The ledger.
    :param true_time_s: The present true time, in seconds.
    """
    bounds = ledger.bounds
    return sorted(
        window
        for window in ledger.stored
        if window not in ledger.sent
        and find_end_s(window, bounds.window_s) + bounds.late_s > true_time_s
    )
