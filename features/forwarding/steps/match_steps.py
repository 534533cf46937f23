from behave import given, then

from jujubenotch.forwarding import (
    HostRoute,
    RouteKind,
    ServiceShare,
    SiteConfiguration,
    build_index,
    choose_service,
    find_route,
)

ONE_SERVICE = (ServiceShare(service="s"),)


def make_route(host, prefix, shares=ONE_SERVICE):
    return HostRoute(
        name=host + prefix,
        host=host,
        prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        shares=shares,
        timeout_s=1.0,
        target_s=1.0,
    )


@given('routes for "/", "/a/" and "/a/b/" of "one.example" and "/" of "two.example"')
def make_index(context):
    routes = [make_route("one.example", prefix) for prefix in ("/", "/a/", "/a/b/")]
    routes.append(make_route("two.example", "/"))
    context.index = build_index(SiteConfiguration(version=1, routes=tuple(routes)))


@given('a route with the shares "{first:d}" and "{second:d}"')
def make_route_with_shares(context, first, second):
    shares = (
        ServiceShare(service="first", weight=first),
        ServiceShare(service="second", weight=second),
    )
    context.route = make_route("one.example", "/", shares)


@then('the route for "{host}" and "{path}" is "{route}"')
def check_route(context, host, path, route):
    found = find_route(context.index, host, path)
    assert (found.name if found else "none") == route, found


@then("of {draws:d} draws {count:d} go to the first service")
def check_shares(context, draws, count):
    chosen = [choose_service(context.route, number / draws) for number in range(draws)]
    assert chosen.count("first") == count, chosen.count("first")
