"""Index for looking up records by the properties of a request."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from jujubenotch.records.upstream_kind import UpstreamKind

if TYPE_CHECKING:
    from jujubenotch.records.model import Application, Binding, Configuration, Route


@dataclass(frozen=True, kw_only=True)
class LookupIndex:
    """Mappings from the properties of a request to records.

    :param application_by_digest: Applications by the digest of their API key.
    :param bindings: Bindings by team, application and target; an empty
        application or target means all of them.
    :param routes: Routes by plain service, the most specific first.
    :param model_targets: The models that at least one upstream serves.
    :param service_targets: The plain services that at least one upstream
        serves.
    """

    application_by_digest: dict[str, "Application"]
    bindings: dict[tuple[str, str, str], "Binding"]
    routes: dict[str, list["Route"]]
    model_targets: frozenset[str]
    service_targets: frozenset[str]


def build_index(configuration: "Configuration") -> LookupIndex:
    """Build the lookup index of a configuration.

    :param configuration: The configuration.
    :returns: The index.
    """
    applications = configuration.applications.values()
    bindings = configuration.bindings.values()
    routes: dict[str, list[Route]] = {}
    for route in configuration.routes.values():
        routes.setdefault(route.service, []).append(route)
    for service_routes in routes.values():
        service_routes.sort(key=_get_route_sort_key)
    return LookupIndex(
        application_by_digest={entry.key_sha256: entry for entry in applications},
        bindings={
            (entry.team, entry.application, entry.target): entry for entry in bindings
        },
        routes=routes,
        model_targets=_list_targets(configuration, UpstreamKind.MODEL),
        service_targets=_list_targets(configuration, UpstreamKind.SERVICE),
    )


def _list_targets(configuration, kind):
    return frozenset(
        name
        for upstream in configuration.upstreams.values()
        if upstream.kind is kind
        for name in upstream.models
    )


def _get_route_sort_key(route):
    return (-len(route.path_prefix), route.method == "*", route.name)
