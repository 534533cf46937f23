"""Sends calls by way of another instance while this one reaches no upstream."""

import logging
import math
import random
from dataclasses import dataclass, field, replace

from jujubenotch.daemon.forward_reach import DetourWatch
from jujubenotch.daemon.forward_streams import MIN_LIST_AGE_S, wait_for_instances
from jujubenotch.detour import (
    CUT_OFF_AVOID_S,
    HELPER_PROTOCOL,
    avoid_helper,
    choose_helper,
    encode_call,
    record_help,
)
from jujubenotch.dispatch import (
    Answer,
    Attempt,
    AttemptResult,
    Call,
    Progress,
    RetryBudget,
    RetryEnd,
    Sink,
    find_target,
    limit_wait,
    make_give_up,
    make_give_up_answer,
    make_refusal_answer,
    read_clock_s,
    record_attempt,
    record_send,
    run_attempt,
)
from jujubenotch.logs import log_event
from jujubenotch.membership import list_helpers
from jujubenotch.outcomes import (
    ATTEMPTS_HEADER,
    REASON_HEADER,
    Refusal,
    RefusalReason,
)
from jujubenotch.records import Upstream, UpstreamKind
from jujubenotch.upstreams import UpstreamConnections

logger = logging.getLogger(__name__)

# An instance that isn't reached costs each request that asks it a timeout.
UNREACHED_AVOID_S = 3.0
# Callers wait while instances are asked in turn, of which some may not be reached.
ASKING_TIME_S = 1.0
# Callers come back to another instance, which may reach upstreams.
RETRY_AFTER_S = 0.3
# Another instance may be able to send a call that was refused for one of these.
PASSING_REASONS = frozenset(
    {
        RefusalReason.NO_UPSTREAM,
        RefusalReason.SHUTTING_DOWN,
        RefusalReason.STARTING,
        RefusalReason.FORBIDDEN,
        RefusalReason.QUEUE_FULL,
    }
)


async def send_elsewhere(
    watch: DetourWatch,
    connections: UpstreamConnections,
    retry_budget: RetryBudget,
    call: Call,
    progress: Progress,
    sink: Sink,
) -> Answer | None:
    """Send a call by way of another instance, if this one reaches no upstream for it.

    A call goes by way of one other instance at most, and is never sent both ways unless
    the first has proved that it was not run.

    :param watch: The state of the watch; changed in place.
    :param connections: The connections to upstreams and instances.
    :param retry_budget: Bounds how often a call arrives again at its service.
    :param call: The call.
    :param progress: The call's progress; changed in place.
    :param sink: Receives the events of a stream.
    :returns: The response for the caller; ``None`` when the call has to be sent
        directly.
    """
    service = find_target(call, progress)
    reach = watch.reaches.get(service)
    if reach is None or not reach.is_lost:
        return None
    detour = _Detour(
        watch=watch,
        connections=connections,
        retry_budget=retry_budget,
        call=call,
        progress=progress,
        sink=sink,
        lost_for_s=read_clock_s() - reach.lost_s,
    )
    # Only the instance that sent the start of a stream on knows at which version it
    # began, so no further one can continue it.
    is_begun_elsewhere = progress.is_stream_started and progress.origin is None
    if call.is_borrowed or is_begun_elsewhere:
        return make_refusal_answer(progress, _refuse(service))
    await _wait_for_helpers(watch.streams)
    return await _ask_in_turn(detour)


@dataclass(kw_only=True)
class _Detour:
    """The way of one call by way of other instances.

    :param lost_for_s: For how long this instance has reached no upstream, in seconds.
    :param asked: The addresses of the instances that were asked.
    :param has_sent: Whether one of them has sent the call to an upstream.
    """

    watch: DetourWatch
    connections: UpstreamConnections
    retry_budget: RetryBudget
    call: Call
    progress: Progress
    sink: Sink
    lost_for_s: float
    asked: list[str] = field(default_factory=list)
    has_sent: bool = False

    @property
    def service(self) -> str:
        """The service that the call goes to."""
        return find_target(self.call, self.progress)


async def _ask_in_turn(detour):
    """Ask one instance after the other until one has sent the call on."""
    listed = list_helpers(detour.watch.streams.neighbours)
    draws = {each: random.random() for each in listed}
    started_s = read_clock_s()
    while read_clock_s() - started_s < ASKING_TIME_S:
        address = _choose(detour.watch, detour.asked, draws)
        if address is None or not _may_ask(detour):
            break
        answer = await _ask(detour, address)
        if answer is not None:
            return answer
    _log(
        detour.call,
        "detour-unavailable",
        detour.service,
        "",
        asked=len(detour.asked),
        listed=len(list_helpers(detour.watch.streams.neighbours)),
        avoided=len(detour.watch.helpers.avoided_until_s),
        lost_for_s=round(detour.lost_for_s, 3),
    )
    return make_refusal_answer(detour.progress, _refuse(detour.service))


def _may_ask(detour):
    """Spend the retry budget if the call has been sent to an upstream already."""
    if not detour.has_sent:
        return True
    return detour.retry_budget.may_retry(detour.service, read_clock_s())


