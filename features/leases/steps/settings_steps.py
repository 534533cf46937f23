import tempfile
from pathlib import Path

from behave import given, then

from jujubenotch.platform.errors import PlatformSettingsError
from jujubenotch.platform.settings import load_platform_settings

REQUIRED = """node-name=edge-1
zone=a
listen.frontend=127.0.0.1:8000
listen.ready=127.0.0.1:8001
platform.address=127.0.0.1:9000
"""


@given("a settings file with {lines}")
def read_settings(context, lines):
    text = "" if lines == "nothing more" else lines.replace(" ", "\n")
    directory = context.stack.enter_context(tempfile.TemporaryDirectory())
    path = Path(directory) / "settings.conf"
    path.write_text(REQUIRED + text)
    context.error = ""
    try:
        context.cloud = load_platform_settings(str(path)).cloud
    except PlatformSettingsError as error:
        context.error = str(error)


@then("the duties that are switched on are {duties}")
def check_duties(context, duties):
    found = context.cloud.duties if context.cloud else ("none",)
    assert list(found) == duties.split(), found


@then(
    "the lease lasts {lease:g} s with fencing, and {calls:d} calls a second are accepted"
)
def check_times(context, lease, calls):
    cloud = context.cloud
    assert (cloud.lease_s, cloud.is_fenced, cloud.calls_per_s) == (lease, True, calls)


@then('it is refused with "{name}"')
def check_refused(context, name):
    assert name in context.error, context.error
