"""Takes, renews and hands over the lease on calls to the platform's API.

``run_leases`` makes the calls to the store that ``jujubenotch.leases`` decides on. The
two duties ask for the token immediately before each call to the API.
"""

import asyncio
import contextlib
import logging
import random
import secrets
from collections.abc import Awaitable, Callable, Collection, Mapping
from dataclasses import dataclass, field

from jujubenotch.forwarding import SourceError, read_boot_clock_s
from jujubenotch.leases import (
    JITTER_SHARE,
    READ_SHARE,
    REST_SHARE,
    STORE_CALL_SHARE,
    Attempt,
    CloudApi,
    EndReason,
    LeaseState,
    LeaseStore,
    LeaseTerms,
    Step,
    Tenure,
    begin_write,
    choose_step,
    end,
    end_if_expired,
    find_call_time_s,
    is_executed,
    is_own,
    list_revisions,
    may_act,
    may_release,
    record_failure,
    record_row,
    record_write,
    refuse_token,
)
from jujubenotch.logs import log_event
from jujubenotch.metrics import Metrics, count_lease_end, set_lease

logger = logging.getLogger(__name__)

NONCE_BYTES = 8
# A write that finds an earlier one of this process executed late is sent once more.
WRITE_ATTEMPTS = 2
# The listener for callers stays open for 2.6 s of a planned stop; the lease is handed
# over meanwhile. A call to the API takes some tens of milliseconds.
LAST_CALL_WAIT_S = 1.0
MAX_HAND_OVER_S = 2.5


async def _know_no_others() -> bool:
    return False


@dataclass(kw_only=True)
class LeaseWatch:
    """What an instance knows of the lease, and how it reaches store and API.

    :param state: What the decisions are based on.
    :param store: Where the lease is kept.
    :param metrics: The instance's metrics.
    :param is_candidate: Tells whether this instance may take the lease.
    :param has_others: Tells whether another instance could take it.
    :param note_revisions: Called with the revisions of the table's writes and the era
        of the store, as they are learned.
    :param api: The platform's API; calls with a token that may no longer be used are
        not sent but return ``NOT_DONE``. ``None`` without one.
    :param records: The rows of the table other than the lease, as read at take-over
        and changed by confirmed writes since.
    :param tenure_began: Set while this instance holds the lease and has read the
        records; cleared at the end of the tenure.
    :param is_refreshing: Whether a fresh token is being taken.
    :param refused_token: The last token that the API may have refused.
    :param calls: The number of calls to the API in progress.
    :param calls_ended: Set while no call to the API is in progress.
    :param lock: Held during each call to the store.
    :param wake: Set when the next step may have changed.
    """

    state: LeaseState
    store: LeaseStore
    metrics: Metrics
    is_candidate: Callable[[], bool] = lambda: True
    has_others: Callable[[], Awaitable[bool]] = _know_no_others
    note_revisions: Callable[[tuple[int, ...], int], None] = lambda numbers, era: None
    api: CloudApi | None = None
    records: dict[str, bytes] = field(default_factory=dict)
    tenure_began: asyncio.Event = field(default_factory=asyncio.Event)
    is_refreshing: bool = False
    refused_token: int | None = None
    calls: int = 0
    calls_ended: asyncio.Event = field(default_factory=asyncio.Event)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def name(self) -> str:
        """The name of this instance, which its calls state as the holder."""
        return self.state.name

    @property
    def holder_address(self) -> str:
        """The endpoint of the present holder; empty when it is unknown."""
        seen = self.state.seen
        if seen is None or seen.row.lease is None or seen.row.lease.is_released:
            return ""
        return seen.row.lease.address


def make_lease_watch(
    name: str, address: str, terms: LeaseTerms, store: LeaseStore, metrics: Metrics
) -> LeaseWatch:
    """Make the watch of a process that has just started.

    :param name: The name of the instance.
    :param address: The address of its endpoint; empty without one.
    :param terms: The terms of the lease.
    :param store: Where the lease is kept.
    :param metrics: The instance's metrics.
    """
    now_s = read_boot_clock_s()
    jitter = random.random()
    state = LeaseState(
        name=name,
        nonce=secrets.token_hex(NONCE_BYTES),
        address=address,
        terms=terms,
        last_act_s=now_s,
        jitter=jitter,
        # Instances that start together don't all write the first row.
        barred_until_s=now_s + JITTER_SHARE * jitter * terms.lease_s,
    )
    return LeaseWatch(state=state, store=store, metrics=metrics)


