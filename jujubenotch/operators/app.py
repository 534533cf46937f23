"""The Sanic application that serves the operator API."""

import asyncio
import logging
import math

from pydantic import BaseModel
from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import SanicException

from jujubenotch.listeners import set_request_limits
from jujubenotch.logs import log_event
from jujubenotch.operators.apply import apply_records
from jujubenotch.operators.authenticate import check_key
from jujubenotch.operators.convert import convert_records, convert_trace
from jujubenotch.operators.dependencies import OperatorDependencies, OperatorLimits
from jujubenotch.operators.documents import (
    ErrorDocument,
    InstancesDocument,
    UpstreamsDocument,
)
from jujubenotch.operators.drain import drain_upstream
from jujubenotch.operators.errors import (
    MalformedDocumentError,
    NotKnownError,
    OperatorsError,
    WrongKeyError,
)
from jujubenotch.outcomes import ChangeRefusalReason
from jujubenotch.records import RecordKind, copy_replica

logger = logging.getLogger(__name__)

APPLY_TIMEOUT_S = 60
SERVICE_UNAVAILABLE = 503
INTERNAL_SERVER_ERROR = 500
UNAUTHORIZED = 401
STATUS_BY_RESULT = {
    "accepted": 200,
    "unchanged": 200,
    "preview": 200,
    "conflict": 409,
    "invalid": 422,
    "refused": 503,
}


def build_operator_app(
    name: str,
    dependencies: OperatorDependencies,
    limits: OperatorLimits | None = None,
) -> Sanic:
    """Build the application that serves the operator API.

    :param name: The application's name, which must be unique in the process.
    :param dependencies: The parts of the instance that the API uses.
    :param limits: The limits on requests; ``None`` applies the defaults.
    :returns: The application, to be served in the daemon's event loop.
    """
    app = Sanic(name, configure_logging=False)
    limits = limits or OperatorLimits()
    set_request_limits(app, limits, APPLY_TIMEOUT_S)
    _add_command_routes(app, dependencies, limits.max_body_bytes)
    _add_query_routes(app, dependencies)
    _add_monitoring_routes(app, dependencies)

    async def respond_to_error(request, error):
        return _respond_to_error(dependencies, request, error)

    app.exception(Exception)(respond_to_error)
    return app


def _add_command_routes(app, dependencies, max_body_bytes):
    # A streaming handler starts before the request body is read, so that the key
    # is checked first.
    async def serve_apply(request):
        _authenticate(dependencies, request)
        body = await _receive_body(request, max_body_bytes)
        document = await apply_records(dependencies, body)
        status = _choose_status(document)
        return _make_response(document, status, document.retry_after_s)

    async def serve_drain(request, name):
        _authenticate(dependencies, request)
        body = await _receive_body(request, max_body_bytes)
        return _make_response(await drain_upstream(dependencies, name, body))

    app.add_route(
        serve_apply, "/v1/records/apply", methods=["POST"], name="apply", stream=True
    )
    app.add_route(
        serve_drain,
        "/v1/upstreams/<name:str>/drain",
        methods=["POST"],
        name="drain",
        stream=True,
    )


async def _receive_body(request, max_body_bytes):
    # Sanic lifts the limit on the body size for streaming handlers; set it again.
    request.stream.request_max_size = max_body_bytes
    await request.receive_body()
    return request.body


def _add_query_routes(app, dependencies):
    async def serve_records(request):
        _authenticate(dependencies, request)
        return await _list_records(dependencies, request)

    async def serve_status(request):
        _authenticate(dependencies, request)
        return _make_response(dependencies.read_status())

    async def serve_upstreams(request):
        _authenticate(dependencies, request)
        return _make_response(
            UpstreamsDocument(upstreams=dependencies.read_upstreams())
        )

    async def serve_instances(request):
        _authenticate(dependencies, request)
        return _make_response(
            InstancesDocument(instances=dependencies.read_instances())
        )

    async def serve_trace(request, request_id):
        _authenticate(dependencies, request)
        return await _get_trace(dependencies, request_id)

    app.add_route(serve_records, "/v1/records", name="records")
    app.add_route(serve_status, "/v1/status", name="status")
    app.add_route(serve_upstreams, "/v1/upstreams", name="upstreams")
    app.add_route(serve_instances, "/v1/instances", name="instances")
    app.add_route(serve_trace, "/v1/requests/<request_id:str>", name="request")


def _add_monitoring_routes(app, dependencies):
    async def serve_health(request):
        return HTTPResponse("alive\n", content_type="text/plain")

    async def serve_ready(request):
        if dependencies.is_ready():
            return HTTPResponse("ready\n", content_type="text/plain")
        return HTTPResponse(
            "not ready\n", SERVICE_UNAVAILABLE, content_type="text/plain"
        )

    async def serve_metrics(request):
        if dependencies.metrics_need_key:
            _authenticate(dependencies, request)
        accept = request.headers.get("accept", "")
        body, content_type = dependencies.render_metrics(accept)
        return HTTPResponse(body, content_type=content_type)

    app.add_route(serve_health, "/health", name="health")
    app.add_route(serve_ready, "/ready", name="ready")
    app.add_route(serve_metrics, "/metrics", name="metrics")


def _authenticate(dependencies, request):
    try:
        check_key(request, dependencies.read_key_digests())
    except WrongKeyError:
        dependencies.count_authentication_failure()
        raise


async def _list_records(dependencies, request: Request) -> HTTPResponse:
    kind = request.args.get("kind", "")
    name = request.args.get("name", "")
    if kind and kind not in {str(known) for known in RecordKind}:
        raise MalformedDocumentError(
            f"kind: give one of {', '.join(str(known) for known in RecordKind)}"
        )
    replica_copy = copy_replica(dependencies.store.replica)
    document = await asyncio.to_thread(convert_records, replica_copy, kind, name)
    if name and not document.records:
        raise NotKnownError("there is no such record in force")
    return _make_response(document)


async def _get_trace(dependencies, request_id):
    trace = await dependencies.find_trace(request_id)
    if trace is None:
        raise NotKnownError(
            "no instance that can be reached knows this request; only recent "
            "requests are kept"
        )
    return _make_response(convert_trace(trace))


def _choose_status(document):
    if document.reason == ChangeRefusalReason.CHANGE_ID_REUSED:
        return STATUS_BY_RESULT["conflict"]
    return STATUS_BY_RESULT[document.result]


def _make_response(document: BaseModel, status=200, retry_after_s=0.0) -> HTTPResponse:
    headers = {"Cache-Control": "no-store"}
    if retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(retry_after_s))
    if status == UNAUTHORIZED:
        headers["WWW-Authenticate"] = "Bearer"
    return HTTPResponse(
        document.model_dump_json(),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def _respond_to_error(dependencies, request, error):
    if isinstance(error, OperatorsError):
        document = ErrorDocument(reason=error.reason, detail=error.detail)
        return _make_response(document, error.status)
    if isinstance(error, SanicException) and error.status_code < INTERNAL_SERVER_ERROR:
        if request is not None and request.path == "/v1/records/apply":
            dependencies.count_rejection(ChangeRefusalReason.MALFORMED)
        document = ErrorDocument(reason="malformed", detail=str(error))
        return _make_response(document, error.status_code)
    log_event(
        logger, logging.ERROR, "operator-request-failed", error=type(error).__name__
    )
    logger.debug("unhandled exception in the operator API", exc_info=error)
    document = ErrorDocument(
        reason="internal",
        detail="the instance failed on this request; a change may have been made, "
        "so repeat it with the same change id",
    )
    return _make_response(document, INTERNAL_SERVER_ERROR)
