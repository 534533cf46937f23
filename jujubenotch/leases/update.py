"""Changes what an instance knows of the lease by what the store and the API answer."""

import math

from jujubenotch.leases.model import (
    ApiResult,
    Attempt,
    EndReason,
    Lease,
    LeaseRow,
    LeaseState,
    SeenRow,
    Tenure,
    WriteResult,
)
from jujubenotch.leases.rules import (
    API_FAILURE_REST_SHARE,
    choose_token,
    find_act_end_s,
    is_own,
    may_act,
)

# A candidate reads the row about twice a lease. The row lists more writes than happen
# between two reads, so that the candidate can account for each revision.
MAX_REVISIONS = 64
# Bounds the unconfirmed writes that are remembered. If an older one turns out to have
# been executed, the tenure ends and the lease is taken with a fresh token.
MAX_ATTEMPTS = 64
FIRST_RETRY_SHARE = 0.05
MAX_RETRY_SHARE = 0.5
API_FAILURES = (ApiResult.NOT_DONE, ApiResult.UNKNOWN)


def list_revisions(row: LeaseRow) -> tuple[int, ...]:
    """Return the revisions of the latest writes of the table, the newest last.

    :param row: The lease's row, which each of these writes has changed.
    """
    earlier = row.lease.revisions if row.lease else ()
    return (*earlier, row.revision)[-MAX_REVISIONS:] if row.revision else ()


def begin_write(
    state: LeaseState,
    now_s: float,
    *,
    takes_token: bool = False,
    is_released: bool = False,
) -> Attempt:
    """Make the next write of the lease, conditional on the row as last seen.

    :param state: The state of the lease; changed in place.
    :param now_s: The present time by the clock that counts suspended time.
    :param takes_token: Whether the write takes a fresh token.
    :param is_released: Whether the write gives the lease up.
    """
    row = state.seen.row
    state.serial += 1
    token = choose_token(row) if takes_token else row.lease.token
    attempt = Attempt(
        lease=Lease(
            holder=state.name,
            nonce=state.nonce,
            address=state.address,
            token=token,
            era=row.era,
            serial=state.serial,
            is_released=is_released,
            revisions=list_revisions(row),
        ),
        expected_revision=row.revision,
        sent_s=now_s,
    )
    state.attempts[state.serial] = attempt
    while len(state.attempts) > MAX_ATTEMPTS:
        del state.attempts[next(iter(state.attempts))]
    return attempt


def record_row(
    state: LeaseState, row: LeaseRow, sent_s: float, now_s: float
) -> EndReason | None:
    """Record the lease's row as the store returned it.

    :param state: The state of the lease; changed in place.
    :param row: The row.
    :param sent_s: When the call was sent, by the clock that counts suspended time.
    :param now_s: The present time by the same clock.
    :returns: Why the tenure ended; ``None`` when it goes on or there was none.
    """
    seen = state.seen
    state.failures = 0
    state.retry_s = -math.inf
    if seen is not None and row.era < seen.row.era:
        return None
    state.is_read_wanted = False
    starts_era = seen is None or row.era != seen.row.era
    is_changed = starts_era or row.revision != seen.row.revision
    state.seen = SeenRow(
        row=row,
        unchanged_since_s=row.store_time_s if is_changed else seen.unchanged_since_s,
        era_since_s=row.store_time_s if starts_era else seen.era_since_s,
        read_s=sent_s,
    )
    if starts_era:
        # Writes of the earlier era may still be executed, but never confirm anything.
        state.attempts.clear()
        return end(state, EndReason.ERA_CHANGED, now_s) if seen is not None else None
    if not is_changed:
        return None
    return _adopt(state, row, now_s)


def _adopt(state, row, now_s):
    """Compare a changed row with the writes that this process has sent."""
    lease = row.lease
    attempt = state.attempts.get(lease.serial) if is_own(state, row) else None
    # Each of the other writes is conditional on a revision that no longer exists.
    state.attempts.clear()
    if attempt is None or attempt.lease.token != lease.token:
        return end(state, EndReason.LOST, now_s)
    state.tenure = Tenure(token=lease.token, era=row.era, sent_s=attempt.sent_s)
    return None


