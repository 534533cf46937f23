"""The interface for other instances that reach no upstream themselves."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

from sanic import Request, Sanic

from jujubenotch.callers.app import UNLIMITED_RESPONSE_TIMEOUT_S, CallerLimits
from jujubenotch.callers.forward import (
    STOPPING_RETRY_AFTER_S,
    CatchAllRouter,
    Forwarder,
    answer_call,
    build_refusal_response,
)
from jujubenotch.callers.forward_errors import handle_error
from jujubenotch.detour import BorrowedCallError, decode_call
from jujubenotch.listeners import set_request_limits
from jujubenotch.logs import log_event
from jujubenotch.outcomes import (
    OUTCOME_HEADER,
    REQUEST_HEADER,
    Refusal,
    RefusalReason,
)

logger = logging.getLogger(__name__)

# Bounds the memory and the connections that the calls of others take here.
MAX_BORROWED = 256
BUSY_RETRY_AFTER_S = 0.3


class Helper(Forwarder, Protocol):
    """The part of the instance that the interface uses.

    :param borrowed: The number of calls of other instances that are in progress.
    """

    borrowed: int


def build_borrowed_app(
    name: str,
    helper: Helper,
    is_known: Callable[[str], Awaitable[bool]],
    limits: CallerLimits,
) -> Sanic:
    """Build the interface for the calls of other instances.

    :param name: The application's name, unique in this process.
    :param helper: The part of the instance that the interface uses.
    :param is_known: Tells whether an IP address is that of a listed instance.
    :param limits: Limits on requests and connections.
    :returns: An application to be served in the daemon's event loop.
    """
    app = Sanic(name, configure_logging=False, router=CatchAllRouter())
    set_request_limits(app, limits, UNLIMITED_RESPONSE_TIMEOUT_S)

    async def serve(request: Request):
        return _name_request(request, await _serve(helper, is_known, request))

    async def answer_error(request, error):
        return _name_request(request, await handle_error(request, error))

    app.add_route(serve, "/", name="borrowed")
    app.exception(Exception)(answer_error)
    return app


def _name_request(request, response):
    """Name the request in a response that this instance made itself."""
    is_own = response is not None and OUTCOME_HEADER in response.headers
    if is_own and request is not None:
        response.headers[REQUEST_HEADER] = request.headers.get(REQUEST_HEADER, "")
    return response


async def _serve(helper, is_known, request):
    refusal = await _find_refusal(helper, is_known, request)
    if refusal is not None:
        return build_refusal_response(refusal)
    try:
        call = decode_call(request.body, asyncio.get_running_loop().time())
    except BorrowedCallError as error:
        log_event(
            logger,
            logging.WARNING,
            "borrowed-call-invalid",
            sender=request.ip,
            error=str(error),
        )
        return build_refusal_response(
            Refusal(
                reason=RefusalReason.MALFORMED,
                retry_after_s=0.0,
                detail=str(error),
            )
        )
    log_event(
        logger,
        logging.INFO,
        "request-borrowed",
        request_id=call.request_id,
        sender=request.ip,
        service=call.target,
        borrowed=helper.borrowed,
        left_s=round(call.deadline_s - call.arrived_s, 3),
    )
    helper.borrowed += 1
    try:
        return await answer_call(helper, request, call)
    finally:
        helper.borrowed -= 1


async def _find_refusal(helper, is_known, request):
    if helper.is_refusing_requests():
        return Refusal(
            reason=RefusalReason.SHUTTING_DOWN,
            retry_after_s=STOPPING_RETRY_AFTER_S,
            detail="this instance is shutting down; ask another one",
        )
    if helper.borrowed >= MAX_BORROWED:
        return Refusal(
            reason=RefusalReason.QUEUE_FULL,
            retry_after_s=BUSY_RETRY_AFTER_S,
            detail=f"{MAX_BORROWED} calls of others are in progress; ask another one",
        )
    if await is_known(request.ip):
        return None
    log_event(logger, logging.WARNING, "borrowed-call-refused", sender=request.ip)
    return Refusal(
        reason=RefusalReason.FORBIDDEN,
        retry_after_s=0.0,
        detail="the sender isn't a listed instance",
    )