async def _ask(detour, address):
    """Ask one instance; return ``None`` when a further one may be asked."""
    detour.asked.append(address)
    _log(
        detour.call,
        "detour-begun",
        detour.service,
        address,
        data_centre=list_helpers(detour.watch.streams.neighbours).get(address, ""),
        lost_for_s=round(detour.lost_for_s, 3),
    )
    is_retry = detour.has_sent
    try:
        result = await _try_helper(detour, address)
    finally:
        if is_retry:
            detour.retry_budget.record_retry_end(
                detour.service, RetryEnd.UNCONFIRMED, read_clock_s()
            )
    detour.has_sent = detour.has_sent or result.has_sent
    return result.answer


@dataclass(frozen=True, kw_only=True)
class _HelperResult:
    """What became of a call that another instance was asked to send on.

    :param answer: The response for the caller; ``None`` when a further instance may be
        asked.
    :param has_sent: Whether that instance sent the call to an upstream, which refused
        it.
    """

    answer: Answer | None = None
    has_sent: bool = False


async def _wait_for_helpers(streams):
    """Wait until the other instances are listed, again if that has failed before."""
    is_listed = bool(list_helpers(streams.neighbours))
    streams.wants_all = streams.wants_all or not is_listed
    await wait_for_instances(streams, math.inf if is_listed else MIN_LIST_AGE_S)


def _refuse(service):
    return Refusal(
        reason=RefusalReason.UPSTREAM_UNREACHABLE,
        retry_after_s=RETRY_AFTER_S,
        detail=f"this instance reaches no upstream of {service}; come back",
    )


def _choose(watch, asked, draws):
    listed = list_helpers(watch.streams.neighbours)
    return choose_helper(
        watch.helpers,
        {address: listed[address] for address in draws if address in listed},
        watch.data_centre,
        asked=asked,
        draws=draws,
        now_s=read_clock_s(),
    )


async def _try_helper(detour, address):
    """Send a call to another instance."""
    watch, call, progress = detour.watch, detour.call, detour.progress
    attempt = Attempt(sent_at_s=read_clock_s())
    heads = []
    progress.must_finish = call.outlives_caller
    record_send(progress)
    try:
        async with limit_wait(watch.time_limit, call.deadline_s):
            await run_attempt(
                detour.connections,
                HELPER_PROTOCOL,
                _make_upstream(address),
                _make_borrowed(call, progress),
                progress,
                attempt,
                detour.sink,
                heads.append,
                lambda: None,
            )
    except TimeoutError:
        attempt.end = AttemptResult.DEADLINE
    reason = heads[0].find_header(REASON_HEADER) if heads else ""
    _log(
        call,
        "detour-ended",
        call.target,
        address,
        result=attempt.end,
        reason=reason,
        error=attempt.error,
        took_s=round(read_clock_s() - attempt.sent_at_s, 4),
    )
    return _HelperResult(
        answer=_interpret(watch, address, attempt, reason, heads, progress),
        has_sent=bool(heads and heads[0].find_header(ATTEMPTS_HEADER)),
    )


def _interpret(watch, address, attempt, reason, heads, progress):
    end = attempt.end
    if end is AttemptResult.COMPLETED:
        record_help(watch.helpers, address, read_clock_s())
        return attempt.answer
    record_attempt(progress, end)
    if end is AttemptResult.CONNECT_FAILED:
        avoid_helper(watch.helpers, address, read_clock_s(), avoid_s=UNREACHED_AVOID_S)
        return None
    if end is not AttemptResult.REFUSED:
        return make_give_up_answer(progress, attempt, make_give_up(progress, end))
    if reason == RefusalReason.UPSTREAM_UNREACHABLE:
        avoid_helper(watch.helpers, address, read_clock_s(), avoid_s=CUT_OFF_AVOID_S)
        return None
    if reason in PASSING_REASONS:
        avoid_helper(watch.helpers, address, read_clock_s())
        return None
    refusal = Refusal(
        reason=_read_reason(reason),
        retry_after_s=_read_retry_after_s(heads[0]),
        detail="the instance that sends requests on for this one refused it",
    )
    return make_refusal_answer(progress, refusal)


def _read_reason(text):
    """Read the reason of a refusal; a later release may have others."""
    try:
        return RefusalReason(text)
    except ValueError:
        return RefusalReason.UPSTREAM_REFUSED


def _read_retry_after_s(head):
    try:
        return max(0.0, float(head.find_header("Retry-After") or 0.0))
    except ValueError:
        return RETRY_AFTER_S


def _make_upstream(address):
    return Upstream(
        name=address,
        kind=UpstreamKind.SERVICE,
        data_centre="",
        url=f"http://{address}",
        models=(),
        slots=1,
    )


def _make_borrowed(call, progress):
    """Make the request for the other instance, whose timeouts bound its silence."""
    return replace(
        call,
        method="POST",
        path="/",
        body=encode_call(call, progress, read_clock_s()),
        silence_timeout_s=None,
    )


def _log(call, event, service, helper, **fields):
    log_event(
        logger,
        logging.INFO,
        event,
        request_id=call.request_id,
        service=service,
        helper=helper,
        **fields,
    )
