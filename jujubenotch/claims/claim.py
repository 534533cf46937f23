"""Takes claims, and looks up the recorded outcome of earlier requests."""

import asyncio
from dataclasses import replace

from jujubenotch.claims.decide import (
    Claimable,
    Finished,
    InProgress,
    OwnClaim,
    classify_row,
)
from jujubenotch.claims.errors import ClaimsUnavailableError
from jujubenotch.claims.finish import start_release
from jujubenotch.claims.group import WriteResult, submit
from jujubenotch.claims.keys import compute_unix_hour, digest_row_key
from jujubenotch.claims.model import (
    Claim,
    ClaimFinished,
    ClaimHeld,
    ClaimRequest,
    ClaimState,
    ClaimStore,
    ClaimTaken,
    KeyReused,
)
from jujubenotch.claims.rows import compute_pause_s, make_first_writes, read_row
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.tables import PlatformError

MAX_CLAIM_WRITES = 6
RETRY_AFTER_S = 2.0
LOOK_UP_TRIES = 2

ClaimResult = ClaimTaken | ClaimFinished | ClaimHeld | KeyReused | Refusal


async def claim(claim_store: ClaimStore, request: ClaimRequest) -> ClaimResult:
    """Try to claim the key of a request.

    The request may be sent only if the result is ``ClaimTaken``; in that case
    the caller must call ``finish``, whatever becomes of the request.

    :param claim_store: The instance's claim store.
    :param request: The request.
    :returns: The claim, the recorded answer, or the reason why there is neither.
    """
    attempt = Claim(
        row_key=_make_row_key(request),
        attempt_id=claim_store.make_attempt_id(),
        fingerprint=request.fingerprint,
        expires_hour=compute_unix_hour(
            claim_store.read_unix_s() + claim_store.limits.retention_s
        ),
        version=1,
    )
    may_have_applied = False
    for writes_made in range(MAX_CLAIM_WRITES):
        try:
            await asyncio.sleep(
                compute_pause_s(claim_store.limits, writes_made) if writes_made else 0
            )
            result, row_status = await _write_and_classify(claim_store, attempt)
        except asyncio.CancelledError:
            start_release(claim_store, attempt)
            raise
        may_have_applied = may_have_applied or result is WriteResult.REPLY_LOST
        if isinstance(row_status, OwnClaim):
            return ClaimTaken(claim=replace(attempt, version=row_status.version))
        if row_status is None:
            return _abandon_attempt(claim_store, attempt, result, may_have_applied)
        if not isinstance(row_status, Claimable):
            return await _make_result(claim_store, row_status)
        # The next write has the same attempt id, so a row left by either write
        # is recognised as this attempt's own.
        attempt = replace(attempt, version=row_status.version + 1)
    return _abandon_attempt(claim_store, attempt, result, may_have_applied)


async def look_up(
    claim_store: ClaimStore, request: ClaimRequest
) -> ClaimFinished | ClaimHeld | KeyReused | Refusal | None:
    """Look up the outcome of an earlier request with the same key.

    While the earlier request is in progress, this waits for its outcome.

    :param claim_store: The instance's claim store.
    :param request: The request; the wait ends at its deadline.
    :returns: The recorded answer, the reason why there is none, or ``None`` if
        the key can be claimed.
    """
    row_key = _make_row_key(request)
    try:
        row = await read_row(claim_store, row_key, LOOK_UP_TRIES)
    except ClaimsUnavailableError:
        return _make_refusal()
    row_status = classify_row(row, request.fingerprint)
    polls = 0
    while isinstance(row_status, InProgress):
        pause_s = compute_pause_s(claim_store.limits, polls)
        if _read_clock_s() + pause_s >= request.deadline_s:
            return ClaimHeld(retry_after_s=RETRY_AFTER_S)
        await asyncio.sleep(pause_s)
        polls += 1
        # The earlier request may have run, so a failed read doesn't change the
        # result to a refusal.
        row_status = await _read_status_again(claim_store, row_key, request, row_status)
    if isinstance(row_status, Finished):
        return await _read_finished(claim_store, row_status)
    return row_status if isinstance(row_status, KeyReused) else None


async def _write_and_classify(claim_store, attempt):
    """Write an attempt's row; after a conflict or a lost reply, read it back.

    Returns the result of the write and what the row means, or ``None`` for the
    latter if that isn't known.
    """
    writes = make_first_writes(claim_store, attempt, ClaimState.CLAIMED)
    result = await submit(claim_store.writer, writes)
    if result is WriteResult.APPLIED:
        return result, OwnClaim(version=attempt.version)
    if result is WriteResult.UNAVAILABLE:
        return result, None
    try:
        row = await read_row(
            claim_store, attempt.row_key, claim_store.limits.settle_tries
        )
    except ClaimsUnavailableError:
        return result, None
    return result, classify_row(row, attempt.fingerprint, attempt.attempt_id)


def _abandon_attempt(claim_store, attempt, result, may_have_applied):
    if may_have_applied:
        start_release(claim_store, attempt)
        return _make_refusal()
    if result is WriteResult.UNAVAILABLE:
        return _make_refusal()
    # A row with this key exists, and nothing proves that its request never ran.
    return ClaimHeld(retry_after_s=RETRY_AFTER_S)


async def _make_result(claim_store, row_status):
    if isinstance(row_status, Finished):
        return await _read_finished(claim_store, row_status)
    if isinstance(row_status, InProgress):
        return ClaimHeld(retry_after_s=RETRY_AFTER_S)
    return row_status


async def _read_status_again(claim_store, row_key, request, row_status):
    try:
        row = await read_row(claim_store, row_key, tries=1)
    except ClaimsUnavailableError:
        return row_status
    return classify_row(row, request.fingerprint)


async def _read_finished(claim_store, row_status):
    row = row_status.row
    if not row.object_name:
        return ClaimFinished(answer=row.answer)
    try:
        async with asyncio.timeout(claim_store.limits.call_timeout_s):
            body = await claim_store.platform.get_object(row.object_name)
    except (PlatformError, TimeoutError):
        body = None
    if body is None:
        return ClaimHeld(retry_after_s=RETRY_AFTER_S)
    return ClaimFinished(answer=replace(row.answer, body=body))


def _make_row_key(request):
    return digest_row_key(request.team, request.idempotency_key, request.target)


def _read_clock_s():
    return asyncio.get_running_loop().time()


def _make_refusal():
    return Refusal(
        reason=RefusalReason.PLATFORM_UNAVAILABLE,
        retry_after_s=RETRY_AFTER_S,
        detail="the platform's table service doesn't answer, so a keyed request "
        "can't be claimed; this request was not sent; repeat it with the same key",
    )
