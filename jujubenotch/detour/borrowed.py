"""Encodes a call for an instance that sends it on, and reads that one's responses.

The call is routed and its team is known; the caller's key is not part of it.
"""

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError

from jujubenotch.dispatch import (
    AnswerKind,
    Call,
    ConfigurationBasis,
    Progress,
    UpstreamProtocol,
    find_resume_point,
    find_target,
)
from jujubenotch.outcomes import (
    OUTCOME_HEADER,
    REQUEST_HEADER,
    STATUSES_IMPLYING_NOT_RUN,
    Outcome,
)
from jujubenotch.records import ServiceClass, Team
from jujubenotch.streams import StreamOrigin

SEPARATOR = b"\n"
# Larger than all that the head of a caller's request may contain.
MAX_DOCUMENT_BYTES = 256 * 1024
# Each borrowed call runs once at most; the instance that sent it decides on repeats.
MAX_BORROWED_RUNS = 1


class BorrowedCallError(Exception):
    """A request of another instance is not a valid call."""


class _CallDocument(BaseModel):
    """A call as it travels; ``left_s`` is the time until its deadline.

    ``basis`` is missing in the calls of earlier releases.
    """

    model_config = ConfigDict(extra="ignore", strict=False)

    request_id: str
    target: str
    team: Team
    service_class: ServiceClass
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    left_s: float
    is_stream: bool
    is_idempotent: bool
    is_cancelled_on_disconnect: bool
    can_resume_elsewhere: bool
    expected_tokens: int
    prefix_key: str
    prompt_tokens: int
    shared_parts: tuple[str, ...]
    resume_after_event_id: str
    resumed_request_id: str
    silence_timeout_s: float | None
    origin: StreamOrigin | None
    basis: ConfigurationBasis | None = None


COPIED_FIELDS = tuple(
    name for name in _CallDocument.model_fields if name not in ("left_s", "target")
)


def encode_call(call: Call, progress: Progress, now_s: float) -> bytes:
    """Encode a call.

    :param call: The call.
    :param progress: Its progress, with the origin of the stream that it resumes.
    :param now_s: The present monotonic time, in seconds.
    """
    fields = {name: getattr(call, name) for name in COPIED_FIELDS}
    fields["origin"] = progress.origin
    fields["resume_after_event_id"] = find_resume_point(call, progress)
    document = _CallDocument(
        **fields,
        target=find_target(call, progress),
        left_s=max(0.0, call.deadline_s - now_s),
    )
    return orjson.dumps(document.model_dump()) + SEPARATOR + call.body


def decode_call(content: bytes, now_s: float) -> Call:
    """Decode a call of another instance.

    :param content: The encoded call.
    :param now_s: The present monotonic time, in seconds.
    :returns: The call; it must not be sent on to a further instance.
    :raises BorrowedCallError: The content is no call.
    """
    head, separator, body = content.partition(SEPARATOR)
    if not separator or len(head) > MAX_DOCUMENT_BYTES:
        raise BorrowedCallError(f"a head of {len(head)} bytes is no call")
    try:
        document = _CallDocument.model_validate_json(head)
    except ValidationError as error:
        raise BorrowedCallError(f"the call is invalid: {error}") from error
    return Call(
        **{name: getattr(document, name) for name in COPIED_FIELDS},
        target=document.target,
        body=body,
        arrived_s=now_s,
        caller_deadline_s=now_s + document.left_s,
        max_runs=MAX_BORROWED_RUNS,
        is_borrowed=True,
    )


def _write_headers(upstream, call, progress, now_s):
    return (
        ("Content-Type", "application/octet-stream"),
        (REQUEST_HEADER, call.request_id),
    )


def _classify_answer(call, answer):
    """Tell an upstream's response from one that the other instance made itself."""
    outcome = answer.find_header(OUTCOME_HEADER)
    if outcome == Outcome.NOT_RUN and _names_request(call, answer):
        return AnswerKind.NOT_STARTED
    if outcome or answer.status in STATUSES_IMPLYING_NOT_RUN:
        # Instances pass on no upstream's response with such a status. Without an
        # outcome it comes from the HTTP server of the other instance.
        return AnswerKind.UNPROVED
    return AnswerKind.OWN


def _names_request(call, answer):
    # The responses of earlier releases name no request.
    return answer.find_header(REQUEST_HEADER) in ("", call.request_id)


HELPER_PROTOCOL = UpstreamProtocol(
    write_headers=_write_headers,
    classify_answer=_classify_answer,
    request_id_header=REQUEST_HEADER,
)
