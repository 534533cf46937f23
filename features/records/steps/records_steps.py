import re
from dataclasses import replace
from pathlib import Path

import tomli_w
from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from jujubenotch.records import (
    Application,
    Binding,
    Deletion,
    Drain,
    InvalidRecords,
    PowerCap,
    Record,
    RecordEdit,
    RecordKey,
    Route,
    ServiceClass,
    Team,
    build_configuration,
    edit_configuration,
    identify_caller,
    is_idempotent,
    parse_documents,
)

RECORDS_PAGE = Path(__file__).resolve().parents[3] / "docs" / "RECORDS.md"


@given("the documents of docs/RECORDS.md")
def parse_page_documents(context):
    blocks = re.findall(
        r"```toml\n(schema_version.*?)```", RECORDS_PAGE.read_text(), re.DOTALL
    )
    context.texts = {f"{index}.toml": block for index, block in enumerate(blocks)}
    version_1 = context.texts["1.toml"]
    without_class = re.sub(r"\[\[class\]\].*?\n\n", "", version_1, flags=re.DOTALL)
    context.texts["1.toml"] = without_class
    assert not isinstance(parse_documents({"1.toml": version_1}), InvalidRecords)
    edit = parse_documents(context.texts)
    assert isinstance(edit, RecordEdit), str(edit)
    context.configuration = build_configuration(edit.records, 1)


@when("the documents are parsed together")
def check_documents_parsed(context):
    assert not isinstance(context.configuration, InvalidRecords), context.configuration


@then("the configuration has 2 classes, 2 teams, 2 bindings and 2 upstreams")
def check_counts(context):
    configuration = context.configuration
    kinds = ("classes", "teams", "bindings", "upstreams")
    assert [len(getattr(configuration, kind)) for kind in kinds] == [2, 2, 2, 2]


@given("a version 1 class with a first token target of 1200 ms and priority urgent")
def make_version_1(context):
    context.version_1_text = """schema_version = 1
        [[class]]
        name = "gate"
        priority = "urgent"
        first_token_target_ms = 1200"""


@given("a version 2 class with a first token target of 1.2 s and tier 0")
def make_version_2(context):
    context.version_2_text = """schema_version = 2
        [[class]]
        name = "gate"
        tier = 0
        first_token_target_s = 1.2"""


@then("both classes give the same record")
def check_same(context):
    version_1_records, version_2_records = (
        parse_documents({"a": text}).records
        for text in (context.version_1_text, context.version_2_text)
    )
    assert version_1_records == version_2_records and len(version_1_records) == 1, (
        version_1_records,
        version_2_records,
    )


@given('a file "{name}" with')
def add_file(context, name):
    context.texts = getattr(context, "texts", {}) | {name: context.text}


@when("the files are parsed")
def read_files(context):
    context.result = parse_documents(context.texts)


@then("these problems are reported")
def check_problems(context):
    assert isinstance(context.result, InvalidRecords), context.result
    found = {
        (
            f"{problem.file}:{problem.line}" if problem.line else problem.file,
            problem.key,
            problem.value,
        )
        for problem in context.result.problems
    }
    assert found == {tuple(row) for row in context.table}, found
    assert all(problem.remedy for problem in context.result.problems)
    assert "a-key-in-the-clear" not in str(context.result)


def put(*bodies):
    return RecordEdit(records=tuple(Record(body=body) for body in bodies))


def delete(kind, name):
    return RecordEdit(deletions=(Deletion(key=RecordKey(kind=kind, name=name)),))


def bind(**fields):
    values = {"name": "wrong", "team": "agents", "service_class": "gate"}
    return put(Binding(**values | fields))


def make_edit(configuration, name):
    upstream = replace(configuration.upstreams["engine-1"], name="wrong")
    digest = configuration.applications["mart-queries"].key_sha256
    edits = {
        "a binding to a missing class": bind(service_class="none"),
        "a binding to a missing team": bind(team="none"),
        "a binding to another's application": bind(
            team="clerks", application="mart-queries"
        ),
        "a second binding of the same subject": bind(application="mart-queries"),
        "a route of a missing service": put(Route(name="wrong", service="none")),
        "deletion of the last binding": delete("binding", "agents-gate"),
        "deletion of a class in use": delete("class", "gate"),
        "deletion of a missing team": delete("team", "nobody"),
        "a power cap below one slot": put(PowerCap(data_centre="a", watts=0.5)),
        "an upstream without its cost": put(replace(upstream, watts_per_slot=0.0)),
        "an upstream with another's address": put(upstream),
        "a drain of a missing upstream": put(Drain(upstream="none")),
        "a service named as a model": put(
            replace(configuration.upstreams["returns-1"], models=("returns", "small"))
        ),
        "a key used twice": put(
            Application(name="wrong", team="agents", key_sha256=digest)
        ),
    }
    return edits[name]


