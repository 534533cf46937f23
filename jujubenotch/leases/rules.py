"""Decides when the lease may be used, renewed and taken over."""

import math

from jujubenotch.leases.model import (
    LeaseRow,
    LeaseState,
    LeaseTerms,
    Step,
    Tenure,
)

# All shares are of the lease. The holder stops acting long before a candidate may take
# over, so that a call that it has just begun ends under its own lease.
ACT_SHARE = 0.6
RENEW_SHARE = 0.4
READ_SHARE = 0.5
# The deadline of a call to the API. It leaves a tenth of the lease for the platform to
# notice that the caller has given up.
API_CALL_SHARE = 0.9
# With a lost response at 0.4 of the lease the row can still be read before a candidate
# takes over, and a store that takes 0.7 s to respond can be used with a lease of 3 s.
STORE_CALL_SHARE = 0.25
TAKEOVER_MARGIN_SHARE = 0.05
JITTER_SHARE = 0.25
# Another instance may have held the lease meanwhile; two leases between the acts of one
# holder would do as well, less than one would allow the order A, B, A within a lease.
REST_SHARE = 1.5
API_FAILURE_SHARE = 2.0
API_FAILURE_REST_SHARE = 3.0
# Tokens of an era are above all tokens of earlier eras.
ERA_BITS = 32


def choose_token(row: LeaseRow) -> int:
    """Choose a token that is higher than all that were used before.

    A write of an earlier era may still be executed after a restore, if its condition
    happens to hold, and put a lower token in the row. The revision, which grows with
    each write of the era, keeps the token above those used in the era nevertheless.

    :param row: The row that the lease is taken from.

    >>> row = LeaseRow(lease=None, revision=0, store_time_s=0.0, era=0)
    >>> choose_token(row)
    1
    """
    row_token = row.lease.token if row.lease else 0
    return max(row_token + 1, (row.era << ERA_BITS) + row.revision + 1)


def find_act_end_s(tenure: Tenure, terms: LeaseTerms) -> float:
    """Return the time from which no call may begin.

    :param tenure: The tenure.
    :param terms: The terms of the lease.
    :returns: The time by the clock that counts suspended time, in seconds.
    """
    return tenure.sent_s + ACT_SHARE * terms.lease_s


def may_act(state: LeaseState, now_s: float) -> bool:
    """Return whether this instance may call the API now.

    :param state: The state of the lease.
    :param now_s: The present time by the clock that counts suspended time.
    """
    if state.tenure is None or state.is_stopping:
        return False
    return state.tenure.sent_s <= now_s < find_act_end_s(state.tenure, state.terms)


def find_call_time_s(state: LeaseState, now_s: float) -> float:
    """Return the longest time that a call to the API that begins now may take.

    :param state: The state of the lease.
    :param now_s: The present time by the clock that counts suspended time.
    :returns: The time in seconds; 0 when no call may begin.
    """
    if not may_act(state, now_s):
        return 0.0
    return state.tenure.sent_s + API_CALL_SHARE * state.terms.lease_s - now_s


def is_own(state: LeaseState, row: LeaseRow) -> bool:
    """Return whether this process wrote a row in the era of the row.

    :param state: The state of the lease.
    :param row: The row.
    """
    lease = row.lease
    return (
        lease is not None
        and lease.nonce == state.nonce
        and lease.era == row.era
        and not lease.is_released
    )


def find_hold_delay_s(state: LeaseState, now_s: float) -> float:
    """Return how long this instance must not take the lease, whoever holds it.

    :param state: The state of the lease; the row has been seen.
    :param now_s: The present time by the clock that counts suspended time.
    :returns: The time in seconds.
    """
    row = state.seen.row
    rest_s = state.last_act_s + REST_SHARE * state.terms.lease_s - now_s
    # Without another holder since, no rest is needed.
    if _was_never_held(row) or is_own(state, row):
        rest_s = 0.0
    return max(0.0, state.barred_until_s - now_s, rest_s)


