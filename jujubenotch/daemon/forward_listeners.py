"""The listeners of an instance that routes requests by host and path."""

import logging
import socket

from sanic import HTTPResponse, Sanic

from jujubenotch.callers import (
    CallerLimits,
    build_borrowed_app,
    build_forward_app,
)
from jujubenotch.daemon.forward_limits import (
    STATUS_TIMEOUT_S,
    make_caller_limits,
    make_help_limits,
    make_status_limits,
)
from jujubenotch.daemon.forward_parts import ForwardingInstance, PlatformComponents
from jujubenotch.daemon.forward_preview import PREVIEW_PATH, answer_preview
from jujubenotch.daemon.forward_state import attach_callers_app, is_ready
from jujubenotch.daemon.forward_streams import is_listed
from jujubenotch.detour import MAX_DOCUMENT_BYTES
from jujubenotch.listeners import bind_socket, set_request_limits, start_listener
from jujubenotch.logs import log_event
from jujubenotch.metrics import render
from jujubenotch.sockets import ListenerError

logger = logging.getLogger(__name__)

SERVICE_UNAVAILABLE = 503
# The largest body that the interfaces for readiness, metrics and previews accept.
MAX_STATUS_BODY_BYTES = 64 * 1024


async def start_listeners(
    instance: ForwardingInstance,
    components: PlatformComponents,
    callers_socket: socket.socket,
) -> None:
    """Start the listeners for callers, readiness and metrics.

    :param instance: The instance; the new listeners are appended to its list,
        the callers' listener first.
    :param components: The components that are specific to the platform.
    :param callers_socket: A listening socket, bound to the callers' address.
    :raises ListenerError: A listener can't bind its address.
    """
    settings = instance.settings
    limits = make_caller_limits(instance)
    callers = build_forward_app(
        "callers",
        instance,
        components.decode_request,
        _make_caller_limits(instance.state.bounds),
    )
    attach_callers_app(instance.state, callers, limits)
    instance.listeners.append(
        await start_listener(callers, callers_socket, None, limits)
    )
    await _start_help_listener(instance)
    for name, address, make_response in (
        ("readiness", settings.readiness, _make_readiness_response),
        ("metrics", settings.metrics, _make_metrics_response),
    ):
        if address is None:
            continue
        app = _build_status_app(name, instance, make_response)
        if name == "metrics":
            _add_preview(app, instance, components.decode_request)
        bound_socket = bind_socket(address.host, address.port)
        limits = make_status_limits(instance, name)
        listener = await start_listener(app, bound_socket, None, limits)
        instance.listeners.append(listener)


async def _start_help_listener(instance):
    """Start the listener for other instances, at the address of the endpoint."""
    address = instance.settings.neighbours
    if address is None:
        return
    limits = _make_caller_limits(instance.state.bounds, extra_bytes=MAX_DOCUMENT_BYTES)
    app = build_borrowed_app(
        "borrowed",
        instance,
        lambda host: is_listed(instance.stream_watch, host),
        limits,
    )
    try:
        bound_socket = bind_socket(address.host, address.port)
    except ListenerError as error:
        log_event(logger, logging.ERROR, "help-unavailable", error=str(error))
        return
    listener_limits = make_help_limits(instance)
    instance.help_listener = await start_listener(
        app, bound_socket, None, listener_limits
    )


def _make_caller_limits(bounds, extra_bytes=0):
    return CallerLimits(
        max_body_bytes=bounds.max_body_bytes + extra_bytes,
        max_header_bytes=bounds.max_header_bytes,
        body_timeout_s=bounds.header_timeout_s,
        idle_timeout_s=bounds.idle_timeout_s,
    )


def _build_status_app(name, instance, make_response):
    app = Sanic(name, configure_logging=False)
    limits = CallerLimits(
        max_body_bytes=MAX_STATUS_BODY_BYTES,
        body_timeout_s=STATUS_TIMEOUT_S,
    )
    set_request_limits(app, limits, STATUS_TIMEOUT_S)

    async def serve(request, path=""):
        return make_response(instance)

    app.add_route(serve, "/<path:path>", methods=["GET"], name=name)
    return app


def _add_preview(app, instance, decode_request):
    """Answer previews beside the metrics, where operators reach the instance."""

    async def preview(request):
        return await answer_preview(instance, decode_request, request)

    app.add_route(preview, PREVIEW_PATH, methods=["POST"], name="preview")


def _make_readiness_response(instance):
    accepts_callers = not instance.is_stopping() and is_ready(
        instance.state, instance.read_configuration_view()
    )
    return HTTPResponse(b"", status=200 if accepts_callers else SERVICE_UNAVAILABLE)


def _make_metrics_response(instance):
    body, content_type = render(instance.observer.metrics)
    return HTTPResponse(body, content_type=content_type)
