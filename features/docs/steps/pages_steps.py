import importlib.util
import json
import os
import re
import subprocess
import sys
import tempfile
import tomllib
import urllib.request
from pathlib import Path

import tomli_w
from behave import given, then, when

from features.programs import ROOT, start_daemon, start_program

LINK = re.compile(r"\]\(([^)#:\s]+)(?:#[^)]*)?\)")
MAKE = re.compile(r"`make ([a-z-]+)|^    make ([a-z-]+)", re.MULTILINE)
MODULE = re.compile(r"python -m ((?:standins|benchmarks|jujubenotch)[\w.]*)")
TIMEOUT_S = 30


def find_pages():
    return [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]


@then("each relative link of each page names an existing file")
def check_links(context):
    missing = [
        (page.name, link)
        for page in find_pages()
        for link in LINK.findall(page.read_text())
        if not (page.parent / link).exists()
    ]
    assert not missing, missing


@then('each "make TARGET" in a page is a target of the Makefile')
def check_targets(context):
    targets = set(re.findall(r"^([a-z-]+):", (ROOT / "Makefile").read_text(), re.M))
    named = {
        first or second
        for page in find_pages()
        for first, second in MAKE.findall(page.read_text())
    }
    assert named, "no page names a make target"
    assert named <= targets, named - targets


@then('each "python -m MODULE" in a page names a module of the project')
def check_modules(context):
    named = {
        module for page in find_pages() for module in MODULE.findall(page.read_text())
    }
    missing = [name for name in named if importlib.util.find_spec(name) is None]
    assert not missing, missing


def run_module(*arguments, **environment):
    return subprocess.run(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        env=dict(os.environ, PYTHONPATH=str(ROOT), **environment),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@then("the example settings are valid")
def check_settings(context):
    completed = run_module(
        "jujubenotch.daemon.program", "--settings=examples/one-instance.toml", "--check"
    )
    assert completed.returncode == 0, completed


@then("the example records are valid")
def check_records(context):
    completed = run_module(
        "jujubenotch.cli.program", "validate", "examples/records.toml"
    )
    assert completed.returncode == 0, completed


@given("the stand-in and the daemon of the README, on free ports")
def start_readme_instance(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    engine = start_program(context, "standins.engine", "--models=returns-model")
    records = tomllib.loads((ROOT / "examples/records.toml").read_text())
    records["upstream"][0]["url"] = engine.url
    records_path = Path(directory.name) / "records.toml"
    records_path.write_text(tomli_w.dumps(records))
    sections = tomllib.loads((ROOT / "examples/one-instance.toml").read_text())
    for name in ("callers", "operators", "peers"):
        sections[name].pop("port")
    sections["platform"]["records"] = [str(records_path)]
    context.daemon = start_daemon(context, directory.name, sections, name="first")


@when("the first request of the README is sent")
def send_first_request(context):
    body = re.search(r"-d '(\{.*?\})'\n", (ROOT / "README.md").read_text())[1]
    request = urllib.request.Request(
        f"{context.daemon.url}/v1/chat/completions",
        data=body.encode(),
        headers={"Authorization": "Bearer first-key"},
    )
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as answer:
        context.headers = answer.headers
        assert json.loads(answer.read())["choices"]


@then('the outcome in the response is "{outcome}"')
def check_outcome(context, outcome):
    assert context.headers["X-Jujubenotch-Outcome"] == outcome


@then("the status command of the README succeeds")
def check_status(context):
    completed = run_module(
        "jujubenotch.cli.program",
        f"--address={context.daemon.operators_url}",
        "status",
        JUJUBENOTCH_KEY="operator",
    )
    assert completed.returncode == 0 and "is_ready" in completed.stdout, completed
