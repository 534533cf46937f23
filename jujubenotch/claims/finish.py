"""Ends claims: records the outcome of the request, or releases the claim."""

import asyncio
import logging
from dataclasses import replace

from jujubenotch.claims.codec import decode_row
from jujubenotch.claims.decide import (
    STATE_BY_OUTCOME,
    Claimable,
    OwnClaim,
    classify_row,
)
from jujubenotch.claims.errors import ClaimsError
from jujubenotch.claims.group import WriteResult, submit
from jujubenotch.claims.model import Claim, ClaimState, ClaimStore, RecordedAnswer
from jujubenotch.claims.rows import (
    compute_pause_s,
    make_first_writes,
    make_next_write,
    read_row,
)
from jujubenotch.invariants import assert_invariant
from jujubenotch.logs import log_event
from jujubenotch.tables import PlatformError

logger = logging.getLogger(__name__)


def finish(claim_store: ClaimStore, claim: Claim, answer: RecordedAnswer) -> None:
    """Record the outcome of a claimed request in the background.

    The outcome ``NOT_RUN`` releases the claim, so that a repeat of the request
    can run. If the platform is unavailable for longer than the limit
    ``give_up_s``, the row stays claimed until it expires, and repeats are
    answered with ``unknown``.

    :param claim_store: The instance's claim store.
    :param claim: A claim taken by this instance.
    :param answer: The outcome and the answer of the request.
    """
    _start_task(claim_store, _finish(claim_store, claim, answer))


def start_release(claim_store: ClaimStore, attempt: Claim) -> None:
    """Release, in the background, an attempt whose write had no confirmed result.

    Afterwards the key can be claimed again, even if the platform still applies
    the attempt's write later.

    :param claim_store: The instance's claim store.
    :param attempt: An attempt that has not sent its request and never will.
    """
    _start_task(claim_store, _release(claim_store, attempt))


async def close(claim_store: ClaimStore) -> None:
    """Wait until each outcome and release has been recorded or given up.

    :param claim_store: The instance's claim store.
    """
    while claim_store.tasks:
        await asyncio.wait(claim_store.tasks)


def _start_task(claim_store, coroutine):
    task = asyncio.create_task(coroutine)
    claim_store.tasks.add(task)
    task.add_done_callback(claim_store.tasks.discard)


async def _finish(claim_store, claim, answer):
    object_name = ""
    state = STATE_BY_OUTCOME[answer.outcome]
    recorded = None if state is ClaimState.RELEASED else answer
    if recorded and len(recorded.body) > claim_store.limits.inline_body_bytes:
        object_name = f"claims/{claim.row_key}/{claim.attempt_id}"
        if not await _store_body(claim_store, object_name, recorded.body):
            return _log_given_up("claim-outcome-not-recorded", claim)
        recorded = replace(recorded, body=b"")
    write = make_next_write(claim_store, claim, state, recorded, object_name)
    may_have_applied = False
    async for _ in _retry_until_given_up(claim_store):
        result = await submit(claim_store.writer, [write])
        if result is WriteResult.APPLIED:
            return None
        may_have_applied = may_have_applied or result is WriteResult.REPLY_LOST
        if result is WriteResult.CONFLICT:
            return await _check_conflict(claim_store, claim, state, may_have_applied)
    return _log_given_up("claim-outcome-not-recorded", claim)


async def _check_conflict(claim_store, claim, state, may_have_applied):
    """Assert that no other attempt has taken this claim over.

    The only legitimate causes of the conflict are an earlier write of this
    claim whose reply was lost, and the deletion of the row after it expired.
    """
    try:
        row = await read_row(
            claim_store, claim.row_key, claim_store.limits.settle_tries
        )
        current_row = decode_row(row.value) if row else None
    except ClaimsError:
        return
    is_own_row = current_row is not None and current_row.attempt_id == claim.attempt_id
    # Once this claim has released the row, another attempt may have claimed it.
    is_released = may_have_applied and state is ClaimState.RELEASED
    is_recorded = may_have_applied and is_own_row and current_row.state is state
    assert_invariant(
        current_row is None or is_recorded or is_released,
        "claim-not-taken-over",
        row_key=claim.row_key,
        attempt_id=claim.attempt_id,
    )


async def _store_body(claim_store, object_name, body):
    async for _ in _retry_until_given_up(claim_store):
        try:
            async with asyncio.timeout(claim_store.limits.call_timeout_s):
                await claim_store.platform.put_object(object_name, body)
            return True
        except (PlatformError, TimeoutError):
            continue
    return False


async def _release(claim_store, attempt):
    async for _ in _retry_until_given_up(claim_store):
        try:
            row = await read_row(claim_store, attempt.row_key, tries=1)
        except ClaimsError:
            continue
        writes = _make_release_writes(claim_store, attempt, row)
        if writes is None:
            return
        if await submit(claim_store.writer, writes) is WriteResult.APPLIED:
            return
    _log_given_up("claim-not-released", attempt)


def _make_release_writes(claim_store, attempt, row):
    """Make the writes that release an attempt; ``None`` if none is needed.

    The attempt's own write may have been applied, or may still be applied later.
    """
    row_status = classify_row(row, attempt.fingerprint, attempt.attempt_id)
    if isinstance(row_status, OwnClaim):
        own_claim = replace(attempt, version=row_status.version)
        return [make_next_write(claim_store, own_claim, ClaimState.RELEASED)]
    version = row.version if row else 0
    # No release is needed if another attempt has used the key, or if the attempt's
    # write expects an older version than the row has: the table service then
    # rejects that write.
    if not isinstance(row_status, Claimable) or version >= attempt.version:
        return None
    # The attempt's write may still be applied. Writing a released row at the
    # same version makes the table service reject that late write.
    return make_first_writes(claim_store, attempt, ClaimState.RELEASED)


async def _retry_until_given_up(claim_store):
    """Yield once for each try, with back-off, until ``give_up_s`` has passed."""
    loop = asyncio.get_running_loop()
    give_up_at_s = loop.time() + claim_store.limits.give_up_s
    tries = 0
    while loop.time() < give_up_at_s:
        yield
        await asyncio.sleep(compute_pause_s(claim_store.limits, tries))
        tries += 1


def _log_given_up(event, claim):
    log_event(
        logger,
        logging.ERROR,
        event,
        row_key=claim.row_key,
        attempt_id=claim.attempt_id,
    )
