import hashlib
import json
import signal
import socket
import ssl
import subprocess
import sys
import tempfile
import threading
import urllib.error
import urllib.request
from pathlib import Path

import tomli_w
from behave import given, then, when

from benchmarks.processes import find_free_ports
from features.certificates import make_authority, make_certificate
from features.path_records import APPLICATION_KEY, make_record_document
from features.programs import (
    ROOT,
    start_daemon,
    start_program,
    wait_until,
)

OPERATOR_KEY = "operator-key"
TIMEOUT_S = 20


def hash_key(key):
    return hashlib.sha256(key.encode()).hexdigest()


def make_directory(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = Path(directory.name)
    context.records = context.directory / "records.toml"


def write_records(context, service="returns"):
    document = make_record_document({}, {"desk-1": context.service.url})
    document["upstream"][0]["models"] = [service]
    document["route"] = []
    context.records.write_text(tomli_w.dumps(document))


def make_settings_sections(context):
    return {
        "operators": {"key_sha256": [hash_key(OPERATOR_KEY)]},
        "platform": {"kind": "embedded", "records": [str(context.records)]},
    }


@given("a running daemon")
def start_running_daemon(context):
    make_directory(context)
    context.service = start_program(context, "standins.service", "--delay-ms=1000")
    write_records(context)
    context.sections = make_settings_sections(context)
    context.daemon = start_daemon(context, context.directory, context.sections)


@given("settings with {fault}")
def write_wrong_settings(context, fault):
    make_directory(context)
    ports = find_free_ports(3)
    document = {
        "instance": {"name": "a1", "data_centre": "north"},
        "callers": {"port": ports[0]},
        "operators": {"port": ports[1]},
        "peers": {"port": ports[2]},
    }
    if fault == "an unknown key":
        document["callers"]["prot"] = 1
    elif fault == "two listeners on one port":
        document["operators"]["port"] = ports[0]
    elif fault == "a port that is taken":
        taken = socket.socket()
        taken.bind(("127.0.0.1", ports[0]))
        taken.listen()
        context.add_cleanup(taken.close)
    else:
        records = context.directory / "absent.toml"
        if fault == "records of a wrong version":
            records.write_text("schema_version = 9\n")
        document["platform"] = {"kind": "embedded", "records": [str(records)]}
    context.settings = context.directory / "settings.toml"
    context.settings.write_text(tomli_w.dumps(document))


@when("the daemon is started with these settings")
def start_with_wrong_settings(context):
    context.completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "jujubenotch.daemon.program",
            f"--settings={context.settings}",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@then("the daemon ends with exit code {code:d}")
def check_code(context, code):
    assert context.completed.returncode == code, context.completed


@then('its standard error contains "{words}"')
def check_error(context, words):
    assert words in context.completed.stderr, context.completed.stderr
    assert "Traceback" not in context.completed.stderr, context.completed.stderr


def query_daemon(daemon, path, key=OPERATOR_KEY, tls=None):
    scheme = "https" if tls else "http"
    url = f"{scheme}://127.0.0.1:{daemon.operators_port}{path}"
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    request = urllib.request.Request(url, headers=headers)
    try:
        with urllib.request.urlopen(
            request, timeout=TIMEOUT_S, context=tls
        ) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


def read_status(daemon, key=OPERATOR_KEY):
    status, body = query_daemon(daemon, "/v1/status", key)
    assert status == 200, body
    return json.loads(body)


@then("its health and readiness can be read without a key")
def check_health(context):
    assert query_daemon(context.daemon, "/health", key=None)[0] == 200
    assert query_daemon(context.daemon, "/ready", key=None)[0] == 200


@then("its metrics count each refusal, retry and outcome")
def check_metrics(context):
    url = f"{context.daemon.url}/v1/models"
    try:
        urllib.request.urlopen(url, timeout=TIMEOUT_S)
    except urllib.error.HTTPError as error:
        assert error.code == 401
    body = query_daemon(context.daemon, "/metrics", key=None)[1]
    assert 'refusals_total{reason="authentication",tier="none"} 1' in body, body
    assert 'retries_total{reason="silent"} 0' in body, body
    assert 'outcomes_total{class="",outcome="not-run"} 1' in body, body


@then("its status can be read only with an operator's key")
def check_key_required(context):
    assert query_daemon(context.daemon, "/v1/status", key=None)[0] == 401
    assert query_daemon(context.daemon, "/v1/status", key="guess")[0] == 401


@then("its status reports revision {revision:d}")
def check_revision(context, revision):
    key = getattr(context, "operator_key", OPERATOR_KEY)
    wait_until(lambda: query_daemon(context.daemon, "/v1/status", key)[0] == 200)
    wait_until(lambda: read_status(context.daemon, key)["revision"] == revision)


def call_service(daemon, path="/holdings/1", tls=None):
    scheme = "https" if tls else "http"
    url = f"{scheme}://127.0.0.1:{daemon.callers_port}/services/returns{path}"
    request = urllib.request.Request(
        url, headers={"Authorization": f"Bearer {APPLICATION_KEY}"}
    )
    try:
        with urllib.request.urlopen(
            request, timeout=TIMEOUT_S, context=tls
        ) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


@when("a slow call is in progress and the daemon gets SIGTERM")
def begin_call_and_stop(context):
    context.slow_responses = []
    context.caller = threading.Thread(
        target=lambda: context.slow_responses.append(call_service(context.daemon))
    )
    context.caller.start()
    wait_until(lambda: read_status(context.daemon)["requests_in_progress"] == 1)
    context.daemon.process.send_signal(signal.SIGTERM)
    wait_until(lambda: "instance-stopping" in context.daemon.log.read_text())


@then("the daemon is not ready")
def check_not_ready(context):
    assert query_daemon(context.daemon, "/ready", key=None)[0] == 503


@then('a new call is refused with the reason "{reason}" and a Retry-After header')
def check_new_call(context, reason):
    status, headers, _ = call_service(context.daemon)
    assert status == 503
    assert headers["X-Jujubenotch-Outcome"] == "not-run"
    assert headers["X-Jujubenotch-Reason"] == reason
    assert int(headers["Retry-After"]) >= 1


@then("the slow call completes")
def check_slow_call(context):
    context.caller.join(TIMEOUT_S)
    ((status, headers, _),) = context.slow_responses
    assert (status, headers["X-Jujubenotch-Outcome"]) == (200, "completed")


def find_settings_path(context):
    return context.directory / "a1.toml"


@when("its records list another model and the daemon gets SIGHUP")
def change_settings_and_reload(context):
    write_records(context, service="movements")
    context.operator_key = "second-key"
    path = find_settings_path(context)
    text = path.read_text().replace(hash_key(OPERATOR_KEY), hash_key("second-key"))
    path.write_text(text + '\n[logs]\nformat = "json"\n')
    context.daemon.process.send_signal(signal.SIGHUP)


@then("only the new operators' key is accepted")
def check_key_changed(context):
    wait_until(
        lambda: query_daemon(context.daemon, "/v1/status", "second-key")[0] == 200
    )
    assert query_daemon(context.daemon, "/v1/status", OPERATOR_KEY)[0] == 401


@then("its logs are JSON")
def check_json_logs(context):
    last = context.daemon.log.read_text().strip().splitlines()[-1]
    assert json.loads(last)["event"], last


@when("an unknown key is added to its settings and the daemon gets SIGHUP")
def break_settings_and_reload(context):
    path = find_settings_path(context)
    path.write_text(path.read_text() + '\n[logs]\ncolour = "red"\n')
    context.daemon.process.send_signal(signal.SIGHUP)


@then('its log contains "{event}"')
def check_log(context, event):
    wait_until(lambda: event in context.daemon.log.read_text())


@given("a daemon whose platform does not respond")
def start_daemon_without_platform(context):
    make_directory(context)
    (context.platform_port,) = find_free_ports(1)
    url = f"http://127.0.0.1:{context.platform_port}"
    context.daemon = start_daemon(
        context, context.directory, {"platform": {"kind": "http", "url": url}}
    )


@when("the platform starts")
def start_platform(context):
    start_program(context, "standins.platform", f"--port={context.platform_port}")


@then("the daemon becomes ready")
def check_ready(context):
    wait_until(lambda: query_daemon(context.daemon, "/ready", key=None)[0] == 200)


def start_two_daemons(context, tls_sections):
    make_directory(context)
    context.service = start_program(context, "standins.service", "--delay-ms=1")
    write_records(context)
    seeds = []
    context.daemons = []
    for name in ("a1", "b2"):
        sections = make_settings_sections(context) | {
            "instance": {"name": name},
            "peers": {"seeds": list(seeds)},
        }
        for section, values in tls_sections.items():
            sections[section] = sections.get(section, {}) | values
        daemon = start_daemon(context, context.directory, sections, name=name)
        context.daemons.append(daemon)
        seeds.append(f"{name}@north@127.0.0.1:{daemon.peers_port}")


@given("two running daemons that are peers")
def start_peers(context):
    start_two_daemons(context, {})


@given("two running daemons that are peers and use TLS")
def start_tls_peers(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    authority = make_authority(directory.name, "site")
    files = make_certificate(directory.name, authority, "instance")
    tls = {"certificate": str(files.certificate), "key": str(files.key)}
    context.tls = ssl.create_default_context(cafile=str(authority.path))
    mutual = tls | {"ca": str(authority.path)}
    start_two_daemons(
        context,
        {"callers": {"tls": tls}, "operators": {"tls": tls}, "peers": {"tls": mutual}},
    )


@when("a call is sent to the first daemon")
def send_to_first(context):
    _, headers, _ = call_service(context.daemons[0])
    context.request_id = headers["X-Request-Id"]


@then("the second daemon returns the trace of the call")
def check_trace(context):
    path = f"/v1/requests/{context.request_id}"
    wait_until(lambda: query_daemon(context.daemons[1], path)[0] == 200)
    events = [
        event["event"]
        for event in json.loads(query_daemon(context.daemons[1], path)[1])["events"]
    ]
    assert events[0] == "arrived" and events[-1] == "ended", events


@then("a caller and an operator are served over TLS")
def check_tls_served(context):
    for daemon in context.daemons:
        assert call_service(daemon, tls=context.tls)[0] == 200
        assert query_daemon(daemon, "/v1/status", tls=context.tls)[0] == 200


@then("the two daemons are connected")
def check_connected(context):
    def is_connected(daemon):
        body = query_daemon(daemon, "/v1/status", tls=context.tls)[1]
        return json.loads(body)["peers_connected"] == 1

    for daemon in context.daemons:
        wait_until(lambda daemon=daemon: is_connected(daemon))


@given("a daemon that can reach neither the platform nor a peer")
def start_isolated_daemon(context):
    make_directory(context)
    (closed_port,) = find_free_ports(1)
    url = f"http://127.0.0.1:{closed_port}"
    sections = {
        "operators": {"key_sha256": [hash_key(OPERATOR_KEY)]},
        "platform": {"kind": "http", "url": url},
    }
    context.first = start_daemon(context, context.directory, sections, name="a1")


@given("a daemon that has records and connects to the first daemon")
def start_connecting_daemon(context):
    context.service = start_program(context, "standins.service", "--delay-ms=1")
    write_records(context)
    seed = f"a1@north@127.0.0.1:{context.first.peers_port}"
    # Nothing listens at the address that this daemon advertises to its peers, so
    # that the first daemon can't connect to it.
    sections = make_settings_sections(context) | {
        "instance": {"name": "b2", "advertised_host": "127.0.0.9"},
        "peers": {"seeds": [seed]},
    }
    context.second = start_daemon(context, context.directory, sections, name="b2")


@then("the first daemon is ready with the records of the second")
def check_pushed(context):
    wait_until(lambda: query_daemon(context.first, "/ready", key=None)[0] == 200)
    assert read_status(context.first)["revision"] == 1
    assert "changes-not-fetched" in context.first.log.read_text()
    assert call_service(context.first)[0] == 200
