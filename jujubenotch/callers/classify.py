"""Authenticates a caller and converts its request to a call for dispatch."""

import hashlib
from dataclasses import dataclass

from sanic import Request

from jujubenotch.callers.completions import Completion, read_completion
from jujubenotch.callers.errors import RefusedRequestError
from jujubenotch.dispatch import Call, remove_hop_by_hop_headers
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.records import (
    CallerIdentity,
    Configuration,
    UpstreamKind,
    identify_caller,
    is_idempotent,
)

AUTHORIZATION_SCHEME = "bearer "
NON_IDEMPOTENT_HEADER = "X-Non-Idempotent"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_IDEMPOTENCY_KEY_LENGTH = 255
BAD_REQUEST = 400
UNAUTHORIZED = 401
FORBIDDEN = 403
NOT_FOUND = 404
_STATUS_BY_REASON = {
    RefusalReason.AUTHENTICATION: UNAUTHORIZED,
    RefusalReason.FORBIDDEN: FORBIDDEN,
    RefusalReason.NO_BINDING: FORBIDDEN,
}
_DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "cookie",
        "expect",
        "host",
        "idempotency-key",
        "last-event-id",
        "x-non-idempotent",
        "x-request-id",
    }
)


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """The id and arrival time that each request gets, whatever its kind.

    :param arrived_s: Monotonic time of the request's arrival, in seconds.
    """

    request_id: str
    arrived_s: float


def classify_completion(
    request: Request, configuration: Configuration, arrival: Arrival
) -> Call:
    """Convert a completion request to a call.

    :param request: The caller's request.
    :param configuration: The configuration in force.
    :param arrival: The request's id and arrival time.
    :returns: The call.
    :raises RefusedRequestError: The request is refused.
    """
    digest = digest_key(request)
    needs_messages = request.path.endswith("/chat/completions")
    check_key(configuration, digest)
    completion = read_completion(request.body, needs_messages=needs_messages)
    if not is_served(configuration, completion.model, UpstreamKind.MODEL):
        raise RefusedRequestError(
            status=NOT_FOUND,
            reason=RefusalReason.UNKNOWN_MODEL,
            detail="no upstream serves this model; GET /v1/models lists them",
        )
    identity = identify(configuration, digest, completion.model)
    return _make_completion_call(request, identity, arrival, completion)


def classify_service(
    request: Request, configuration: Configuration, arrival: Arrival, name: str
) -> Call:
    """Convert a request to a plain service to a call.

    :param request: The caller's request.
    :param configuration: The configuration in force.
    :param arrival: The request's id and arrival time.
    :param name: The service's name.
    :returns: The call.
    :raises RefusedRequestError: The request is refused.
    """
    digest = digest_key(request)
    check_key(configuration, digest)
    if not is_served(configuration, name, UpstreamKind.SERVICE):
        raise RefusedRequestError(
            status=NOT_FOUND,
            reason=RefusalReason.UNKNOWN_SERVICE,
            detail="no upstream serves a service of this name",
        )
    identity = identify(configuration, digest, name)
    path = request.raw_url.decode("ascii").removeprefix(f"/services/{name}")
    is_request_idempotent = is_idempotent(configuration, name, request.method, path)
    return Call(
        **_build_common_fields(
            request, identity, arrival, is_request_idempotent=is_request_idempotent
        ),
        target=name,
        method=request.method,
        path=path or "/",
        body=request.body,
    )


def digest_key(request: Request) -> str:
    """Compute the digest of the caller's key.

    :param request: The caller's request.
    :returns: The SHA-256 digest in lower-case hexadecimal.
    :raises RefusedRequestError: The request has no key or more than one.
    """
    values = request.headers.getall("authorization", [])
    if len(values) == 1 and values[0].lower().startswith(AUTHORIZATION_SCHEME):
        key = values[0][len(AUTHORIZATION_SCHEME) :].strip()
        return hashlib.sha256(key.encode()).hexdigest()
    raise _build_authentication_error(
        "give the key as one header Authorization: Bearer KEY"
    )


def check_key(configuration: Configuration, digest: str) -> None:
    """Check that a key is known, before the rest of the request is examined.

    :param configuration: The configuration in force.
    :param digest: The key's digest.
    :raises RefusedRequestError: The key is not known.
    """
    found = identify_caller(configuration, digest, "")
    if isinstance(found, Refusal) and found.reason is RefusalReason.AUTHENTICATION:
        raise _build_authentication_error("the key is not known")


def identify(configuration: Configuration, digest: str, target: str) -> CallerIdentity:
    """Find the team, application and service class of a request.

    :param configuration: The configuration in force.
    :param digest: The digest of the caller's key.
    :param target: The model or plain service that the caller requests.
    :returns: The caller's team, application and service class.
    :raises RefusedRequestError: The key is not known, or no binding connects it
        to the target.
    """
    identity = identify_caller(configuration, digest, target)
    if isinstance(identity, Refusal):
        raise RefusedRequestError(
            status=_STATUS_BY_REASON.get(identity.reason, FORBIDDEN),
            reason=identity.reason,
            detail=identity.detail,
        )
    return identity


def is_served(configuration: Configuration, target: str, kind: UpstreamKind) -> bool:
    """Check whether any upstream serves a target.

    :param configuration: The configuration in force.
    :param target: The model or plain service.
    :param kind: The kind of upstream.
    :returns: True if an upstream in any data centre serves the target.
    """
    index = configuration.index
    if kind is UpstreamKind.MODEL:
        return target in index.model_targets
    return target in index.service_targets


def _build_authentication_error(detail):
    return RefusedRequestError(
        status=UNAUTHORIZED, reason=RefusalReason.AUTHENTICATION, detail=detail
    )


def _make_completion_call(request, identity, arrival, completion: Completion):
    tier = identity.service_class.tier
    return Call(
        **_build_common_fields(request, identity, arrival, is_request_idempotent=True),
        target=completion.model,
        method="POST",
        path=request.path,
        body=completion.write_body(tier),
        is_stream=completion.is_stream,
        expected_tokens=completion.expected_tokens,
        prefix_key=completion.prefix_key,
    )


def _build_common_fields(request, identity, arrival, *, is_request_idempotent):
    is_marked_non_idempotent = (
        request.headers.get(NON_IDEMPOTENT_HEADER, "").lower() == "true"
    )
    headers = tuple(
        (name, value)
        for name, value in remove_hop_by_hop_headers(request.headers.items())
        if name.lower() not in _DROPPED_HEADERS
    )
    return {
        "request_id": arrival.request_id,
        "arrived_s": arrival.arrived_s,
        "team": identity.team,
        "service_class": identity.service_class,
        "headers": headers,
        "is_idempotent": is_request_idempotent
        and identity.service_class.idempotent
        and not is_marked_non_idempotent,
        "idempotency_key": _read_idempotency_key(request),
    }


def _read_idempotency_key(request):
    values = request.headers.getall(IDEMPOTENCY_KEY_HEADER, [])
    if not values:
        return ""
    key = values[0].strip()
    if len(values) > 1 or not key or len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        raise RefusedRequestError(
            status=BAD_REQUEST,
            reason=RefusalReason.MALFORMED,
            detail=f"{IDEMPOTENCY_KEY_HEADER}: give one value of 1 to "
            f"{MAX_IDEMPOTENCY_KEY_LENGTH} characters",
        )
    return key
