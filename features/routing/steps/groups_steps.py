from behave import given, then, when

from jujubenotch.records import Configuration, Upstream, UpstreamKind
from jujubenotch.routing import group_upstreams


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
