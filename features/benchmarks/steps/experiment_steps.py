import os
import subprocess
import sys
import tempfile
from pathlib import Path

import orjson
from behave import given, then, when

from benchmarks.callers import RequestRecord
from benchmarks.deployments import DEPLOYMENTS, make_reference
from benchmarks.diversion import measure_diversion
from benchmarks.waits import find_longest_wait_s
from features.programs import ROOT

SILENT_AT_S = 100.0


def make_stream(at_s, started_s=None, ended_s=None):
    return RequestRecord(
        number=0,
        service_class="draft",
        tier=3,
        team="a",
        is_stream=True,
        is_service=False,
        at_s=at_s,
        first_token_s=None if started_s is None else started_s - at_s,
        total_s=(ended_s or started_s) - at_s,
    )


@given("streams that arrived at 0, 1 and 10 s and started at 2, 9 and 10.5 s")
def make_streams(context):
    context.streams = [make_stream(0, 2), make_stream(1, 9), make_stream(10, 10.5)]


@when("another stream arrived at 3 s and was refused at 30 s")
def add_refused(context):
    context.streams.append(make_stream(3, ended_s=30))


@then("the longest wait is {expected:g} s")
def check_wait(context, expected):
    assert find_longest_wait_s(context.streams) == expected


def write_journal(path, *events):
    lines = [
        {"event": name, "request_id": request, "time_s": time_s, "priority": tier}
        for name, request, time_s, tier in events
    ]
    path.write_bytes(b"".join(orjson.dumps(line) + b"\n" for line in lines))


@given("an engine that held or received 2 queries and a draft while it was silent")
def write_silent_journal(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.paths = {
        name: Path(directory.name) / name for name in ("silent", "healthy", "absent")
    }
    write_journal(
        context.paths["silent"],
        ("received", "done", 90.0, 0),
        ("received", "q1", 98.0, 0),
        ("ended", "done", 99.0, 0),
        ("received", "d1", 99.5, 3),
        ("received", "q2", 100.5, 1),
        ("ended", "q1", 102.0, 0),
        ("received", "probe", 104.0, 0),
    )


@when("another engine received one query and the draft 2 s and 9 s later")
def write_healthy_journal(context):
    write_journal(
        context.paths["healthy"],
        ("received", "q1", 102.0, 0),
        ("received", "d1", 109.0, 3),
    )
    context.diversion = measure_diversion(context.paths, "silent", SILENT_AT_S)


@then(
    "{moved:d} of {affected:d} upper-tier requests moved, the slowest in {longest:g} s"
)
def check_upper(context, moved, affected, longest):
    diversion = context.diversion
    counts = (diversion.upper_diverted, diversion.upper_affected)
    assert counts == (moved, affected), diversion
    assert diversion.upper_max_s == longest, diversion


@then(
    "{moved:d} of {affected:d} requests of all tiers moved, the slowest in {longest:g} s"
)
def check_all(context, moved, affected, longest):
    diversion = context.diversion
    assert (diversion.diverted, diversion.affected) == (moved, affected), diversion
    assert diversion.max_s == longest, diversion


@then("the silent engine received its last request after {expected:g} s")
def check_last_sent(context, expected):
    assert context.diversion.last_sent_s == expected


@then("each deployment's reference has one instance and all engines of the deployment")
def check_references(context):
    for make in DEPLOYMENTS.values():
        deployment = make()
        reference = make_reference(deployment)
        assert len(reference.instances) == 1
        names = [engine.name for engine in deployment.engines]
        assert [engine.name for engine in reference.engines] == names
        data_centres = {
            each.data_centre for each in (*reference.engines, *reference.services)
        }
        assert data_centres == set(reference.instances)


@then('the experiment with "{option}" exits with code 2 and an error naming "{name}"')
def check_refused_settings(context, option, name):
    completed = subprocess.run(
        [sys.executable, "-m", "benchmarks.experiment", option],
        cwd=ROOT,
        env=dict(os.environ, PYTHONPATH=str(ROOT)),
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 2, completed
    assert name in completed.stderr, completed.stderr
