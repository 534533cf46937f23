"""Counts the requests of each team by window, and the demand for each service.

Each process counts for itself. Readers and the holder of the lease merge the
processes' reports; the holder decides the counts of each window once, stores them and
sends them.

Errors: ``UsageRowError``. Features: ``features/usage``.
"""

from jujubenotch.usage.counting import (
    UsageCounter,
    count_arrival,
    count_attempt_end,
    count_attempt_start,
    count_begin,
    count_capacity_refusal,
    make_report,
)
from jujubenotch.usage.demand import find_demand
from jujubenotch.usage.gathering import (
    Gathered,
    add_up_window,
    drop_old_windows,
    find_true_offset_s,
    make_forwarded_reports,
    merge_report,
)
from jujubenotch.usage.ledger import (
    LedgerWrite,
    UsageBounds,
    UsageLedger,
    adopt_records,
    decide_window,
    find_due_windows,
    find_era,
    find_unsent,
    make_write,
    record_write,
    skip_late_windows,
)
from jujubenotch.usage.model import (
    ProcessReport,
    ServiceDemand,
    ServiceTotals,
    split_reports,
)
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
from jujubenotch.usage.true_time import TrueTime, read_true_time_s, record_wall_clock
from jujubenotch.usage.windows import WINDOW_LIFETIME_S, find_end_s, find_window

__all__ = [
    "FIRST_KEY",
    "WINDOW_LIFETIME_S",
    "FirstWindow",
    "Gathered",
    "LedgerWrite",
    "ProcessReport",
    "ServiceDemand",
    "ServiceTotals",
    "TrueTime",
    "UsageBounds",
    "UsageCounter",
    "UsageLedger",
    "UsageRowError",
    "add_up_window",
    "adopt_records",
    "count_arrival",
    "count_attempt_end",
    "count_attempt_start",
    "count_begin",
    "count_capacity_refusal",
    "decide_window",
    "decode_first",
    "decode_window",
    "drop_old_windows",
    "encode_first",
    "encode_window",
    "find_demand",
    "find_due_windows",
    "find_end_s",
    "find_era",
    "find_true_offset_s",
    "find_unsent",
    "find_window",
    "make_forwarded_reports",
    "make_report",
    "make_write",
    "merge_report",
    "name_window_row",
    "read_true_time_s",
    "read_window_key",
    "record_wall_clock",
    "record_write",
    "skip_late_windows",
    "split_reports",
]
