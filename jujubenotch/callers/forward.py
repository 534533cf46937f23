"""The callers' HTTP interface that forwards each request by its host and path."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import RequestCancelled, ServerError
from sanic.router import Router

from jujubenotch.callers.app import UNLIMITED_RESPONSE_TIMEOUT_S, CallerLimits
from jujubenotch.callers.forward_errors import build_error_body, handle_error
from jujubenotch.dispatch import (
    Answer,
    Call,
    CallerDisconnectedError,
    Dispatcher,
    bound_deadline,
    dispatch,
)
from jujubenotch.forwarding import (
    ArrivedRequest,
    ConfigurationView,
    admit_request,
)
from jujubenotch.listeners import is_body_at_hand, set_request_limits
from jujubenotch.logs import log_event
from jujubenotch.outcomes import (
    ATTEMPTS_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    Outcome,
    Refusal,
    RefusalReason,
)

logger = logging.getLogger(__name__)

UNAUTHORIZED = 401
FORBIDDEN = 403
NOT_FOUND = 404
SERVICE_UNAVAILABLE = 503
STOPPING_RETRY_AFTER_S = 0.1
# The largest share of a caller's remaining time that a delay may take: a caller
# does not retry if the Retry-After time exceeds this share.
MAX_DELAY_SHARE = 0.3
# The longest time that a request waits at an instance that has just started and has
# not read the configuration yet. Such an instance receives the configuration and the
# list of upstreams within this time.
MAX_STARTUP_WAIT_S = 1.0
_STATUS_BY_REFUSAL = {
    RefusalReason.AUTHENTICATION: UNAUTHORIZED,
    RefusalReason.FORBIDDEN: FORBIDDEN,
    RefusalReason.UNKNOWN_SERVICE: NOT_FOUND,
}


class CatchAllRouter(Router):
    """Routes every request to the only handler, whatever its method and path."""

    def get(self, path, method, host):
        """Return the only route, its handler and no path parameters.

        The handler itself chooses the upstream service from the configuration.

        :param path: Ignored.
        :param method: Ignored.
        :param host: Ignored.
        """
        route = self.routes[0]
        return route, route.handler, {}


class Forwarder(Protocol):
    """The part of the instance that the interface uses."""

    dispatcher: Dispatcher

    def read_configuration_view(self) -> ConfigurationView:
        """Return the current configuration and its age."""

    async def wait_until_loaded(self, wait_s: float) -> None:
        """Wait until the configuration and the list of upstreams have been read.

        :param wait_s: The longest time to wait, in seconds.
        """

    def is_stopping(self) -> bool:
        """Return whether each connection is closed after its next response."""

    def is_refusing_requests(self) -> bool:
        """Return whether the instance refuses all new requests."""

    def record_refusal(self, request_id: str, refusal: Refusal) -> None:
        """Count and log a request that is refused before its dispatch."""


@dataclass(kw_only=True)
class ForwardSink:
    """Sends the head and the body of a streamed response to one caller.

    :param request: The caller's request.
    :param response: The response whose head has been sent; ``None`` before that.

    >>> ForwardSink(request=None).response is None
    True
    """

    request: Request
    response: HTTPResponse | None = None

    async def start(self, status, headers, *, is_framed=True):
        """Send the head of a response.

        :param status: The HTTP status.
        :param headers: The upstream's headers.
        :param is_framed: Whether the response marks the end of its body; if not,
            the body ends when the connection is closed.
        :raises CallerDisconnectedError: The caller has closed its connection.
        """
        head = HTTPResponse(status=status, content_type=None)
        for name, value in headers:
            head.headers.add(name, value)
        if is_framed:
            self.response = await self.request.respond(head)
        else:
            await self.request.stream.respond_unframed(head)
            self.response = head

    async def send(self, events):
        """Send a part of the response's body.

        :param events: The bytes to send.
        :raises CallerDisconnectedError: The caller has closed its connection.
        """
        try:
            await self.response.send(events)
        except (RequestCancelled, ServerError, ConnectionError) as error:
            raise CallerDisconnectedError from error


def build_forward_app(
    name: str,
    forwarder: Forwarder,
    decode_request: Callable[[str, str, list[tuple[str, str]]], ArrivedRequest],
    limits: CallerLimits,
) -> Sanic:
    """Build the callers' interface of an instance that forwards by host and path.

    :param name: The application's name, unique in this process.
    :param forwarder: The part of the instance that the interface uses.
    :param decode_request: Decodes a request from its method, its path with the
        query string, and its headers.
    :param limits: Limits on callers' requests and connections.
    :returns: An application to be served in the daemon's event loop.
    """
    app = Sanic(name, configure_logging=False, router=CatchAllRouter())
    set_request_limits(app, limits, UNLIMITED_RESPONSE_TIMEOUT_S)

    async def forward(request):
        return await _forward(forwarder, decode_request, request)

    # The handler receives the body, once it knows that the request is allowed.
    app.add_route(forward, "/", name="forward", ignore_body=True)
    app.exception(Exception)(handle_error)
    return app


async def _forward(forwarder, decode_request, request):
    arrived = decode_request(
        request.method, request.raw_url.decode("ascii"), list(request.headers.items())
    )
    if forwarder.read_configuration_view().index is None:
        await forwarder.wait_until_loaded(_choose_startup_wait_s(arrived))
    call_or_refusal = await _receive(forwarder, arrived, request)
    if isinstance(call_or_refusal, Refusal):
        forwarder.record_refusal(arrived.request_id, call_or_refusal)
        refusal = _limit_retry_after(call_or_refusal, arrived.wait_s)
        return _close_if_stopping(forwarder, request, build_refusal_response(refusal))
    return await answer_call(forwarder, request, call_or_refusal)


async def answer_call(
    forwarder: Forwarder, request: Request, call: Call
) -> HTTPResponse | None:
    """Run a call and answer the request that it was made from.

    :param forwarder: The part of the instance that the interface uses.
    :param request: The request.
    :param call: The call.
    :returns: The response; ``None`` when it was streamed.
    """
    sink = ForwardSink(request=request)
    call = bound_deadline(forwarder.dispatcher.time_limit, call)
    request.ctx.is_dispatched = True
    try:
        answer = await dispatch(forwarder.dispatcher, call, sink)
    except Exception as error:
        # The listener cuts a response that has begun.
        log_event(
            logger,
            logging.ERROR,
            "dispatch-failed",
            request_id=call.request_id,
            has_begun=sink.response is not None,
            error=f"{type(error).__name__}: {error}",
        )
        raise
    remaining_s = call.deadline_s - asyncio.get_running_loop().time()
    answer.retry_after_s = min(
        answer.retry_after_s, max(0, remaining_s * MAX_DELAY_SHARE)
    )
    response = await _finish_response(sink, answer)
    return _close_if_stopping(forwarder, request, response)


def _choose_startup_wait_s(arrived):
    wait_s = MAX_STARTUP_WAIT_S if arrived.wait_s is None else arrived.wait_s
    return min(MAX_STARTUP_WAIT_S, wait_s * MAX_DELAY_SHARE)


def _limit_retry_after(refusal, remaining_s):
    """Limit the Retry-After time to the share that the caller accepts."""
    if remaining_s is None:
        return refusal
    retry_after_s = min(refusal.retry_after_s, remaining_s * MAX_DELAY_SHARE)
    return replace(refusal, retry_after_s=retry_after_s)


async def _receive(forwarder, arrived, request):
    """Receive the body of a request, unless it is refused before."""
    if not is_body_at_hand(request):
        call_or_refusal = _admit(forwarder, arrived, request)
        if isinstance(call_or_refusal, Refusal):
            return call_or_refusal
    await request.receive_body()
    return _admit(forwarder, arrived, request)


def _admit(forwarder, arrived, request):
    if forwarder.is_refusing_requests():
        return Refusal(
            reason=RefusalReason.SHUTTING_DOWN,
            retry_after_s=STOPPING_RETRY_AFTER_S,
            detail="this instance is shutting down; others serve",
        )
    return admit_request(
        arrived,
        request.body,
        forwarder.read_configuration_view(),
        draw=random.random(),
        now_s=asyncio.get_running_loop().time(),
    )


def _close_if_stopping(forwarder, request, response):
    if forwarder.is_stopping() and request.stream is not None:
        request.stream.keep_alive = False
    return response


async def _finish_response(sink, answer):
    if sink.response is None and answer.is_framed:
        return _build_response(answer)
    if sink.response is None:
        # The body was read to its end, whatever the outcome of the request is.
        await sink.start(answer.status, answer.headers, is_framed=False)
        await sink.response.send(answer.body)
        await sink.request.stream.finish_response()
        return None
    if answer.outcome is Outcome.COMPLETED:
        await sink.request.stream.finish_response()
    else:
        sink.request.stream.cut_response()
    return None


def _build_response(answer: Answer) -> HTTPResponse:
    body = answer.body
    # Only the responses of upstreams have headers.
    is_generated = not (body or answer.headers or answer.outcome is Outcome.COMPLETED)
    if is_generated:
        body = build_error_body(answer.reason, answer.detail)
    response = HTTPResponse(
        body,
        status=answer.status,
        content_type="application/json" if is_generated else None,
    )
    for name, value in answer.headers:
        response.headers.add(name, value)
    if is_generated:
        _add_outcome_headers(response, answer)
    return response


def build_refusal_response(refusal: Refusal) -> HTTPResponse:
    """Build the response to a request that is refused before its dispatch.

    :param refusal: The refusal.
    """
    status = _STATUS_BY_REFUSAL.get(refusal.reason, SERVICE_UNAVAILABLE)
    return _build_response(
        Answer(
            outcome=Outcome.NOT_RUN,
            status=status,
            reason=refusal.reason,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s,
        )
    )


def _add_outcome_headers(response, answer):
    response.headers.add(OUTCOME_HEADER, str(answer.outcome))
    if answer.reason:
        response.headers.add(REASON_HEADER, str(answer.reason))
    if answer.attempts:
        response.headers.add(ATTEMPTS_HEADER, str(answer.attempts))
    if answer.retry_after_s > 0:
        response.headers.add("Retry-After", f"{answer.retry_after_s:.3f}")
