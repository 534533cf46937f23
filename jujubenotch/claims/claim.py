"""Takes claims, and looks up the recorded outcome of earlier requests."""

import asyncio
from dataclasses import replace

from jujubenotch.claims.decide import (
    Finished,
    Free,
    InProgress,
    Own,
    judge_row,
)
from jujubenotch.claims.errors import ClaimsUnavailableError
from jujubenotch.claims.finish import start_release
from jujubenotch.claims.group import WriteResult, submit
from jujubenotch.claims.keys import digest_row_key, find_hour
from jujubenotch.claims.model import (
    Claim,
    ClaimFinished,
    ClaimHeld,
    ClaimRequest,
    Claims,
    ClaimState,
    ClaimTaken,
    KeyReused,
)
from jujubenotch.claims.rows import find_pause_s, read_row, write_first_rows
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.tables import PlatformError

MAX_ROUNDS = 6
RETRY_AFTER_S = 2.0
LOOK_UP_TRIES = 2

ClaimResult = ClaimTaken | ClaimFinished | ClaimHeld | KeyReused | Refusal


async def claim(claims: Claims, request: ClaimRequest) -> ClaimResult:
    """Try to claim the key of a request.

    The request may be sent only if the result is ``ClaimTaken``; in that case
    the caller must call ``finish``, whatever becomes of the request.

    :param claims: The instance's claims.
    :param request: The request.
    :returns: The claim, the recorded answer, or the reason why there is neither.
    """
    attempt = Claim(
        row_key=_name_row(request),
        attempt_id=claims.make_attempt_id(),
        fingerprint=request.fingerprint,
        expires_hour=find_hour(claims.read_unix_s() + claims.limits.retention_s),
        version=1,
    )
    is_in_doubt = False
    for made in range(MAX_ROUNDS):
        try:
            await asyncio.sleep(find_pause_s(claims.limits, made) if made else 0)
            result, verdict = await _write_and_judge(claims, attempt)
        except asyncio.CancelledError:
            start_release(claims, attempt)
            raise
        is_in_doubt = is_in_doubt or result is WriteResult.REPLY_LOST
        if isinstance(verdict, Own):
            return ClaimTaken(claim=replace(attempt, version=verdict.version))
        if verdict is None:
            return _give_up(claims, attempt, result, is_in_doubt)
        if not isinstance(verdict, Free):
            return await _tell(claims, verdict)
        # The next write has the same attempt id, so a row left by either write
        # is recognised as this attempt's own.
        attempt = replace(attempt, version=verdict.version + 1)
    return _give_up(claims, attempt, result, is_in_doubt)


async def look_up(
    claims: Claims, request: ClaimRequest
) -> ClaimFinished | ClaimHeld | KeyReused | Refusal | None:
    """Look up the outcome of an earlier request with the same key.

    While the earlier request is in progress, this waits for its outcome.

    :param claims: The instance's claims.
    :param request: The request; the wait ends at its deadline.
    :returns: The recorded answer, the reason why there is none, or ``None`` if
        the key can be claimed.
    """
    row_key = _name_row(request)
    try:
        row = await read_row(claims, row_key, LOOK_UP_TRIES)
    except ClaimsUnavailableError:
        return _refuse()
    verdict = judge_row(row, request.fingerprint)
    polls = 0
    while isinstance(verdict, InProgress):
        pause_s = find_pause_s(claims.limits, polls)
        if _read_clock_s() + pause_s >= request.deadline_s:
            return ClaimHeld(retry_after_s=RETRY_AFTER_S)
        await asyncio.sleep(pause_s)
        polls += 1
        # The earlier request may have run, so a failed read doesn't change the
        # result to a refusal.
        verdict = await _judge_again(claims, row_key, request, verdict)
    if isinstance(verdict, Finished):
        return await _read_finished(claims, verdict)
    return verdict if isinstance(verdict, KeyReused) else None


async def _write_and_judge(claims, attempt):
    """Write an attempt's row; after a conflict or a lost reply, read it back.

    Returns the result of the write and what the row means, or ``None`` for the
    latter if that isn't known.
    """
    writes = write_first_rows(claims, attempt, ClaimState.CLAIMED)
    result = await submit(claims.writer, writes)
    if result is WriteResult.APPLIED:
        return result, Own(version=attempt.version)
    if result is WriteResult.UNAVAILABLE:
        return result, None
    try:
        row = await read_row(claims, attempt.row_key, claims.limits.settle_tries)
    except ClaimsUnavailableError:
        return result, None
    return result, judge_row(row, attempt.fingerprint, attempt.attempt_id)


def _give_up(claims, attempt, result, is_in_doubt):
    if is_in_doubt:
        start_release(claims, attempt)
        return _refuse()
    if result is WriteResult.UNAVAILABLE:
        return _refuse()
    # A row with this key exists, and nothing proves that its request never ran.
    return ClaimHeld(retry_after_s=RETRY_AFTER_S)


async def _tell(claims, verdict):
    if isinstance(verdict, Finished):
        return await _read_finished(claims, verdict)
    if isinstance(verdict, InProgress):
        return ClaimHeld(retry_after_s=RETRY_AFTER_S)
    return verdict


async def _judge_again(claims, row_key, request, verdict):
    try:
        row = await read_row(claims, row_key, tries=1)
    except ClaimsUnavailableError:
        return verdict
    return judge_row(row, request.fingerprint)


async def _read_finished(claims, verdict):
    row = verdict.row
    if not row.object_name:
        return ClaimFinished(answer=row.answer)
    try:
        async with asyncio.timeout(claims.limits.call_timeout_s):
            body = await claims.platform.get_object(row.object_name)
    except (PlatformError, TimeoutError):
        body = None
    if body is None:
        return ClaimHeld(retry_after_s=RETRY_AFTER_S)
    return ClaimFinished(answer=replace(row.answer, body=body))


def _name_row(request):
    return digest_row_key(request.team, request.idempotency_key, request.target)


def _read_clock_s():
    return asyncio.get_running_loop().time()


def _refuse():
    return Refusal(
        reason=RefusalReason.PLATFORM_UNAVAILABLE,
        retry_after_s=RETRY_AFTER_S,
        detail="the platform's table service doesn't answer, so the idempotency key "
        "can't be claimed; this request was not sent; repeat it with the same key",
    )
