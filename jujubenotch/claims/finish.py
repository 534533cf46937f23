"""Ends a claim: records its outcome, or releases it."""

import asyncio
import logging
from dataclasses import replace

from jujubenotch.claims.codec import decode_row
from jujubenotch.claims.decide import STATE_BY_OUTCOME, Free, Own, judge_row
from jujubenotch.claims.errors import ClaimsError
from jujubenotch.claims.group import WriteResult, submit
from jujubenotch.claims.model import Claim, Claims, ClaimState, RecordedAnswer
from jujubenotch.claims.rows import (
    find_pause_s,
    read_row,
    write_first_rows,
    write_next_row,
)
from jujubenotch.invariants import assert_invariant
from jujubenotch.logs import log_event
from jujubenotch.tables import PlatformError

logger = logging.getLogger(__name__)


def finish(claims: Claims, claim: Claim, answer: RecordedAnswer) -> None:
    """Record how a claimed request ended, in the background.

    ``NOT_RUN`` releases the claim, so that a repeat may run. When the platform
    stays away too long the row stays claimed and repeats hear ``unknown``.

    :param claims: The claims.
    :param claim: The claim, taken by this instance.
    :param answer: The outcome and the answer.
    """
    _start(claims, _finish(claims, claim, answer))


def start_release(claims: Claims, attempt: Claim) -> None:
    """Make sure, in the background, that an attempt's lost write blocks no one.

    :param claims: The claims.
    :param attempt: An attempt that has sent nothing and never will.
    """
    _start(claims, _release(claims, attempt))


async def close(claims: Claims) -> None:
    """Wait until each outcome and release is recorded or given up.

    :param claims: The claims.
    """
    while claims.tasks:
        await asyncio.wait(claims.tasks)


def _start(claims, coroutine):
    task = asyncio.create_task(coroutine)
    claims.tasks.add(task)
    task.add_done_callback(claims.tasks.discard)


async def _finish(claims, claim, answer):
    object_name = ""
    state = STATE_BY_OUTCOME[answer.outcome]
    recorded = None if state is ClaimState.RELEASED else answer
    if recorded and len(recorded.body) > claims.limits.inline_body_bytes:
        object_name = f"claims/{claim.row_key}/{claim.attempt_id}"
        if not await _store_body(claims, object_name, recorded.body):
            return _log_given_up("claim-outcome-not-recorded", claim)
        recorded = replace(recorded, body=b"")
    write = write_next_row(claims, claim, state, recorded, object_name)
    in_doubt = False
    async for _ in _try_until_given_up(claims):
        result = await submit(claims.writer, [write])
        if result is WriteResult.APPLIED:
            return None
        in_doubt = in_doubt or result is WriteResult.REPLY_LOST
        if result is WriteResult.CONFLICT:
            return await _check_conflict(claims, claim, state, in_doubt)
    return _log_given_up("claim-outcome-not-recorded", claim)


async def _check_conflict(claims, claim, state, in_doubt):
    """Assert that the conflict came from this claim's own earlier write."""
    try:
        row = await read_row(claims, claim.row_key, claims.limits.settle_tries)
        found = decode_row(row.value) if row else None
    except ClaimsError:
        return
    is_own = found is not None and found.attempt_id == claim.attempt_id
    # A row that this claim released may be another's by now.
    is_released = in_doubt and state is ClaimState.RELEASED
    is_recorded = in_doubt and is_own and found.state is state
    assert_invariant(
        found is None or is_recorded or is_released,
        "claim-not-taken-over",
        row_key=claim.row_key,
        attempt_id=claim.attempt_id,
    )


async def _store_body(claims, object_name, body):
    async for _ in _try_until_given_up(claims):
        try:
            async with asyncio.timeout(claims.limits.call_timeout_s):
                await claims.platform.put_object(object_name, body)
            return True
        except (PlatformError, TimeoutError):
            continue
    return False


async def _release(claims, attempt):
    async for _ in _try_until_given_up(claims):
        try:
            row = await read_row(claims, attempt.row_key, tries=1)
        except ClaimsError:
            continue
        writes = _write_release(claims, attempt, row)
        if writes is None:
            return
        if await submit(claims.writer, writes) is WriteResult.APPLIED:
            return
    _log_given_up("claim-not-released", attempt)


def _write_release(claims, attempt, row):
    """Find what keeps an attempt's write, landed or late, from blocking others."""
    verdict = judge_row(row, attempt.fingerprint, attempt.attempt_id)
    if isinstance(verdict, Own):
        own = replace(attempt, version=verdict.version)
        return [write_next_row(claims, own, ClaimState.RELEASED)]
    version = row.version if row else 0
    # A write that expects an older version than the row's can't land any more.
    if not isinstance(verdict, Free) or version >= attempt.version:
        return None
    # The lost write may still land; a row at its version keeps it out.
    return write_first_rows(claims, attempt, ClaimState.RELEASED)


async def _try_until_given_up(claims):
    loop = asyncio.get_running_loop()
    give_up_at_s = loop.time() + claims.limits.give_up_s
    tries = 0
    while loop.time() < give_up_at_s:
        yield
        await asyncio.sleep(find_pause_s(claims.limits, tries))
        tries += 1


def _log_given_up(event, claim):
    log_event(
        logger,
        logging.ERROR,
        event,
        row_key=claim.row_key,
        attempt_id=claim.attempt_id,
    )
