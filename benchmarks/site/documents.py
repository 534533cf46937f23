"""Builds the documents that a site's operators and upstreams write to the store."""

import json
from dataclasses import dataclass, field

from benchmarks.site.model import RouteKind

HOST = "site.example"
SERVICES = ("plain", "model")
REVOCATION_BOUND_S = 5.0
GRACE_S = 8.0
RETRY_RATIO = 0.2
RETRY_EXTRA = 10
RETRY_WINDOW_S = 10.0
TIMEOUT_S = 4.0
MS_PER_S = 1000
SERVICE_BY_KIND = {
    RouteKind.READ: "plain",
    RouteKind.SEND: "plain",
    RouteKind.STREAM: "model",
    RouteKind.RESUME: "model",
}
ROUTE_TYPE_BY_KIND = {
    RouteKind.READ: "idempotent",
    RouteKind.SEND: "non_idempotent",
    RouteKind.STREAM: "streaming",
    RouteKind.RESUME: "streaming",
}
SETTINGS = """node-name={name}
zone={zone}
listen.frontend={host}:8000
listen.ready={host}:8001
platform.address={store_host}:{store_port}
bounds.fail-closed=true
bounds.revoke-ms={revoke_ms:.0f}
bounds.grace-s={grace_s:g}
bounds.retry-ratio={retry_ratio:g}
bounds.retry-extra={retry_extra:g}
bounds.retry-window-s={retry_window_s:g}
bounds.config-ms=3000
bounds.drain-ms=3000
port-range=8100,8115
{data_centres}
"""


@dataclass(kw_only=True)
class Configuration:
    """The operators' configuration, which changes during a run.

    :param keys: The team of each currently valid key.
    :param version: The version that was built last; 0 before the first one.
    :param extra_prefixes: The prefixes of routes added to the initial routes.

    >>> Configuration(keys={"k": "agents"}).version
    0
    """

    keys: dict[str, str]
    version: int = 0
    extra_prefixes: list[str] = field(default_factory=list)


def write_configuration(configuration: Configuration) -> bytes:
    """Build the document of the next version.

    :param configuration: The configuration; its version is increased.
    """
    configuration.version += 3
    routes = [_write_route(kind, f"/{kind}/") for kind in RouteKind]
    routes += [
        _write_route(RouteKind.READ, prefix) for prefix in configuration.extra_prefixes
    ]
    teams = sorted(set(configuration.keys.values()))
    document = {
        "version": configuration.version,
        "routes": routes,
        "services": [
            {"name": name, "health-path": "/h", "max-conns": 200} for name in SERVICES
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 100000,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {
                "name": team,
                "api-keys": sorted(
                    key for key, owner in configuration.keys.items() if owner == team
                ),
            }
            for team in teams
        ],
    }
    return json.dumps(document).encode()


def write_entry(
    *,
    service: str,
    address: str,
    zone: str,
    slots: int,
    is_leaving: bool,
    version: str,
) -> bytes:
    """Build an upstream's entry in the store's list.

    :param address: The upstream's ``host:port``.
    """
    entry = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": version,
        "slots": slots,
        "state": "draining" if is_leaving else "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
    }
    return json.dumps(entry).encode()


def write_settings(
    *, name: str, zone: str, zones: int, host: str, store_host: str, store_port: int
) -> str:
    """Build the content of an instance's settings file.

    :param zones: The number of data centres.
    :param host: The address that the instance listens on.
    :param store_host: The address at which the instance reaches the store.
    :param store_port: The port at which the instance reaches the store.
    """
    return SETTINGS.format(
        name=name,
        zone=zone,
        host=host,
        store_host=store_host,
        store_port=store_port,
        revoke_ms=REVOCATION_BOUND_S * MS_PER_S,
        grace_s=GRACE_S,
        retry_ratio=RETRY_RATIO,
        retry_extra=RETRY_EXTRA,
        retry_window_s=RETRY_WINDOW_S,
        data_centres="\n".join(
            f"zones.zone-{number}=region" for number in range(zones)
        ),
    )


def _write_route(kind, prefix):
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "route-type": ROUTE_TYPE_BY_KIND[kind],
        "timeout-ms": int(TIMEOUT_S * MS_PER_S),
        "target-latency-ms": 400,
        "priority": 1,
        "service": SERVICE_BY_KIND[kind],
        "max-attempts": 2,
        "anonymous": False,
        "stream-resume": kind is RouteKind.RESUME,
    }
