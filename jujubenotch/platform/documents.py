"""Validates the platform's documents and converts them to internal types."""

import hashlib
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    AliasChoices,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)

from jujubenotch.forwarding import (
    CallerBounds,
    EngineLimits,
    HostRoute,
    ListedUpstream,
    RouteKind,
    Service,
    ServiceScaling,
    ServiceShare,
    SiteConfiguration,
    TeamKeys,
)
from jujubenotch.platform.addresses import is_address
from jujubenotch.platform.units import MS_PER_S

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}

MAX_VERSION_LENGTH = 64

Text = Annotated[str, Field(min_length=1)]


def _check_address(text):
    if not is_address(text):
        raise ValueError("it is no IP address with a port")
    return text


AddressText = Annotated[
    str,
    Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"),
    AfterValidator(_check_address),
]
# Larger numbers overflow when they are divided or added up.
MAX_NUMBER = 2**53
Count = Annotated[int, Field(ge=0, le=MAX_NUMBER)]
Duration = Annotated[float, Field(ge=0, le=MAX_NUMBER, allow_inf_nan=False)]


def _make_wire_name(name):
    return name.replace("_", "-")


class WireDocument(BaseModel):
    """A document with the platform's hyphenated field names."""

    model_config = ConfigDict(
        alias_generator=_make_wire_name, extra="ignore", strict=True
    )


class BackendDocument(WireDocument):
    """A service that a route forwards to, and the weight of its share."""

    service: Text
    weight: Duration


class RouteDocument(WireDocument):
    """A route.

    ``route_type`` tells whether requests may be repeated and whether responses
    are streamed. ``anonymous`` means that callers need no key. ``gap_target_ms``
    is the target for the longest pause between two events.
    """

    name: Text
    host: Text
    prefix: Text
    route_type: Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: Duration
    target_latency_ms: Duration = 0
    priority: Count = 5
    service: str | None = None
    backends: list[BackendDocument] = []
    max_attempts: Count = 1
    anonymous: bool = False
    stream_resume: bool = False
    gap_target_ms: Duration = 0


class EngineDocument(WireDocument):
    """The capacity of an upstream that runs a model engine."""

    slots: Count
    kv_capacity: Count


class ScalingDocument(WireDocument):
    """The limits of orders of upstreams; ``spot_price`` is absent without spots."""

    min_replicas: Count = 0
    max_replicas: Count
    boot_s: Duration
    spot_price: Duration | None = None
    zone_prices: dict[str, Duration] = {}


class ServiceDocument(WireDocument):
    """A service; ``engine`` is absent for a service without a model engine.

    ``scaling`` is validated separately, so that limits that can't be read don't
    invalidate the routes.
    """

    name: Text
    max_conns: Count = 100
    engine: EngineDocument | None = None
    scaling: Any = None


class LimitsDocument(WireDocument):
    """Limits on the requests of callers."""

    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_ms: Duration
    idle_timeout_ms: Duration


class TenantDocument(WireDocument):
    """A team and its API keys."""

    name: Text
    api_keys: list[str] = []
    priority: Annotated[int, Field(ge=-MAX_NUMBER, le=MAX_NUMBER)] | None = None


class ConfigurationDocument(WireDocument):
    """The complete configuration."""

    version: Annotated[int, Field(ge=-MAX_NUMBER, le=MAX_NUMBER)]
    routes: list[RouteDocument] = []
    services: list[ServiceDocument] = []
    limits: LimitsDocument | None = None
    tenants: list[TenantDocument] = []


