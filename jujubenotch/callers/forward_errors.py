"""The responses to requests whose handling raised an error."""

import logging

import orjson
from sanic import HTTPResponse, Request
from sanic.exceptions import RequestCancelled, SanicException

from jujubenotch.logs import log_event
from jujubenotch.outcomes import OUTCOME_HEADER, Outcome

logger = logging.getLogger(__name__)

INTERNAL_SERVER_ERROR = 500
BAD_GATEWAY = 502


def build_error_body(reason: str | None, detail: str) -> bytes:
    """Build the body of a response that this instance makes itself.

    :param reason: The reason; ``None`` when it is not known.
    :param detail: What a caller can do.
    """
    return orjson.dumps({"error": str(reason or "unknown"), "detail": detail})


async def handle_error(request: Request | None, error: Exception) -> HTTPResponse:
    """Build the response to a request whose handling raised an error.

    :param request: The request; ``None`` when its head could not be read.
    :param error: The error.
    """
    is_dispatched = request is not None and hasattr(request.ctx, "is_dispatched")
    status = choose_error_status(error, is_dispatched=is_dispatched)
    if status >= INTERNAL_SERVER_ERROR and not isinstance(error, RequestCancelled):
        log_event(
            logger,
            logging.ERROR,
            "request-failed",
            error=f"{type(error).__name__}: {error}",
        )
        logger.debug("traceback", exc_info=error)
    outcome = Outcome.UNKNOWN if is_dispatched else Outcome.NOT_RUN
    return HTTPResponse(
        build_error_body(type(error).__name__, ""),
        status=status,
        headers={OUTCOME_HEADER: str(outcome), **getattr(error, "headers", {})},
        content_type="application/json",
    )


def choose_error_status(error: Exception, *, is_dispatched: bool) -> int:
    """Choose the HTTP status for a request whose handling raised an error.

    :param error: The error.
    :param is_dispatched: Whether the request may have been sent to an upstream. Then
        the HTTP server's status, which may promise that it was not run, isn't used.
    """
    if not isinstance(error, SanicException):
        return INTERNAL_SERVER_ERROR
    return BAD_GATEWAY if is_dispatched else error.status_code
