"""Keeps the origins of streams, by the request that brought the first event."""

from dataclasses import dataclass, field

# At about 300 bytes an entry the table stays below 10 MB.
MAX_ORIGINS = 30_000
# Longer than a stream and the time within which its caller resumes it.
ORIGIN_LIFETIME_S = 120.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamOrigin:
    """The service and the software version of the upstream that began a stream.

    Versions of two services have no relation, even if their texts are equal.
    """

    service: str
    software_version: str


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownOrigin:
    """An origin, and when this instance came to know it, in seconds."""

    origin: StreamOrigin
    known_s: float


@dataclass(kw_only=True)
class OriginTable:
    """The known origins, the oldest first.

    >>> find_origin(OriginTable(), "8f3a", now_s=0.0)
    """

    origins: dict[str, KnownOrigin] = field(default_factory=dict)


def remember_origin(
    table: OriginTable, request_id: str, origin: StreamOrigin, *, now_s: float
) -> bool:
    """Keep the origin of a stream, unless it is known.

    A stream has one origin, so the first one that is known stays.

    :param table: The known origins; changed in place.
    :param request_id: The request that brought the first event.
    :param origin: Where the stream began.
    :param now_s: The present time, in seconds.
    :returns: Whether the origin was unknown.
    """
    _drop_expired(table, now_s)
    if request_id in table.origins:
        return False
    if len(table.origins) >= MAX_ORIGINS:
        del table.origins[next(iter(table.origins))]
    table.origins[request_id] = KnownOrigin(origin=origin, known_s=now_s)
    return True


def find_origin(
    table: OriginTable, request_id: str, *, now_s: float
) -> KnownOrigin | None:
    """Find the origin of a stream.

    :param table: The known origins.
    :param request_id: The request that brought the first event.
    :param now_s: The present time, in seconds.
    :returns: The origin; ``None`` when it is unknown.
    """
    known = table.origins.get(request_id)
    if known is None or now_s - known.known_s > ORIGIN_LIFETIME_S:
        return None
    return known


def find_origins_of(
    table: OriginTable, service: str, *, since_s: float
) -> dict[str, StreamOrigin]:
    """Find the origins of the streams of a service.

    :param table: The known origins.
    :param service: The service.
    :param since_s: Origins that are known for longer are left out, in seconds.
    :returns: The origins by request.
    """
    return {
        request_id: known.origin
        for request_id, known in table.origins.items()
        if known.origin.service == service and known.known_s >= since_s
    }


def _drop_expired(table, now_s):
    while table.origins:
        oldest = next(iter(table.origins))
        if now_s - table.origins[oldest].known_s <= ORIGIN_LIFETIME_S:
            return
        del table.origins[oldest]
