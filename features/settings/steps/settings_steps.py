import re
import tempfile
from pathlib import Path

import orjson
from behave import given, then, when
from pydantic import BaseModel
from pydantic_core import PydanticUndefined

from jujubenotch.settings import Settings, SettingsError, load_settings, parse_seed

ROOT = Path(__file__).resolve().parents[3]


def load_file(context, path):
    context.path = path
    context.lines = ()
    try:
        context.settings = load_settings(path)
    except SettingsError as error:
        context.lines = error.lines


@given("the settings")
def write_settings(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path = Path(directory.name) / "settings.toml"
    context.path.write_text(context.text.replace("\\n", "\n"))


@when("the settings are loaded")
def load_written_settings(context):
    load_file(context, context.path)


@when("a file that does not exist is loaded")
def load_missing(context):
    load_file(context, Path("/no/such/settings.toml"))


@then("the settings are valid")
def check_valid(context):
    assert not context.lines, context.lines


@then('the setting "{key}" is {value}')
def check_value(context, key, value):
    found = context.settings
    for part in key.split("."):
        found = getattr(found, part)
    assert found == orjson.loads(value), found


@then('the only error is "{expected}"')
def check_only_error(context, expected):
    actual = [line.removeprefix(f"{context.path}: ") for line in context.lines]
    assert actual == [expected], actual


@then("{count:d} errors are reported, one line each")
def check_count(context, count):
    assert len(context.lines) == count, context.lines
    for line in context.lines:
        assert line.startswith(f"{context.path}: ") and "\n" not in line, line


@then('no error shows "{text}"')
def check_not_shown(context, text):
    assert text not in "\n".join(context.lines), context.lines


@when('the seed "{text}" is parsed')
def parse_seed_text(context, text):
    context.seed = parse_seed(text)


@then(
    'the seed is instance "{name}" in data centre "{data_centre}" at "{host}" port {port:d}'
)
def check_seed(context, name, data_centre, host, port):
    seed = context.seed
    actual = (seed.name, seed.data_centre, seed.host, seed.port)
    assert actual == (name, data_centre, host, port), seed


@when("docs/SETTINGS.md is read")
def read_settings_page(context):
    page = (ROOT / "docs" / "SETTINGS.md").read_text()
    rows = re.findall(r"^\| `([a-z0-9_.]+)` \| (\S+) \|", page, re.MULTILINE)
    context.rows = dict(rows)


@then("the page lists each key of the settings with its default and no other key")
def check_settings_page(context):
    expected = dict(list_keys("", Settings))
    assert context.rows == expected, set(context.rows.items()) ^ set(expected.items())


def list_keys(prefix, model):
    for name, field in model.model_fields.items():
        key = f"{prefix}{name}"
        candidates = getattr(field.annotation, "__args__", ()) or (field.annotation,)
        if isinstance(candidates[0], type) and issubclass(candidates[0], BaseModel):
            yield from list_keys(f"{key}.", candidates[0])
        elif field.default is PydanticUndefined:
            yield key, "required"
        else:
            yield key, f"`{orjson.dumps(field.default).decode()}`"
