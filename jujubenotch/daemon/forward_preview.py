"""Answers where a request would go now, and why, on the listener for metrics."""

import asyncio
import logging
import math
import random
from collections.abc import Callable

from pydantic import ValidationError
from sanic import HTTPResponse, Request

from jujubenotch.daemon.forward_parts import ForwardingInstance
from jujubenotch.dispatch import Call, Progress, make_work_request
from jujubenotch.forwarding import (
    ArrivedRequest,
    admit_request,
    preview_choice,
    read_boot_clock_s,
)
from jujubenotch.logs import log_event
from jujubenotch.operators import (
    ErrorDocument,
    PreviewCandidate,
    PreviewRequest,
    PreviewResponse,
)
from jujubenotch.outcomes import Refusal
from jujubenotch.work import Grant, describe_basis

logger = logging.getLogger(__name__)

PREVIEW_PATH = "/v1/preview"
BAD_REQUEST = 400

DecodeRequest = Callable[[str, str, list[tuple[str, str]]], ArrivedRequest]


async def answer_preview(
    instance: ForwardingInstance, decode_request: DecodeRequest, request: Request
) -> HTTPResponse:
    """Answer a request for a preview.

    :param instance: The instance; it isn't changed.
    :param decode_request: Decodes the method, target and headers of a request.
    :param request: The operator's request.
    """
    try:
        wanted = PreviewRequest.model_validate_json(request.body)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        detail = f"{'.'.join(str(part) for part in first['loc'])}: {first['msg']}"
        return _respond(ErrorDocument(reason="invalid", detail=detail), BAD_REQUEST)
    headers = [(name.lower(), value) for name, value in wanted.headers.items()]
    arrived = decode_request(wanted.method.upper(), wanted.target, headers)
    response = await make_preview(instance, arrived)
    log_event(
        logger,
        logging.INFO,
        "request-previewed",
        host=arrived.host,
        service=response.service,
        upstream=response.upstream,
        reason=response.reason,
    )
    return _respond(response, 200)


def _respond(document, status):
    return HTTPResponse(
        document.model_dump_json().encode(),
        status=status,
        content_type="application/json",
    )


async def make_preview(
    instance: ForwardingInstance, arrived: ArrivedRequest
) -> PreviewResponse:
    """Decide on a request as if a caller had sent it now.

    :param instance: The instance; it isn't changed.
    :param arrived: The request.
    """
    view = instance.read_configuration_view()
    now_s = asyncio.get_running_loop().time()
    known = {
        "configuration_version": view.index.configuration.version if view.index else 0,
        "configuration_age_s": min(view.age_s, 1e9),
    }
    call = admit_request(arrived, b"", view, draw=random.random(), now_s=now_s)
    if isinstance(call, Refusal):
        return PreviewResponse(**known, **_describe_refusal(call))
    preview = await preview_choice(
        instance.dispatcher.capacity,
        instance.state.listing,
        make_work_request(call, Progress()),
        now_s=now_s,
        listing_s=read_boot_clock_s(),
    )
    return PreviewResponse(
        **known,
        **_describe_call(call),
        **_describe_result(preview.result),
        candidates=tuple(_convert(each) for each in preview.candidates),
    )


def _describe_call(call: Call):
    return {
        "route": call.service_class.name,
        "service": call.target,
        "team": call.team.name,
        "tier": call.service_class.tier,
    }


def _describe_result(result: Grant | Refusal):
    if isinstance(result, Refusal):
        return _describe_refusal(result)
    return {"upstream": result.upstream, "basis": describe_basis(result.basis)}


def _describe_refusal(refusal):
    return {
        "reason": str(refusal.reason),
        "detail": refusal.detail,
        "retry_after_s": refusal.retry_after_s,
    }


def _convert(candidate):
    fields = {
        name: getattr(candidate, name)
        for name in PreviewCandidate.model_fields
        if name != "held_s"
    }
    held_s = candidate.held_s
    return PreviewCandidate(**fields, held_s=None if math.isinf(held_s) else held_s)
