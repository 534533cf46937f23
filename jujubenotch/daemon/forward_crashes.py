"""Reports crashed upstreams to the other instances and blocks what crashes them."""

import asyncio
import logging
import time
from dataclasses import dataclass, field

from jujubenotch.crashes import (
    Evidence,
    InstanceReports,
    adopt_reports,
    apply_reports,
    digest_part,
    find_block,
    record_break,
    record_sound_response,
    refresh_if_stale,
    take_own_reports,
)
from jujubenotch.daemon.forward_state import ForwardState
from jujubenotch.dispatch import (
    Attempt,
    AttemptResult,
    Call,
    digest_call,
    read_clock_s,
)
from jujubenotch.forwarding import SourceUpdate
from jujubenotch.logs import log_event
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.upstreams import keeps_connections

logger = logging.getLogger(__name__)

# A response whose events came for this time did not crash its upstream.
MIN_SOUND_S = 0.5
MAX_TRUSTED_BODY_BYTES = 16 * 1024


@dataclass(kw_only=True)
class CrashWatch:
    """The state of watching for requests that crash upstreams.

    :param name: The name of this instance.
    :param state: The instance's state, which lists the upstreams.
    :param pending: The suspects at each process of which it isn't known yet whether
        it has ended.
    :param evidence_changed: Set when there may be something to publish.
    :param is_loaded: Set once the other instances' reports have been read.
    """

    name: str
    state: ForwardState
    evidence: Evidence = field(default_factory=Evidence)
    pending: dict[str, dict[str, None]] = field(default_factory=dict)
    evidence_changed: asyncio.Event = field(default_factory=asyncio.Event)
    is_loaded: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: set[asyncio.Task] = field(default_factory=set)


def identify_process(watch: CrashWatch, upstream: str) -> str:
    """Return a name for the process that an upstream's name stands for at present.

    :param watch: The state of the watch.
    :param upstream: The upstream's name.
    """
    known = watch.state.listing.upstreams.get(upstream)
    started_ms = known.listed.started_ms if known else 0
    return f"{upstream}@{started_ms}"


def find_suspects(call: Call) -> list[str]:
    """Return the digests of a request and of what it has in common with others.

    :param call: The request.
    """
    return [digest_call(call), *find_part_suspects(call)]


def find_part_suspects(call: Call) -> list[str]:
    """Return the digests of the prompt parts that other requests may contain.

    :param call: The request.
    """
    return [digest_part(part) for part in call.shared_parts]


def refuse_blocked(watch: CrashWatch, call: Call) -> Refusal | None:
    """Refuse a call that contains what crashes upstreams.

    :param watch: The state of the watch.
    :param call: The call.
    :returns: The refusal; ``None`` when the call may be sent.
    """
    evidence = watch.evidence
    if not evidence.blocks and not evidence.is_stale:
        return None
    now_unix_s = time.time()
    block = find_block(
        evidence, find_suspects(call), now_s=read_clock_s(), now_unix_s=now_unix_s
    )
    if block is None:
        return None
    log_event(
        logger,
        logging.INFO,
        "request-blocked",
        request_id=call.request_id,
        suspects=sorted(block.suspects),
        crashes=len(block.processes),
        newest_age_s=round(now_unix_s - block.newest_unix_s, 3),
    )
    return Refusal(
        reason=RefusalReason.CRASHES_UPSTREAMS,
        retry_after_s=0.0,
        detail=f"requests like this one crashed {len(block.processes)} upstreams of "
        f"{call.target}; don't repeat it",
    )


def record_attempt(watch: CrashWatch, call: Call, attempt: Attempt) -> None:
    """Take up what the end of an attempt tells about its request.

    :param watch: The state of the watch; changed in place.
    :param call: The request.
    :param attempt: The attempt, which has ended.
    """
    if attempt.end is None:
        return
    if is_sound(attempt):
        _record_sound(watch, find_part_suspects(call), attempt.head_at_s)
        _acquit_request(watch, call, attempt)
    elif attempt.answer is not None:
        # An error response tells nothing of the parts, which the upstream may not have
        # read, but this request did not crash it.
        _acquit_request(watch, call, attempt)
    elif attempt.is_broken_off and attempt.head_at_s:
        _record_break(watch, find_suspects(call), attempt.process)
    elif attempt.is_broken_off:
        _record_break(watch, [digest_call(call)], attempt.process)


def is_sound(attempt: Attempt) -> bool:
    """Return whether a response ended well, or went on for long enough.

    :param attempt: The attempt, which has ended.
    """
    if attempt.end is AttemptResult.COMPLETED:
        return True
    return attempt.last_token_at_s - attempt.first_token_at_s >= MIN_SOUND_S


def _acquit_request(watch, call, attempt):
    # The digest of a large body takes time.
    is_small = len(call.body) <= MAX_TRUSTED_BODY_BYTES
    if is_small or watch.evidence.accusers or watch.evidence.is_stale:
        _record_sound(watch, [digest_call(call)], attempt.sent_at_s)


def _record_sound(watch, suspects, begun_s):
    evidence = watch.evidence
    record_sound_response(
        evidence,
        suspects,
        begun_s=begun_s,
        now_s=read_clock_s(),
        now_unix_s=time.time(),
    )
    _note_change(watch)


def _record_break(watch, suspects, process):
    is_new = process not in watch.pending
    watch.pending.setdefault(process, {}).update(dict.fromkeys(suspects))
    if is_new:
        task = asyncio.create_task(_confirm_end(watch, process))
        watch.tasks.add(task)
        task.add_done_callback(watch.tasks.discard)


async def _confirm_end(watch, process):
    """Report a crash unless the process still keeps connections open.

    A running upstream may break off single responses, and so may the network.
    """
    upstream = watch.state.upstreams.upstreams.get(process.rpartition("@")[0])
    is_running = upstream is not None and await keeps_connections(upstream.url)
    suspects = list(watch.pending.pop(process))
    log_event(
        logger,
        logging.WARNING,
        "upstream-ended",
        process=process,
        is_running=is_running,
        suspects=len(suspects),
    )
    if is_running:
        return
    record_break(
        watch.evidence,
        process,
        suspects,
        now_s=read_clock_s(),
        now_unix_s=time.time(),
    )
    _note_change(watch)


def apply_crash_page(watch: CrashWatch, update: SourceUpdate) -> None:
    """Take up the reports of other instances.

    :param watch: The state of the watch; changed in place.
    :param update: The update from the source of the reports.
    """
    evidence = watch.evidence
    for item in update.page.items:
        if item.key != watch.name:
            # A restored store may return older rows than those already applied.
            if not (update.starts_era and item.key in evidence.others):
                apply_reports(evidence, item.key, item.value)
        elif update.is_snapshot and item.value is not None:
            adopt_reports(evidence, item.value)
    if update.starts_era and (evidence.own_crashes or evidence.own_acquittals):
        evidence.is_unpublished = True
    watch.is_loaded.set()
    _note_change(watch)


def _note_change(watch):
    if watch.evidence.is_stale or watch.evidence.is_unpublished:
        watch.evidence_changed.set()


def take_unpublished(watch: CrashWatch) -> InstanceReports | None:
    """Return the reports to publish; ``None`` when the others know them already.

    :param watch: The state of the watch; its evidence is decided again.
    """
    refresh_if_stale(watch.evidence, now_s=read_clock_s(), now_unix_s=time.time())
    if not watch.evidence.is_unpublished:
        return None
    return take_own_reports(watch.evidence)
