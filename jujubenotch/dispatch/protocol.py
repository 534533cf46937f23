"""The interface to the request and response formats of upstreams."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from jujubenotch.dispatch.call import Call, Headers, Progress
from jujubenotch.records import Upstream
from jujubenotch.upstreams import END_MARKER, UpstreamAnswer
from jujubenotch.work import LoadReport, UpstreamNotice

NOT_STARTED_HEADER = "X-Not-Started"
SERVICE_UNAVAILABLE = 503


class AnswerKind(StrEnum):
    """What the status and headers of an upstream's response prove about a call.

    ``OWN`` is the response to this call. ``UNPROVED`` is a response that must
    not be forwarded: nothing proves that it belongs to this call, or its status
    would tell the caller that the call has not run.
    """

    OWN = "own"
    NOT_STARTED = "not-started"
    MISDIRECTED = "misdirected"
    UNPROVED = "unproved"


@dataclass(frozen=True, kw_only=True)
class UpstreamProtocol:
    """How to write the headers of a call and interpret an upstream's response.

    :param write_headers: Returns the headers of a call for an upstream, given
        the present monotonic time in seconds.
    :param classify_answer: Tells what the status and headers of a response
        prove about a call.
    :param is_for_other: Tells whether a response names another call than this one.
    :param read_load: Returns the load that a response reports, or ``None``
        when it reports none.
    :param read_notice: Returns what the upstream states about itself in a response;
        ``None`` when the response is another process's.
    :param end_marker: The event that ends a complete stream; empty when the
        end of the body marks the end of the stream.
    :param status_path: A path that upstreams answer without running a request.
    :param read_started_ms: Returns when the process that answered at ``status_path``
        started, as Unix time in milliseconds; ``None`` when the answer doesn't tell.
    :param request_id_header: The header in which a response names its request; empty
        when responses name none.
    """

    write_headers: Callable[[Upstream, Call, Progress, float], Headers]
    classify_answer: Callable[[Call, UpstreamAnswer], AnswerKind]
    is_for_other: Callable[[Call, UpstreamAnswer], bool] = lambda call, answer: False
    read_load: Callable[[UpstreamAnswer], LoadReport | None] = lambda answer: None
    read_notice: Callable[[UpstreamAnswer], UpstreamNotice | None] = lambda answer: None
    end_marker: bytes = b""
    status_path: str = "/"
    read_started_ms: Callable[[bytes], int | None] = lambda report: None
    request_id_header: str = ""


def _write_openai_headers(upstream, call, progress, now_s):
    headers = call.headers + (("X-Request-Id", call.request_id),)
    if call.idempotency_key:
        headers += (("Idempotency-Key", call.idempotency_key),)
    if progress.last_event_id:
        headers += (("Last-Event-ID", progress.last_event_id),)
    return headers


def _classify_openai_answer(call, answer):
    is_unavailable = answer.status == SERVICE_UNAVAILABLE
    is_marked_not_started = answer.find_header(NOT_STARTED_HEADER).lower() == "true"
    if is_unavailable and is_marked_not_started:
        return AnswerKind.NOT_STARTED
    return AnswerKind.OWN


OPENAI_PROTOCOL = UpstreamProtocol(
    write_headers=_write_openai_headers,
    classify_answer=_classify_openai_answer,
    end_marker=END_MARKER,
)