def find_expiry_delay_s(state: LeaseState) -> float:
    """Return how long after the last read of the row its lease may be taken.

    Only the store's clock decides, so a result above 0 asks for another read.

    :param state: The state of the lease; the row has been seen.
    :returns: The time in seconds; infinite when the row's token is unknown, as its
        value is of another version.
    """
    seen = state.seen
    row = seen.row
    if row.lease is None and row.revision > 0:
        return math.inf
    if _was_never_held(row) or _is_released(row) or is_own(state, row):
        return 0.0
    # A restore may have removed the row of a holder that still acts, as it doesn't know
    # of the restore. Its lease has ended one lease after the new era began.
    since_s = seen.unchanged_since_s if row.lease else seen.era_since_s
    share = 1 + TAKEOVER_MARGIN_SHARE + JITTER_SHARE * state.jitter
    return max(0.0, since_s + share * state.terms.lease_s - row.store_time_s)


def _was_never_held(row):
    """Return whether no instance has held the lease: the row is never removed."""
    return row.era == 0 and row.revision == 0


def _is_released(row):
    """Return whether the last holder gave the lease up in this era.

    A release of an earlier era may have been executed after a restore, while a holder
    of this era acts.
    """
    return row.lease is not None and row.lease.is_released and row.lease.era == row.era


def choose_step(
    state: LeaseState, now_s: float, *, is_candidate: bool
) -> tuple[Step, float]:
    """Choose what to do next.

    :param state: The state of the lease.
    :param now_s: The present time by the clock that counts suspended time.
    :param is_candidate: Whether this instance may take the lease.
    :returns: The step and, for ``WAIT``, the longest time to wait, in seconds.
    """
    if state.is_stopping or not (is_candidate or state.tenure):
        return Step.WAIT, math.inf
    if state.retry_s > now_s:
        return Step.WAIT, state.retry_s - now_s
    if state.seen is None or state.is_read_wanted:
        return Step.READ, 0.0
    if state.tenure is not None:
        return _choose_holder_step(state, now_s)
    expiry_delay_s = find_expiry_delay_s(state)
    hold_delay_s = find_hold_delay_s(state, now_s)
    if max(expiry_delay_s, hold_delay_s) <= 0:
        return Step.TAKE, 0.0
    next_read_s = READ_SHARE * state.terms.lease_s
    if expiry_delay_s > 0:
        next_read_s = min(next_read_s, expiry_delay_s)
    read_delay_s = state.seen.read_s + next_read_s - now_s
    if read_delay_s <= 0:
        return Step.READ, 0.0
    if expiry_delay_s <= 0:
        return Step.WAIT, min(read_delay_s, hold_delay_s)
    return Step.WAIT, read_delay_s


def _choose_holder_step(state, now_s):
    if is_api_failing(state, now_s):
        return Step.RELEASE, 0.0
    renew_s = state.tenure.sent_s + RENEW_SHARE * state.terms.lease_s
    if renew_s <= now_s:
        return Step.RENEW, 0.0
    return Step.WAIT, renew_s - now_s


def is_api_failing(state: LeaseState, now_s: float) -> bool:
    """Return whether another instance should try to reach the API.

    :param state: The state of the lease.
    :param now_s: The present time by the clock that counts suspended time.
    """
    if state.failing_since_s is None:
        return False
    # Without calls there is nothing that another instance could do better.
    is_recent = now_s - state.failed_s < API_FAILURE_SHARE * state.terms.lease_s
    failing_s = state.failed_s - state.failing_since_s
    return is_recent and failing_s > API_FAILURE_SHARE * state.terms.lease_s


def may_release(state: LeaseState, now_s: float) -> bool:
    """Return whether the lease may be given up before it expires.

    Where the API enforces no fencing, a call without a response may reach it after
    the calls of the next holder; the lease's expiry gives that call time.

    :param state: The state of the lease.
    :param now_s: The present time by the clock that counts suspended time.
    """
    terms = state.terms
    return terms.is_fenced or now_s - state.unanswered_s > terms.lease_s
