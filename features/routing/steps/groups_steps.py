from behave import given, then, when

from jujubenotch.records import (
    Binding,
    Configuration,
    ServiceClass,
    Upstream,
    UpstreamKind,
)
from jujubenotch.routing import find_tiers, group_upstreams


@given("upstreams")
def list_upstreams(context):
    context.upstreams = {
        row["name"]: Upstream(
            name=row["name"],
            kind=UpstreamKind.MODEL,
            data_centre=row["data_centre"],
            url="http://127.0.0.1:1",
            models=tuple(row["models"].split(",")),
            slots=4,
        )
        for row in context.table
    }


@when('the upstreams of "{data_centre}" are grouped')
def group(context, data_centre):
    configuration = Configuration(upstreams=context.upstreams)
    context.groups = group_upstreams(configuration, data_centre)


@then("the groups are")
def check_groups(context):
    upstreams = {row["group"]: row["upstreams"] for row in context.table}
    targets = {
        target: row["group"]
        for row in context.table
        for target in row["targets"].split(",")
    }
    found = {
        name: ",".join(sorted(upstream.name for upstream in members))
        for name, members in context.groups.upstreams_by_group.items()
    }
    assert found == upstreams, found
    assert context.groups.group_by_target == targets, context.groups


@given('classes "{one}" of tier {tier:d} and "{other}" of tier {other_tier:d}')
def list_classes(context, one, tier, other, other_tier):
    context.classes = {
        name: ServiceClass(name=name, tier=tier, first_token_target_s=1.0)
        for name, tier in ((one, tier), (other, other_tier))
    }


@given('"{one}" is bound to target "{target}" and "{other}" to all targets')
def list_bindings(context, one, target, other):
    context.bindings = {
        "b1": Binding(name="b1", team="t", service_class=one, target=target),
        "b2": Binding(name="b2", team="t", service_class=other),
    }


@then('the tiers of target "{target}" are "{tiers}"')
def check_tiers(context, target, tiers):
    configuration = Configuration(classes=context.classes, bindings=context.bindings)
    found = find_tiers(configuration)[target]
    assert found == set(map(int, tiers.split())), found


@then('the tiers of every target are "{tiers}"')
def check_common_tiers(context, tiers):
    check_tiers(context, "", tiers)