@given("a further change with {change}")
def apply_further_edit(context, change):
    edit = make_edit(context.configuration, change)
    context.result = edit_configuration(context.configuration, edit, 2)


@then("the change is rejected with a problem at {key}")
def check_refused(context, key):
    assert isinstance(context.result, InvalidRecords), context.result
    keys = [problem.key for problem in context.result.problems]
    assert key in keys, keys
    assert context.configuration.revision == 1


@given("bindings with and without an application and a target")
def make_bindings(context):
    bodies = [Team(name="t"), Team(name="u")]
    for name in ("both", "application", "target", "team"):
        bodies.append(ServiceClass(name=name, tier=0, first_token_target_s=1.0))
    for name, team in (("x", "t"), ("y", "t"), ("z", "u")):
        bodies.append(Application(name=name, team=team, key_sha256=name * 64))
    subjects = {
        "both": ("x", "m"),
        "application": ("x", ""),
        "target": ("", "m"),
        "team": ("", ""),
    }
    for name, (application, target) in subjects.items():
        bodies.append(
            Binding(
                name=name,
                team="t",
                service_class=name,
                application=application,
                target=target,
            )
        )
    bodies.append(Binding(name="u", team="u", service_class="team", target="other"))
    records = [Record(body=body) for body in bodies]
    context.configuration = build_configuration(records, 1)


def find_class(context, application, target):
    found = identify_caller(context.configuration, application * 64, target)
    return found.service_class.name


@then(
    "a binding with application and target takes precedence over one with the application only"
)
def check_application_and_target_binding(context):
    assert find_class(context, "x", "m") == "both"


@then(
    "a binding with the application only takes precedence over one with the target only"
)
def check_application_binding(context):
    assert find_class(context, "x", "other") == "application"


@then("a binding with the target only takes precedence over one for the whole team")
def check_target_binding(context):
    assert find_class(context, "y", "m") == "target"
    assert find_class(context, "y", "other") == "team"


@then('an unknown key is refused with reason "{reason}"')
def check_unknown_key(context, reason):
    assert identify_caller(context.configuration, "0" * 64, "m").reason == reason


@then('an application without a matching binding is refused with reason "{reason}"')
def check_unbound(context, reason):
    assert identify_caller(context.configuration, "z" * 64, "m").reason == reason


@then('the call {method} {path} of service "{service}" is {verdict}')
def check_idempotent(context, method, path, service, verdict):
    found = is_idempotent(context.configuration, service, method, path)
    assert found == (verdict == "idempotent"), found


SCALARS = st.one_of(
    st.integers(-5, 5), st.floats(), st.booleans(), st.text(max_size=8), st.just("gate")
)
KEYS = st.sampled_from(
    "name tier team class priority first_token_target_s kind url models slots "
    "key_sha256 data_centre watts service idempotent deadline_ms odd".split()
)
TABLES = st.sampled_from(
    "class team application binding upstream route power_cap limits delete".split()
)
TABLE = st.dictionaries(KEYS, SCALARS | st.lists(SCALARS, max_size=2), max_size=6)
DOCUMENTS = st.dictionaries(
    TABLES, SCALARS | TABLE | st.lists(TABLE, max_size=3), max_size=4
)


@then("{count:d} generated documents are parsed without an exception")
def check_generated(context, count):
    @settings(derandomize=True, database=None, max_examples=count, deadline=None)
    @generated(
        st.sampled_from([1, 2, 3, True, "2"]),
        DOCUMENTS,
        st.text(max_size=20),
        st.booleans(),
    )
    def read(version, document, suffix, is_truncated):
        text = tomli_w.dumps({"schema_version": version} | document)
        text = text[: len(text) // 2] + suffix if is_truncated else text
        result = parse_documents({"a.toml": text})
        if isinstance(result, InvalidRecords):
            assert result.problems and str(result)
        else:
            build_configuration(result.records, 1)

    read()