class ServerDocument(WireDocument):
    """An upstream's entry in the platform's list.

    ``cold_remaining_ms`` is the remaining time during which the upstream is slow
    after its start. ``born`` is the Unix time of its start in milliseconds.
    ``version`` is the version of its software, in no order. ``leaves_ms`` is the time
    left until a preemptible upstream is reclaimed.
    """

    service: Text
    address: AddressText
    zone: Text
    slots: Annotated[int, Field(ge=1, le=MAX_NUMBER)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Duration = 0
    born: Count = 0
    version: str = ""
    preemptible: bool = False
    leaves_ms: Duration | None = Field(
        default=None, validation_alias=AliasChoices("leaves_ms", "leaves-ms")
    )


def decode_configuration(content: bytes) -> SiteConfiguration | None:
    """Decode the row that holds the configuration.

    :param content: The row's value.
    :returns: The configuration; ``None`` when the value is invalid.
    """
    try:
        document = ConfigurationDocument.model_validate_json(content)
    except ValidationError:
        return None
    return SiteConfiguration(
        version=document.version,
        routes=tuple(_convert_route(route) for route in document.routes),
        services={each.name: _convert_service(each) for each in document.services},
        teams=tuple(
            TeamKeys(
                name=tenant.name,
                keys=tuple(tenant.api_keys),
                priority=tenant.priority,
            )
            for tenant in document.tenants
        ),
        bounds=_convert_limits(document.limits),
    )


def decode_upstream(name: str, content: bytes) -> ListedUpstream | None:
    """Decode an upstream's row.

    :param name: The row's key.
    :param content: The row's value.
    :returns: The entry; ``None`` when the value is invalid.
    """
    try:
        document = ServerDocument.model_validate_json(content)
    except ValidationError:
        return None
    return ListedUpstream(
        name=name,
        service=document.service,
        address=document.address,
        data_centre=document.zone,
        slots=document.slots,
        is_leaving=document.state == "draining",
        warming_s=document.cold_remaining_ms / MS_PER_S,
        started_ms=document.born,
        software_version=_shorten_version(document.version),
        is_preemptible=document.preemptible,
        leaves_s=(
            None if document.leaves_ms is None else document.leaves_ms / MS_PER_S
        ),
    )


def _shorten_version(version):
    """Replace a long version by its digest, so that messages can contain it."""
    if len(version) <= MAX_VERSION_LENGTH:
        return version
    digest = hashlib.blake2b(version.encode(errors="surrogatepass"), digest_size=16)
    return f"digest-{digest.hexdigest()}"


def _convert_route(document):
    shares = [
        ServiceShare(service=share.service, weight=share.weight)
        for share in document.backends
    ]
    if document.service:
        shares = [ServiceShare(service=document.service)]
    return HostRoute(
        name=document.name,
        host=document.host.lower(),
        prefix=document.prefix,
        kind=ROUTE_KINDS[document.route_type],
        shares=tuple(shares),
        timeout_s=document.timeout_ms / MS_PER_S,
        target_s=document.target_latency_ms / MS_PER_S,
        priority=document.priority,
        max_attempts=max(1, document.max_attempts),
        allows_anonymous=document.anonymous,
        is_resumable=document.stream_resume,
        event_gap_target_s=document.gap_target_ms / MS_PER_S,
    )


def _convert_service(document):
    engine = None
    if document.engine is not None:
        engine = EngineLimits(
            slots=document.engine.slots, cache_tokens=document.engine.kv_capacity
        )
    return Service(
        name=document.name,
        max_connections=document.max_conns,
        engine=engine,
        scaling=_convert_scaling(document.scaling),
    )


def _convert_scaling(content):
    """Convert the limits of orders; without readable ones nothing is ordered."""
    if content is None:
        return None
    try:
        document = ScalingDocument.model_validate(content)
    except ValidationError:
        return None
    if document.min_replicas > document.max_replicas:
        return None
    return ServiceScaling(
        min_upstreams=document.min_replicas,
        max_upstreams=document.max_replicas,
        boot_s=document.boot_s,
        preemptible_price=document.spot_price,
        data_centre_prices=document.zone_prices,
    )


def _convert_limits(document):
    if document is None:
        return CallerBounds()
    return CallerBounds(
        max_header_bytes=document.max_header_bytes,
        max_body_bytes=document.max_body_bytes,
        header_timeout_s=document.header_timeout_ms / MS_PER_S,
        idle_timeout_s=document.idle_timeout_ms / MS_PER_S,
    )