def find_token(watch: LeaseWatch, now_s: float) -> int | None:
    """Return the fencing token if this instance may call the API now.

    :param watch: The state of the lease.
    :param now_s: The present time by the clock that counts suspended time
        (``read_boot_clock_s``), in seconds.
    :returns: The token; ``None`` when no call may be made.
    """
    if not may_act(watch.state, now_s) or not watch.tenure_began.is_set():
        return None
    token = watch.state.tenure.token
    return None if watch.is_refreshing or token == watch.refused_token else token


def find_call_timeout_s(watch: LeaseWatch, now_s: float) -> float:
    """Return the longest time that a call to the API that begins now may take.

    :param watch: The state of the lease.
    :param now_s: The present time by the clock that counts suspended time.
    :returns: The time in seconds; 0 when no call may be made.
    """
    return find_call_time_s(watch.state, now_s)


async def refresh_token(watch: LeaseWatch) -> int | None:
    """Take a fresh token under the same holder, which makes late calls stale.

    Where the API enforces no fencing, the lease is confirmed and the token stays, as
    a late call with the old token would then be a lower token than the API has seen.

    :param watch: The state of the lease; the tenure ends on failure.
    :returns: The token; ``None`` when the lease isn't confirmed.
    """
    is_fenced = watch.state.terms.is_fenced
    async with watch.lock:
        watch.is_refreshing = is_fenced
        try:
            if await _write(watch, {}, (), takes_token=is_fenced):
                return find_own_token(watch)
        finally:
            watch.is_refreshing = False
        _end(watch, EndReason.REFRESH_FAILED)
    watch.wake.set()
    return None


def find_own_token(watch: LeaseWatch) -> int | None:
    """Return the token of the tenure, also while it can't be used."""
    return watch.state.tenure.token if watch.state.tenure else None


def end_tenure(watch: LeaseWatch, reason: str) -> None:
    """Stop acting under the lease, for instance after the API refused the token.

    :param watch: The state of the lease.
    :param reason: Why, for the log.
    """
    now_s = read_boot_clock_s()
    state = watch.state
    if state.tenure is None:
        return
    _end(watch, reason)
    refuse_token(state, REST_SHARE * state.terms.lease_s, now_s)
    watch.wake.set()


async def write_records(
    watch: LeaseWatch, writes: Mapping[str, bytes], removals: Collection[str] = ()
) -> bool:
    """Write rows of the table in one transaction that renews the lease.

    :param watch: The state of the lease.
    :param writes: The values by key, at most 99 together with the removals.
    :param removals: The keys of rows to remove.
    :returns: Whether the write was confirmed in the era of the tenure. When it
        wasn't, the rows may still have been written, or may be written later as long
        as the lease isn't changed otherwise.
    """
    async with watch.lock:
        if not watch.tenure_began.is_set():
            return False
        if not await _write(watch, writes, removals):
            return False
        watch.records.update(writes)
        for key in removals:
            watch.records.pop(key, None)
        return True


def request_lease_read(watch: LeaseWatch) -> None:
    """Read the lease's row soon, as it may account for a revision of the store.

    The next regular read is due half a lease after this one.

    :param watch: The state of the lease.
    """
    if watch.state.tenure is None and watch.is_candidate():
        watch.state.is_read_wanted = True
        watch.wake.set()


def is_lease_read_due(watch: LeaseWatch) -> bool:
    """Return whether this instance is about to read the lease's row.

    :param watch: The state of the lease.
    """
    state = watch.state
    if state.tenure is not None or not watch.is_candidate():
        return False
    return state.seen is None or state.is_read_wanted


def list_known_revisions(watch: LeaseWatch) -> tuple[int, ...]:
    """Return the revisions of the latest writes of the table, the newest last.

    :param watch: The state of the lease.
    """
    return list_revisions(watch.state.seen.row) if watch.state.seen else ()


