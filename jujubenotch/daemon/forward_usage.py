"""Counts the requests of this instance, and gathers the counts of all instances.

Each instance sends its counts to the reader of its data centre, or to the holder of
the lease where it reads the store for itself; readers send on to the holder.
"""

import asyncio
import logging
import secrets
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from jujubenotch.daemon.forward_leases import LeaseWatch
from jujubenotch.dispatch import Answer, Call
from jujubenotch.forwarding import read_boot_clock_s
from jujubenotch.logs import log_event
from jujubenotch.metrics import Metrics
from jujubenotch.neighbours import Message, MessageKind
from jujubenotch.outcomes import RefusalReason
from jujubenotch.settings import ForwarderSettings
from jujubenotch.usage import (
    WINDOW_LIFETIME_S,
    Gathered,
    ProcessReport,
    ServiceDemand,
    UsageBounds,
    UsageCounter,
    UsageLedger,
    add_up_window,
    count_arrival,
    count_attempt_end,
    count_attempt_start,
    count_begin,
    count_capacity_refusal,
    drop_old_windows,
    find_demand,
    make_forwarded_reports,
    make_report,
    merge_report,
    record_wall_clock,
    split_reports,
)

logger = logging.getLogger(__name__)

SEND_INTERVAL_S = 1.0
# Three datagrams in a row may get lost before a window's last counts are missing.
RESEND_S = 3.5
# A receiver that has restarted at the same address is not noticed otherwise.
SENDS_PER_FULL_REPORT = 5
# Datagrams of a message that are lost take the others with them.
MAX_PROCESSES_PER_MESSAGE = 10
PROCESS_NAME_BYTES = 6
ERROR_LOG_INTERVAL_S = 10.0
CAPACITY_REASONS = frozenset(
    {
        RefusalReason.NO_UPSTREAM,
        RefusalReason.QUEUE_FULL,
        RefusalReason.DEADLINE_UNREACHABLE,
        RefusalReason.UPSTREAM_REFUSED,
        RefusalReason.UPSTREAM_LIMIT,
        RefusalReason.UPSTREAM_WAIT,
        RefusalReason.UPSTREAM_FULL,
    }
)


@dataclass(kw_only=True)
class UsageWatch:
    """The state of counting, gathering and reporting.

    :param name: The name of this instance.
    :param counter: The counts of this process.
    :param gathered: The counts of all processes that reported to this instance.
    :param ledger: What was decided about windows.
    :param lease: The lease on calls to the platform's API.
    :param metrics: The instance's metrics.
    :param send: Sends a message to the endpoints of other instances.
    :param find_receiver: Returns the endpoint to which reports are sent; empty when
        there is none, or when this instance is the receiver.
    :param is_forwarding: Whether this instance sends on the counts of others.
    :param last_receiver: The endpoint to which the last reports were sent.
    :param sends: The number of times that reports were sent.
    """

    name: str
    counter: UsageCounter
    gathered: Gathered
    ledger: UsageLedger
    lease: LeaseWatch
    metrics: Metrics
    send: Callable[[Message, Iterable[str]], bool] = lambda message, addresses: False
    find_receiver: Callable[[], str] = lambda: ""
    is_forwarding: Callable[[], bool] = lambda: False
    last_receiver: str = ""
    sends: int = 0
    error_logged_s: float = field(default=float("-inf"))


def make_usage_watch(
    settings: ForwarderSettings, lease: LeaseWatch, metrics: Metrics
) -> UsageWatch:
    """Make the state of an instance whose settings name a duty.

    :param settings: The settings, with those of the platform's API.
    :param lease: The lease on calls to the API.
    :param metrics: The instance's metrics.
    """
    cloud = settings.cloud
    now_s = read_boot_clock_s()
    counter = UsageCounter(
        process=secrets.token_hex(PROCESS_NAME_BYTES),
        data_centre=settings.data_centre,
        window_s=cloud.report_window_s,
        started_s=now_s,
    )
    record_wall_clock(counter.true_time, boot_s=now_s, wall_s=time.time())
    bounds = UsageBounds(window_s=cloud.report_window_s, late_s=cloud.usage_late_s)
    return UsageWatch(
        name=settings.name,
        counter=counter,
        gathered=Gathered(window_s=cloud.report_window_s),
        ledger=UsageLedger(bounds=bounds),
        lease=lease,
        metrics=metrics,
    )


