"""Ranks requests by the priorities of their team and their route."""

from collections.abc import Iterable

from jujubenotch.forwarding.model import HostRoute, SiteConfiguration, TeamKeys

# Upstreams accept priorities from 0, the most urgent, to 9.
PRIORITY_LEVELS = 10


def rank_priorities(configuration: SiteConfiguration) -> dict[tuple[int, int], int]:
    """Rank the pairs of priorities that requests can have.

    Requests are ordered by the team's priority first. The route's priority orders
    requests whose teams have the same priority.

    :param configuration: The current configuration.
    :returns: The rank of each pair, from 0 for the most urgent to 9.
    """
    teams = (*configuration.teams, None)
    pairs = sorted(
        {
            pair_priorities(route, team)
            for route in configuration.routes
            for team in teams
        }
    )
    return dict(zip(pairs, _assign_levels(len(pairs)), strict=True))


def pair_priorities(route: HostRoute, team: TeamKeys | None) -> tuple[int, int]:
    """Return the pair of team priority and route priority of a request.

    The route's priority replaces a missing team priority.

    :param route: The request's route.
    :param team: The request's team; ``None`` when the request has no key.
    """
    if team is None or team.priority is None:
        return (route.priority, route.priority)
    return (team.priority, route.priority)


def _assign_levels(count: int) -> Iterable[int]:
    if count <= PRIORITY_LEVELS:
        return range(count)
    return (number * PRIORITY_LEVELS // count for number in range(count))
