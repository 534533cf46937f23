"""Sends outcomes to callers, as HTTP responses and as the final event of a stream."""

import math

import orjson
from sanic import HTTPResponse, Request
from sanic.exceptions import RequestCancelled, ServerError

from jujubenotch.dispatch import Answer, CallerDisconnectedError
from jujubenotch.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    Outcome,
    Refusal,
)

REQUEST_ID_HEADER = "X-Request-Id"
_ROUTER_HEADERS = frozenset(
    {OUTCOME_HEADER.lower(), REASON_HEADER.lower(), REQUEST_ID_HEADER.lower()}
)
_REPLACED_HEADERS = _ROUTER_HEADERS | {"content-type", "date", "server"}


class CallerSink:
    """Sends the head and the events of a stream to one caller.

    :param request: The caller's request.
    :param request_id: The request's id, which the response carries in a header.

    >>> sink = CallerSink(request=None, request_id="a-1")
    >>> sink.response is None
    True
    """

    def __init__(self, *, request: Request, request_id: str):
        self.request = request
        self.request_id = request_id
        self.response = None

    async def start(self, status, headers, *, is_framed=True):
        """Send the head of the stream.

        :param status: The HTTP status.
        :param headers: The upstream's headers.
        :param is_framed: Ignored, because the final event marks the stream's end.
        :raises CallerDisconnectedError: The caller has closed its connection.
        """
        response_headers = {
            name: value
            for name, value in headers
            if name.lower() not in _REPLACED_HEADERS
        }
        response_headers[REQUEST_ID_HEADER] = self.request_id
        response_headers["Cache-Control"] = "no-cache"
        self.response = await self.request.respond(
            status=status, headers=response_headers, content_type="text/event-stream"
        )

    async def send(self, events):
        """Send one or more complete events.

        :param events: The bytes of the events.
        :raises CallerDisconnectedError: The caller has closed its connection.
        """
        try:
            await self.response.send(events)
        except (RequestCancelled, ServerError, ConnectionError) as error:
            raise CallerDisconnectedError from error


async def finish_response(
    sink: CallerSink, answer: Answer, *, is_stream: bool
) -> HTTPResponse | None:
    """Report a request's outcome to its caller.

    :param sink: The sink that sends the response to the caller.
    :param answer: The outcome, with the response's status, headers and body.
    :param is_stream: Whether the caller requested a stream.
    :returns: The response that the HTTP server has yet to send; ``None`` when
        this function has ended a stream.
    """
    if answer.is_streamed and is_stream:
        if sink.response is None:
            await sink.start(answer.status or 200, answer.headers)
        if answer.body:
            await sink.send(answer.body)
        await sink.send(build_final_event(answer, sink.request_id))
        await sink.request.stream.finish_response()
        return None
    return build_response(answer, sink.request_id)


def build_final_event(answer: Answer, request_id: str) -> bytes:
    """Build the final event of a stream, which reports the outcome.

    Only a completed stream ends with the ``[DONE]`` marker. Its outcome is in a
    comment line, which clients that do not look for it ignore.

    :param answer: The outcome.
    :param request_id: The request's id.
    :returns: The bytes of the event.
    """
    if answer.outcome is Outcome.COMPLETED:
        comment = f": outcome={answer.outcome} request-id={request_id}\n"
        return comment.encode() + b"data: [DONE]\n\n"
    body = orjson.dumps(_build_error_document(answer, request_id))
    return b"event: error\ndata: " + body + b"\n\n"


def build_response(answer: Answer, request_id: str) -> HTTPResponse:
    """Build the response to a request that is not streamed or was refused.

    :param answer: The outcome, with the response's status, headers and body.
    :param request_id: The request's id.
    :returns: The HTTP response.
    """
    headers = [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in _REPLACED_HEADERS
    ]
    headers.append((REQUEST_ID_HEADER, request_id))
    headers.append((OUTCOME_HEADER, str(answer.outcome)))
    if answer.reason:
        headers.append((REASON_HEADER, str(answer.reason)))
    if answer.retry_after_s > 0:
        headers.append(("Retry-After", str(math.ceil(answer.retry_after_s))))
    body = answer.body
    if not body and answer.outcome is not Outcome.COMPLETED:
        body = orjson.dumps(_build_error_document(answer, request_id))
    response = HTTPResponse(
        body,
        status=answer.status,
        content_type=_find_content_type(answer),
    )
    for name, value in headers:
        response.headers.add(name, value)
    return response


def build_refusal_answer(refusal: Refusal, status: int) -> Answer:
    """Convert a refusal to the answer that is sent to the caller.

    :param refusal: The refusal.
    :param status: The HTTP status.
    :returns: An answer with the outcome ``NOT_RUN``.
    """
    return Answer(
        outcome=Outcome.NOT_RUN,
        status=status,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
    )


def _find_content_type(answer):
    for name, value in answer.headers:
        if name.lower() == "content-type":
            return value
    return "application/json"


def _build_error_document(answer, request_id):
    reason = str(answer.reason or "")
    return {
        "error": {
            "message": answer.detail or f"{answer.outcome}: {reason}",
            "type": reason,
            "code": reason,
            "outcome": str(answer.outcome),
            "request_id": request_id,
            "retry_after_s": round(answer.retry_after_s, 3),
        }
    }