def record_write(
    state: LeaseState, attempt: Attempt, result: WriteResult, now_s: float
) -> tuple[bool, EndReason | None]:
    """Record the store's response to a write.

    :param state: The state of the lease; changed in place.
    :param attempt: The write.
    :param result: The response.
    :param now_s: The present time by the clock that counts suspended time.
    :returns: Whether the write is confirmed, and why the tenure ended, if it did.
    """
    if result.row.era != attempt.lease.era:
        # The condition may have held by chance in a copy of the store. What the row
        # contains there is learned by another read.
        state.is_read_wanted = True
        if result.row.era < attempt.lease.era:
            return False, None
        return False, end(state, EndReason.ERA_CHANGED, now_s)
    if not result.is_written and result.row.revision == attempt.expected_revision:
        # The response contradicts itself; without a pause the write would be repeated
        # in a loop.
        record_failure(state, now_s)
        return False, None
    reason = record_row(state, result.row, attempt.sent_s, now_s)
    return result.is_written and state.tenure is not None, reason


def record_failure(state: LeaseState, now_s: float) -> None:
    """Record a call to the store without a valid response.

    :param state: The state of the lease; changed in place.
    :param now_s: The present time by the clock that counts suspended time.
    """
    state.failures += 1
    share = min(MAX_RETRY_SHARE, FIRST_RETRY_SHARE * 2 ** min(state.failures - 1, 10))
    state.retry_s = now_s + share * state.terms.lease_s * (0.75 + 0.5 * state.jitter)
    state.is_read_wanted = True


def is_executed(state: LeaseState, attempt: Attempt) -> bool:
    """Return whether the row as last seen was written by an attempt.

    :param state: The state of the lease.
    :param attempt: The write.
    """
    row = state.seen.row
    return is_own(state, row) and row.lease.serial == attempt.lease.serial


def end(state: LeaseState, reason: EndReason | str, now_s: float) -> str | None:
    """End the tenure, if there is one.

    :param state: The state of the lease; changed in place.
    :param reason: Why it ends.
    :param now_s: The present time by the clock that counts suspended time.
    :returns: The reason; ``None`` without a tenure.
    """
    tenure = state.tenure
    if tenure is None:
        return None
    state.tenure = None
    # A write in progress that is confirmed later doesn't revive the tenure.
    state.attempts.clear()
    act_end_s = find_act_end_s(tenure, state.terms)
    state.last_act_s = max(state.last_act_s, min(now_s, act_end_s))
    if reason == EndReason.API_FAILING:
        rest_s = API_FAILURE_REST_SHARE * state.terms.lease_s
        state.barred_until_s = now_s + rest_s
    return reason


def end_if_expired(state: LeaseState, now_s: float) -> EndReason | None:
    """End a tenure that was not renewed in time.

    :param state: The state of the lease; changed in place.
    :param now_s: The present time by the clock that counts suspended time.
    :returns: ``EXPIRED`` when it ended; else ``None``.
    """
    if state.tenure is None or state.is_stopping or may_act(state, now_s):
        return None
    return end(state, EndReason.EXPIRED, now_s)


def refuse_token(state: LeaseState, rest_s: float, now_s: float) -> None:
    """Keep from taking the lease after the API refused the token.

    :param state: The state of the lease; changed in place.
    :param rest_s: For how long, in seconds.
    :param now_s: The present time by the clock that counts suspended time.
    """
    state.barred_until_s = max(state.barred_until_s, now_s + rest_s)


def record_api_result(state: LeaseState, result: ApiResult, now_s: float) -> None:
    """Record whether a call reached the API.

    :param state: The state of the lease; changed in place.
    :param result: The result of the call.
    :param now_s: When it ended, by the clock that counts suspended time.
    """
    if result is ApiResult.UNKNOWN:
        state.unanswered_s = now_s
    if result not in API_FAILURES:
        state.failing_since_s = None
        return
    if state.failing_since_s is None:
        state.failing_since_s = now_s
    state.failed_s = now_s
