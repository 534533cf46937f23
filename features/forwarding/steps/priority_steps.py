from behave import given, then

from jujubenotch.forwarding import (
    HostRoute,
    RouteKind,
    ServiceShare,
    SiteConfiguration,
    TeamKeys,
    pair_priorities,
    rank_priorities,
)


def read_numbers(text):
    return [None if part == "none" else int(part) for part in text.split(",")]


@given('routes with the priorities "{routes}" and teams with the priorities "{teams}"')
def make_configuration(context, routes, teams):
    context.configuration = SiteConfiguration(
        version=1,
        routes=tuple(
            HostRoute(
                name=f"r{number}",
                host="a",
                prefix=f"/{number}/",
                kind=RouteKind.STREAM,
                shares=(ServiceShare(service="s"),),
                timeout_s=1.0,
                target_s=1.0,
                priority=priority,
            )
            for number, priority in enumerate(read_numbers(routes))
        ),
        teams=tuple(
            TeamKeys(name=f"t{number}", keys=(), priority=priority)
            for number, priority in enumerate(read_numbers(teams))
        ),
    )
    context.ranks = rank_priorities(context.configuration)


def list_ranks(context, number):
    configuration = context.configuration
    team = configuration.teams[number]
    return [context.ranks[pair_priorities(r, team)] for r in configuration.routes]


@then('the ranks of the first team\'s requests are "{expected}"')
def check_ranks(context, expected):
    ranks = list_ranks(context, 0)
    assert sorted(ranks) == ranks and len(set(ranks)) == len(ranks), ranks
    assert len(ranks) == len(read_numbers(expected))


@then("each request of the first team ranks before each request of the second team")
def check_teams(context):
    assert max(list_ranks(context, 0)) < min(list_ranks(context, 1))


@then("the ranks range from 0 to 9 and keep the order of the pairs")
def check_spread(context):
    pairs = sorted(context.ranks)
    ranks = [context.ranks[pair] for pair in pairs]
    assert ranks == sorted(ranks) and ranks[0] == 0 and ranks[-1] == 9, ranks
