"""The callers' HTTP interface for completions, models and plain services."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import json as json_response

from jujubenotch.callers.answers import (
    CallerSink,
    build_refusal_answer,
    build_response,
    finish_response,
)
from jujubenotch.callers.classify import (
    Arrival,
    check_key,
    classify_completion,
    classify_service,
    digest_key,
)
from jujubenotch.callers.errors import RefusedRequestError
from jujubenotch.dispatch import CallerDisconnectedError, Dispatcher, dispatch
from jujubenotch.listeners import set_request_limits
from jujubenotch.logs import log_event
from jujubenotch.outcomes import Outcome, Refusal, RefusalReason
from jujubenotch.records import Configuration

logger = logging.getLogger(__name__)

SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS")
# One year, which disables Sanic's response timeout in practice.
UNLIMITED_RESPONSE_TIMEOUT_S = 365 * 24 * 3600
OTHER_INSTANCE_RETRY_AFTER_S = 1.0
SERVICE_UNAVAILABLE = 503
INTERNAL_SERVER_ERROR = 500
_REASON_BY_STATUS = {
    401: RefusalReason.AUTHENTICATION,
    403: RefusalReason.FORBIDDEN,
    413: RefusalReason.BODY_TOO_LARGE,
}


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits on callers' requests and connections.

    :param body_timeout_s: The longest pause between received bytes of a
        request's head (Sanic's request timeout).
    :param idle_timeout_s: How long a connection may stay idle before it is closed.

    >>> CallerLimits(max_body_bytes=1000).max_header_bytes
    16384
    """

    max_body_bytes: int = 8 * 1024 * 1024
    max_header_bytes: int = 16 * 1024
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@dataclass(frozen=True, kw_only=True)
class CallerDependencies:
    """The parts of the instance that the callers' interface uses.

    :param make_request_id: Returns a new id that is unique across all instances.
    :param is_stopping: Returns whether the instance refuses all new requests
        because it is shutting down.
    :param are_records_loaded: Returns whether the instance has loaded the records;
        before that it cannot distinguish a valid key from an invalid one.
    :param count_refusal: Counts a request that is refused before its dispatch.
    """

    dispatcher: Dispatcher
    read_configuration: Callable[[], Configuration]
    make_request_id: Callable[[], str]
    is_stopping: Callable[[], bool]
    are_records_loaded: Callable[[], bool]
    count_refusal: Callable[[RefusalReason], None]


def build_caller_app(
    name: str, dependencies: CallerDependencies, limits: CallerLimits
) -> Sanic:
    """Build the callers' interface.

    :param name: The application's name, unique in this process.
    :param dependencies: The parts of the instance that the interface uses.
    :param limits: Limits on callers' requests and connections.
    :returns: An application to be served in the daemon's event loop.
    """
    app = Sanic(name, configure_logging=False)
    # The service class's deadline limits each request. Sanic's own response
    # timeout would cancel the request and send a response without an outcome.
    set_request_limits(app, limits, UNLIMITED_RESPONSE_TIMEOUT_S)

    async def serve_completion(request):
        return await _serve(dependencies, request, classify_completion)

    async def serve_service(request, name, path=""):
        def classify(request, configuration, arrival):
            return classify_service(request, configuration, arrival, name)

        return await _serve(dependencies, request, classify)

    async def list_models(request):
        return _list_models(dependencies, request)

    async def handle_error(request, error):
        return _handle_error(dependencies, error)

    app.add_route(
        serve_completion, "/v1/chat/completions", methods=["POST"], name="chat"
    )
    app.add_route(
        serve_completion, "/v1/completions", methods=["POST"], name="completions"
    )
    app.add_route(list_models, "/v1/models", methods=["GET"], name="models")
    app.add_route(
        serve_service, "/services/<name:str>", methods=SERVICE_METHODS, name="service"
    )
    app.add_route(
        serve_service,
        "/services/<name:str>/<path:path>",
        methods=SERVICE_METHODS,
        name="service_path",
    )
    app.exception(Exception)(handle_error)
    return app


async def _serve(dependencies, request, classify):
    arrival = Arrival(
        request_id=dependencies.make_request_id(),
        arrived_s=asyncio.get_running_loop().time(),
    )
    sink = CallerSink(request=request, request_id=arrival.request_id)
    try:
        _check_accepting_requests(dependencies)
        call = classify(request, dependencies.read_configuration(), arrival)
    except RefusedRequestError as error:
        return _refuse(dependencies, error, arrival.request_id)
    answer = await dispatch(dependencies.dispatcher, call, sink)
    try:
        return await finish_response(sink, answer, is_stream=call.is_stream)
    except CallerDisconnectedError:
        return None


def _check_accepting_requests(dependencies):
    if dependencies.is_stopping():
        raise RefusedRequestError(
            status=SERVICE_UNAVAILABLE,
            reason=RefusalReason.SHUTTING_DOWN,
            detail="this instance is shutting down; the balancer knows others",
        )
    if not dependencies.are_records_loaded():
        raise RefusedRequestError(
            status=SERVICE_UNAVAILABLE,
            reason=RefusalReason.STARTING,
            detail="this instance does not know the records yet; come back",
        )


def _refuse(dependencies, error, request_id):
    refusal = error.refusal
    dependencies.count_refusal(refusal.reason)
    log_event(
        logger,
        logging.INFO,
        "request-refused",
        request_id=request_id,
        reason=refusal.reason,
    )
    response = build_response(build_refusal_answer(refusal, error.status), request_id)
    if refusal.reason in (RefusalReason.SHUTTING_DOWN, RefusalReason.STARTING):
        response.headers["Retry-After"] = str(int(OTHER_INSTANCE_RETRY_AFTER_S))
        response.headers["Connection"] = "close"
    return response


def _list_models(dependencies, request: Request) -> HTTPResponse:
    configuration = dependencies.read_configuration()
    try:
        _check_accepting_requests(dependencies)
        check_key(configuration, digest_key(request))
    except RefusedRequestError as error:
        return _refuse(dependencies, error, dependencies.make_request_id())
    models = [
        {"id": name, "object": "model", "created": 0, "owned_by": "site"}
        for name in sorted(configuration.index.model_targets)
    ]
    return json_response({"object": "list", "data": models})


def _handle_error(dependencies, error):
    request_id = dependencies.make_request_id()
    status = INTERNAL_SERVER_ERROR
    if isinstance(error, SanicException):
        status = error.status_code
    if status >= INTERNAL_SERVER_ERROR:
        log_event(
            logger,
            logging.ERROR,
            "request-failed",
            request_id=request_id,
            error=type(error).__name__,
        )
        logger.debug("traceback", exc_info=error)
        return build_response(_build_unknown_answer(status), request_id)
    reason = _REASON_BY_STATUS.get(status, RefusalReason.MALFORMED)
    dependencies.count_refusal(reason)
    detail = str(error) if isinstance(error, SanicException) else ""
    refusal = Refusal(reason=reason, retry_after_s=0.0, detail=detail)
    return build_response(build_refusal_answer(refusal, status), request_id)


def _build_unknown_answer(status):
    answer = build_refusal_answer(
        Refusal(reason=RefusalReason.MALFORMED, retry_after_s=0.0), status
    )
    answer.outcome = Outcome.UNKNOWN
    answer.reason = None
    answer.detail = "the instance failed on this request"
    return answer