class UsageMeter:
    """Counts the calls of this instance.

    A call that another instance has sent arrives, is refused and ends there, but runs
    here.

    :param counter: The counts of this process.
    :param read_clock_s: Reads the boot clock, in seconds.

    >>> UsageMeter.__name__
    'UsageMeter'
    """

    def __init__(
        self,
        *,
        counter: UsageCounter,
        read_clock_s: Callable[[], float] = read_boot_clock_s,
    ):
        self._counter = counter
        self._read_clock_s = read_clock_s

    def record_arrival(self, call: Call) -> None:
        """Count a call that has arrived.

        :param call: The call.
        """
        if not call.is_borrowed:
            count_arrival(self._counter, call.target, call.prompt_tokens)

    def record_attempt_start(self, service: str) -> None:
        """Count a call that is sent to an upstream.

        :param service: The service of the upstream.
        """
        count_attempt_start(self._counter, service, self._read_clock_s())

    def record_attempt_end(self, service: str, tokens: int) -> None:
        """Count a call that has left an upstream.

        :param service: The service of the upstream.
        :param tokens: The tokens that the upstream sent.
        """
        count_attempt_end(self._counter, service, tokens, self._read_clock_s())

    def record_begin(self, call: Call) -> None:
        """Count a call that has begun to run.

        :param call: The call.
        """
        count_begin(self._counter, call.team.name, self._read_clock_s())

    def record_end(self, call: Call, answer: Answer) -> None:
        """Count a call that was refused for lack of capacity.

        :param call: The call.
        :param answer: The response.
        """
        if answer.reason in CAPACITY_REASONS and not call.is_borrowed:
            count_capacity_refusal(self._counter, call.target)


async def gather_reports(watch: UsageWatch) -> None:
    """Send the counts each second; runs until it is cancelled.

    An error is logged and the counts are sent the next time, as requests must go on.

    :param watch: The state of the watch; changed in place.
    """
    try:
        while True:
            _send_safely(watch)
            await asyncio.sleep(SEND_INTERVAL_S)
    finally:
        _send_safely(watch)


def _send_safely(watch):
    now_s = read_boot_clock_s()
    try:
        send_reports(watch, now_s, time.time())
    except Exception as error:
        if now_s - watch.error_logged_s < ERROR_LOG_INTERVAL_S:
            return
        watch.error_logged_s = now_s
        log_event(logger, logging.ERROR, "usage-reports-not-sent", error=repr(error))


def send_reports(watch: UsageWatch, now_s: float, wall_s: float) -> None:
    """Take up this process's own counts, and send the counts to the receiver.

    :param watch: The state of the watch; changed in place.
    :param now_s: The present time of the boot clock, in seconds.
    :param wall_s: The present time of the wall clock, in seconds.
    """
    record_wall_clock(watch.counter.true_time, boot_s=now_s, wall_s=wall_s)
    take_own_counts(watch, now_s)
    drop_old_windows(watch.gathered, now_s)
    receiver = watch.find_receiver()
    is_new = receiver != watch.last_receiver
    watch.last_receiver = receiver
    if not receiver:
        return
    watch.sends += 1
    is_full = is_new or watch.sends % SENDS_PER_FULL_REPORT == 0
    max_age_s = WINDOW_LIFETIME_S if is_full else RESEND_S
    if is_new:
        log_event(logger, logging.INFO, "usage-receiver-changed", receiver=receiver)
    if watch.is_forwarding():
        data_centre = watch.counter.data_centre
        reports = make_forwarded_reports(watch.gathered, data_centre, now_s, max_age_s)
    else:
        reports = [make_report(watch.counter, now_s, max_age_s)]
    for start in range(0, len(reports), MAX_PROCESSES_PER_MESSAGE):
        _send_divided(watch, reports[start : start + MAX_PROCESSES_PER_MESSAGE])


def _send_divided(watch, reports: list[ProcessReport]):
    """Send reports in as many messages as are needed, as their size is bounded."""
    message = Message(kind=MessageKind.REPORTS, reports=tuple(reports))
    if watch.send(message, (watch.last_receiver,)):
        return
    for part in split_reports(reports):
        _send_divided(watch, part)


def take_own_counts(watch: UsageWatch, now_s: float) -> None:
    """Merge the counts of this process into those of all.

    :param watch: The state of the watch; changed in place.
    :param now_s: The present time of the boot clock, in seconds.
    """
    merge_report(watch.gathered, make_report(watch.counter, now_s), now_s)


def receive_reports(watch: UsageWatch, message: Message) -> None:
    """Take up the counts that another instance sends.

    :param watch: The state of the watch; changed in place.
    :param message: The message.
    """
    now_s = read_boot_clock_s()
    for report in message.reports:
        merge_report(watch.gathered, report, now_s)


def read_counts(watch: UsageWatch, window: int) -> dict[str, int]:
    """Return the requests that began in a window, by team, as far as is known here.

    :param watch: The state of the watch.
    :param window: The window's number.
    """
    return add_up_window(watch.gathered, window)


def read_demand(
    watch: UsageWatch, now_s: float
) -> dict[tuple[str, str], ServiceDemand]:
    """Return the demand by service and data centre.

    Only the holder of the lease receives the reports of all data centres; elsewhere
    the result is empty or partial.

    :param watch: The state of the watch.
    :param now_s: The present time of the boot clock, in seconds.
    """
    return find_demand(watch.gathered, now_s)
