"""Finds where a stream began that a caller resumes, and asks other instances."""

import asyncio
import contextlib
import logging
import time

from jujubenotch.daemon.forward_list_checks import knows_versions
from jujubenotch.daemon.forward_records import (
    find_proved_version,
    needs_records,
    read_saved_origins,
)
from jujubenotch.daemon.forward_streams import (
    LIST_AGE_S,
    Question,
    StreamWatch,
    list_instances,
    wait_for_instances,
)
from jujubenotch.dispatch import Call
from jujubenotch.forwarding import measure_age_s, read_boot_clock_s
from jujubenotch.logs import log_event
from jujubenotch.membership import list_neighbours
from jujubenotch.neighbours import Message, MessageKind
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.streams import (
    StreamOrigin,
    VersionBasis,
    choose_owners,
    find_origin,
)

logger = logging.getLogger(__name__)

# Several round trips between two busy instances. A question may get lost, so it is sent
# more than once.
ANSWER_TIMEOUT_S = 0.05
QUESTIONS = 3
# Bounds the datagrams that one question causes at large sites.
MAX_ASKED = 64


async def find_stream_origin(
    watch: StreamWatch, call: Call
) -> StreamOrigin | Refusal | None:
    """Find where the stream began that a call resumes.

    This instance may have begun it, or was told; else the instances that are told of
    the stream are asked, then all others. Where one version alone has served for long
    enough, until the present, the stream began there.

    :param watch: The state of the watch; changed in place.
    :param call: The call.
    :returns: The origin; a refusal when it is unknown, as a guess may join what two
        versions wrote.
    """
    started_s = time.monotonic()
    origin, source = await _search(watch, call)
    log_event(
        logger,
        logging.INFO,
        "stream-origin-found" if origin else "stream-origin-unknown",
        request_id=call.request_id,
        resumes=call.resumed_request_id,
        source=source,
        service=origin.service if origin else call.target,
        software_version=origin.software_version if origin else "",
        versions=sorted(watch.history.listed.get(call.target, ())),
        list_age_s=round(measure_age_s(watch.state.freshness, read_boot_clock_s()), 3),
        took_s=round(time.monotonic() - started_s, 4),
    )
    if origin is None or (call.services and origin.service not in call.services):
        return Refusal(
            reason=RefusalReason.STREAM_ORIGIN_UNKNOWN,
            retry_after_s=0.0,
            detail="the software version that began this stream is unknown, or its "
            "service has changed; ask for the whole stream",
        )
    return origin


async def _search(watch, call):
    arrived_s = read_boot_clock_s()
    request_id = call.resumed_request_id
    if request_id:
        origin = _find_known(watch, request_id)
        if origin is not None:
            return origin, "own"
        await wait_for_instances(watch, LIST_AGE_S)
        owners = choose_owners(request_id, list_instances(watch))
        origin = await _ask(watch, request_id, owners)
        if origin is not None:
            return origin, "owner"
    origin, basis = await _find_sole_origin(watch, call, arrived_s)
    if origin is not None or not request_id:
        return origin, f"only-version: {basis}"
    others = sorted(list_neighbours(watch.neighbours).difference(owners))[:MAX_ASKED]
    origin = await _ask(watch, request_id, others)
    if origin is not None or not needs_records(watch):
        return origin, "others"
    await read_saved_origins(watch)
    return _find_known(watch, request_id), "saved"


def _find_known(watch, request_id):
    known = find_origin(watch.origins, request_id, now_s=read_boot_clock_s())
    return known.origin if known else None


async def _ask(watch, request_id, addresses):
    asked = [each for each in addresses if each != watch.neighbours.own_address]
    if not asked:
        return None
    question = watch.questions.setdefault(request_id, Question())
    question.pending.update(asked)
    message = Message(kind=MessageKind.STREAM_QUERY, request_ids=(request_id,))
    try:
        for _ in range(QUESTIONS):
            watch.send(message, asked)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    await question.is_answered.wait()
            if question.is_answered.is_set():
                break
    finally:
        watch.questions.pop(request_id, None)
    return _find_known(watch, request_id)


async def _find_sole_origin(watch, call, arrived_s):
    """Find the only version that may have begun a stream before its call arrived."""
    if len(call.services) > 1:
        return None, VersionBasis.SEVERAL_VERSIONS
    if not await knows_versions(watch, arrived_s):
        return None, VersionBasis.LIST_TOO_OLD
    version, basis = await find_proved_version(watch, call.target)
    if version is None:
        return None, basis
    return StreamOrigin(service=call.target, software_version=version), basis
