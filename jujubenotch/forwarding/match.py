"""Finds the route, the team and the service of a request."""

from dataclasses import dataclass, field

from jujubenotch.forwarding.model import HostRoute, SiteConfiguration, TeamKeys
from jujubenotch.forwarding.priority import rank_priorities


@dataclass(frozen=True, kw_only=True)
class SiteIndex:
    """The current configuration, indexed for look-ups.

    :param routes: The routes by host, then by path prefix.
    :param teams: The team by API key.
    :param ranks: The rank by pair of team priority and route priority.

    >>> find_route(build_index(SiteConfiguration(version=1)), "a.example", "/x/")
    """

    configuration: SiteConfiguration
    routes: dict[str, dict[str, HostRoute]] = field(default_factory=dict)
    teams: dict[str, TeamKeys] = field(default_factory=dict)
    ranks: dict[tuple[int, int], int] = field(default_factory=dict)

    @property
    def needs_keys(self) -> bool:
        """Whether routes that don't allow anonymous requests require an API key."""
        return bool(self.configuration.teams)


def build_index(configuration: SiteConfiguration) -> SiteIndex:
    """Build the index of a configuration.

    :param configuration: The configuration.
    :returns: The index.
    """
    index = SiteIndex(configuration=configuration, ranks=rank_priorities(configuration))
    for route in configuration.routes:
        index.routes.setdefault(route.host, {})[route.prefix] = route
    for team in configuration.teams:
        for key in team.keys:
            index.teams[key] = team
    return index


def find_route(index: SiteIndex, host: str, path: str) -> HostRoute | None:
    """Find the route with the longest prefix that matches a path.

    :param index: The index of the current configuration.
    :param host: The host that the request names; a port is ignored.
    :param path: The path, without its query.
    :returns: The route; ``None`` when no route matches.
    """
    routes = index.routes.get(host.partition(":")[0].lower())
    if routes is None:
        return None
    prefix_end = path.rfind("/") + 1
    while prefix_end > 0:
        route = routes.get(path[:prefix_end])
        if route is not None:
            return route
        prefix_end = path.rfind("/", 0, prefix_end - 1) + 1
    return None


def choose_service(route: HostRoute, draw: float) -> str:
    """Choose the service of a request at random, weighted by the route's shares.

    :param route: The route.
    :param draw: A random number in [0, 1), drawn for this request.
    :returns: The service's name; empty when the route has no service.
    """
    total = sum(share.weight for share in route.shares)
    remaining = draw * total
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.shares[-1].service if route.shares else ""