async def run_leases(watch: LeaseWatch) -> None:
    """Take the lease when it is free and renew it, until the task is cancelled.

    An unexpected error ends the tenure, but not the instance, which serves callers.

    :param watch: The state of the lease; changed in place.
    """
    while True:
        try:
            await _follow_lease(watch)
        except Exception as error:
            log_event(logger, logging.ERROR, "lease-task-failed", error=repr(error))
            _end(watch, EndReason.ERROR)
            await asyncio.sleep(READ_SHARE * watch.state.terms.lease_s)


async def _follow_lease(watch):
    """Wait for the next step, or take it."""
    state = watch.state
    # Cleared before the step is chosen, so that no change meanwhile is missed.
    watch.wake.clear()
    now_s = read_boot_clock_s()
    before = state.tenure
    _note(watch, before, end_if_expired(state, now_s))
    set_lease(watch.metrics, find_own_token(watch), _measure_age_s(state, now_s))
    step, wait_s = choose_step(state, now_s, is_candidate=watch.is_candidate())
    if step is Step.WAIT and not _must_load(watch, now_s):
        # An instance becomes a candidate without notice.
        await _wait(watch, min(wait_s, READ_SHARE * state.terms.lease_s))
        return
    async with watch.lock:
        await _run_next_step(watch)


def _measure_age_s(state, now_s):
    return now_s - state.tenure.sent_s if state.tenure else 0.0


def _must_load(watch, now_s):
    state = watch.state
    if state.tenure is None or state.is_stopping or state.retry_s > now_s:
        return False
    return not watch.tenure_began.is_set()


async def _wait(watch, wait_s):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(wait_s):
            await watch.wake.wait()


async def _run_next_step(watch):
    """Run the step that is due now, as the state may differ from when it was chosen."""
    state = watch.state
    now_s = read_boot_clock_s()
    step, _ = choose_step(state, now_s, is_candidate=watch.is_candidate())
    if step is Step.READ:
        await _read(watch)
    elif step is Step.TAKE:
        await _send(watch, begin_write(state, now_s, takes_token=True))
    elif step is Step.RENEW:
        # A token that the API may have refused isn't used again.
        is_refused = state.tenure.token == watch.refused_token
        await _send(watch, begin_write(state, now_s, takes_token=is_refused))
    elif step is Step.RELEASE:
        await _give_up(watch)
    if _must_load(watch, read_boot_clock_s()):
        await _load_records(watch)


async def _call(watch, call):
    """Make a call to the store; return ``None`` without a valid response."""
    try:
        async with asyncio.timeout(STORE_CALL_SHARE * watch.state.terms.lease_s):
            return await call
    except (SourceError, TimeoutError) as error:
        state = watch.state
        record_failure(state, read_boot_clock_s())
        if state.failures == 1:
            log_event(
                logger,
                logging.WARNING,
                "lease-store-lost",
                is_holder=state.tenure is not None,
                error=str(error) or type(error).__name__,
            )
        return None


async def _read(watch):
    sent_s = read_boot_clock_s()
    before = watch.state.tenure
    row = await _call(watch, watch.store.read_lease())
    if row is None:
        return
    reason = record_row(watch.state, row, sent_s, read_boot_clock_s())
    _note_row(watch, before, reason)


async def _send(
    watch: LeaseWatch,
    attempt: Attempt,
    writes: Mapping[str, bytes] | None = None,
    removals: Collection[str] = (),
) -> bool:
    """Send a write; return whether its response confirms it."""
    before = watch.state.tenure
    result = await _call(
        watch,
        watch.store.write(
            attempt.lease, attempt.expected_revision, writes or {}, removals
        ),
    )
    if result is None:
        return False
    is_confirmed, reason = record_write(
        watch.state, attempt, result, read_boot_clock_s()
    )
    _note_row(watch, before, reason)
    return is_confirmed


