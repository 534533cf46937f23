"""Claims a call by its idempotency key, or finds the outcome of an earlier one."""

import asyncio

from jujubenotch.dispatch.answers import (
    make_claim_timeout_answer,
    make_look_up_timeout_answer,
)
from jujubenotch.dispatch.attempt_state import read_clock_s
from jujubenotch.dispatch.call import Answer, Call, Progress
from jujubenotch.dispatch.model import Dispatcher
from jujubenotch.outcomes import FailureReason
from jujubenotch.work import Grant, WorkReport, WorkResult


async def claim_call(
    dispatcher: Dispatcher, call: Call, progress: Progress, grant: Grant
) -> Answer | None:
    """Claim a call whose slot was granted.

    When this returns ``None`` and the call is not claimed, the slot has been
    released and the caller of this function must acquire another one.

    :param dispatcher: The dispatcher.
    :param call: The call.
    :param progress: The call's progress; changed in place.
    :param grant: The slot.
    :returns: The response for the caller; ``None`` when there is none yet.
    """
    answer = await _take_claim(dispatcher, call, grant)
    if answer is None:
        progress.is_claimed = True
        return None
    progress.must_finish = False
    if answer.reason is FailureReason.CLAIM_HELD:
        # Another request holds the claim. Its outcome is awaited without
        # occupying a slot.
        return await look_up(dispatcher, call)
    return answer


async def look_up(dispatcher: Dispatcher, call: Call) -> Answer | None:
    """Return the recorded outcome of an earlier call with the same key.

    :param dispatcher: The dispatcher.
    :param call: The call.
    :returns: The outcome; ``None`` when there is none.
    """
    try:
        async with asyncio.timeout_at(call.deadline_s):
            return await dispatcher.claims.look_up(call)
    except TimeoutError:
        return make_look_up_timeout_answer()


async def _take_claim(dispatcher, call, grant):
    answer = None
    is_decided = False
    try:
        async with asyncio.timeout_at(call.deadline_s):
            answer = await dispatcher.claims.claim(call)
        is_decided = True
    except TimeoutError:
        # A cancelled claim operation releases whatever it has written, so no
        # claim stays held.
        answer = make_claim_timeout_answer()
    finally:
        if not is_decided or answer is not None:
            release_slot(dispatcher, grant, WorkResult.CANCELLED)
    return answer


def release_slot(dispatcher: Dispatcher, grant: Grant, result: WorkResult) -> None:
    """Release a slot without a measurement.

    :param dispatcher: The dispatcher.
    :param grant: The slot.
    :param result: What became of its work.
    """
    dispatcher.capacity.release(grant, WorkReport(result=result), read_clock_s())
