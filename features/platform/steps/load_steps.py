from types import SimpleNamespace

from behave import then, when
from multidict import CIMultiDict

from jujubenotch.platform.requests import PLATFORM_PROTOCOL
from jujubenotch.upstreams import UpstreamAnswer


@when('an upstream reports the load "{report}"')
def read_report(context, report):
    headers = CIMultiDict({"X-Instance-Load": report})
    answer = UpstreamAnswer(
        status=200,
        headers=tuple(headers.items()),
        response=SimpleNamespace(headers=headers),
    )
    context.load = PLATFORM_PROTOCOL.read_load(answer)


@then(
    "{running:d} requests run, {waiting:d} wait and there are {slots:d} slots, "
    "at pace {pace}"
)
def check_report(context, running, waiting, slots, pace):
    load = context.load
    assert (load.running, load.waiting, load.slots) == (running, waiting, slots), load
    assert load.pace == (None if pace == "none" else float(pace)), load


@then("the report tells nothing")
def check_nothing(context):
    assert context.load is None, context.load