async def _write(watch, writes, removals, *, takes_token=False):
    """Write under the lease; return whether the write was executed in the tenure."""
    state = watch.state
    for _ in range(WRITE_ATTEMPTS):
        now_s = read_boot_clock_s()
        if not may_act(state, now_s):
            return False
        if state.is_read_wanted:
            await _read(watch)
            if state.is_read_wanted or not may_act(state, read_boot_clock_s()):
                return False
        attempt = begin_write(state, read_boot_clock_s(), takes_token=takes_token)
        if await _send(watch, attempt, writes, removals):
            return True
        if state.is_read_wanted:
            await _read(watch)
            return (
                state.tenure is not None
                and not state.is_read_wanted
                and is_executed(state, attempt)
            )
    return False


async def _load_records(watch):
    tenure = watch.state.tenure
    loaded = await _call(watch, watch.store.read_records())
    if loaded is None or watch.state.tenure is None:
        return
    era, records = loaded
    if era != tenure.era:
        watch.state.is_read_wanted = True
        return
    watch.records = records
    watch.tenure_began.set()
    log_event(
        logger,
        logging.INFO,
        "lease-taken",
        token=tenure.token,
        era=era,
        records=len(records),
    )


async def _give_up(watch):
    """Let another instance try to reach the API, if there is one."""
    state = watch.state
    try:
        async with asyncio.timeout(STORE_CALL_SHARE * state.terms.lease_s):
            has_others = await watch.has_others()
    except (SourceError, TimeoutError):
        has_others = False
    if not has_others:
        state.failing_since_s = read_boot_clock_s()
        return
    await _release(watch, EndReason.API_FAILING)


async def _release(watch: LeaseWatch, reason: EndReason) -> bool:
    """End the tenure and give the lease up; return whether the store confirmed it."""
    state = watch.state
    now_s = read_boot_clock_s()
    _end(watch, reason)
    if not may_release(state, now_s) or not is_own(state, state.seen.row):
        return False
    await _send(watch, begin_write(state, now_s, is_released=True))
    lease = state.seen.row.lease
    return lease is not None and lease.is_released


async def hand_over(watch: LeaseWatch) -> None:
    """Await the last call to the API and give the lease up, at a planned stop.

    :param watch: The state of the lease; no call begins from now on.
    """
    watch.state.is_stopping = True
    watch.wake.set()
    try:
        async with asyncio.timeout(MAX_HAND_OVER_S):
            await _await_last_call(watch)
            async with watch.lock:
                await _release_if_held(watch)
    # The requests in progress are ended in any case.
    except Exception as error:
        log_event(logger, logging.ERROR, "lease-not-handed-over", error=repr(error))


async def _release_if_held(watch):
    token = find_own_token(watch)
    if token is None:
        return
    is_released = await _release(watch, EndReason.HANDED_OVER)
    log_event(
        logger,
        logging.INFO,
        "lease-handed-over",
        token=token,
        is_released=is_released,
    )


async def _await_last_call(watch):
    if watch.calls == 0:
        return
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LAST_CALL_WAIT_S):
            await watch.calls_ended.wait()
    if watch.calls:
        watch.state.unanswered_s = read_boot_clock_s()


def _note_row(watch: LeaseWatch, before: Tenure | None, reason: str | None) -> None:
    """Tell what a response of the store has changed."""
    state = watch.state
    _note(watch, before, reason)
    if state.seen is not None:
        watch.note_revisions(list_revisions(state.seen.row), state.seen.row.era)
    if before and state.tenure and before.token != state.tenure.token:
        log_event(
            logger,
            logging.INFO,
            "lease-token-refreshed",
            before=before.token,
            token=state.tenure.token,
        )


def _end(watch, reason):
    before = watch.state.tenure
    _note(watch, before, end(watch.state, reason, read_boot_clock_s()))


def _note(watch, before, reason):
    """Log and count the end of a tenure; ``reason`` is ``None`` when it goes on."""
    if reason is None:
        return
    watch.tenure_began.clear()
    watch.records = {}
    seen = watch.state.seen
    lease = seen.row.lease if seen else None
    log_event(
        logger,
        logging.INFO if reason == EndReason.HANDED_OVER else logging.WARNING,
        "lease-ended",
        reason=str(reason),
        token=before.token if before else None,
        holder=lease.holder if lease else "",
        row_token=lease.token if lease else 0,
        era=seen.row.era if seen else 0,
    )
    count_lease_end(watch.metrics, str(reason))
