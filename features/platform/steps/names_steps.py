from pathlib import Path

from behave import then

ROOT = Path(__file__).resolve().parents[3]
WIRE_NAMES = (
    "x-attempt-id",
    "x-deadline-ms",
    "x-prompt-prefix",
    "x-token-count",
    "x-expect-instance",
    "x-response-signature",
    "x-not-executed",
    "x-instance-load",
    "x-request-priority",
    "x-tenant",
    "rows-feed",
    "rows-get",
    "schema-version",
    "api-keys",
    "route-type",
    "stream-resume",
    "gap-target-ms",
    "cold-remaining-ms",
    "readyz",
    "revoke-ms",
    "server-limit",
    "server-leaving",
)


@then('no module outside "{folder}" contains a name of the platform\'s interfaces')
def check_names(context, folder):
    found = [
        f"{path.relative_to(ROOT)}: {name}"
        for path in sorted((ROOT / "jujubenotch").rglob("*.py"))
        if not path.is_relative_to(ROOT / folder)
        for name in WIRE_NAMES
        if name in path.read_text().lower()
    ]
    assert not found, found
