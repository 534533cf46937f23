import http.client
import re
import signal
import threading
import time
from pathlib import Path

from behave import then, when

from features.platform.site import (
    HOST,
    KEY,
    SETTINGS,
    START_TIMEOUT_S,
    read_events,
    read_log,
    read_readiness,
    send,
    signal_program,
    start_program,
    wait_until_ready,
    write_settings,
)

END_TIMEOUT_S = 8.0


@when("the program is stopped while a caller receives a stream")
def stream_through_stop(context):
    context.replies = []

    def stream():
        context.replies.append(send(context.site, "/stream/x", method="POST", body=b""))

    thread = threading.Thread(target=stream)
    thread.start()
    time.sleep(0.3)
    signal_program(context.site)
    time.sleep(0.1)
    context.readiness = read_readiness(context.site)
    thread.join()


@when("the settings change the grace period and SIGHUP is sent")
def change_grace_period(context):
    write_settings(context.site, SETTINGS.replace("grace-s=4", "grace-s=5"))
    signal_program(context.site, signal.SIGHUP)
    time.sleep(0.3)


@when("the settings are made invalid and SIGHUP is sent")
def spoil_settings(context):
    write_settings(context.site, "node-name=edge-a-1\n")
    signal_program(context.site, signal.SIGHUP)
    time.sleep(0.3)


@when("the program is restarted and SIGHUP is sent as soon as it is ignored")
def send_sighup_at_start(context):
    context.site.process.kill()
    context.site.process.wait()
    start_program(context.site)
    process = Path("/proc") / str(context.site.process.pid)
    end_s = time.monotonic() + START_TIMEOUT_S
    while not _ignores_sighup(process):
        assert time.monotonic() < end_s, read_log(context.site)
    context.memory_maps = (process / "maps").read_text()
    signal_program(context.site, signal.SIGHUP)
    wait_until_ready(context.site)


def _ignores_sighup(process):
    found = re.search(r"^SigIgn:\s*(\w+)$", (process / "status").read_text(), re.M)
    return int(found[1], 16) & 1 << signal.SIGHUP - 1


@then("SIGHUP was ignored before any library was loaded")
def check_ignored_before_loading(context):
    assert "pydantic" not in context.memory_maps and "uvloop" not in context.memory_maps


@when("a caller disconnects during its stream")
def disconnect_during_stream(context):
    connection = http.client.HTTPConnection(context.site.host, 8000)
    headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "X-Attempt-Id": "id-9"}
    connection.request("POST", "/stream/x", body=b"{}", headers=headers)
    time.sleep(0.3)
    connection.close()


@then("the upstream's connection has ended")
def check_connection_ended(context):
    end_s = time.monotonic() + 0.4
    while not context.site.upstreams["i-first"].client_disconnects:
        assert time.monotonic() < end_s, read_log(context.site)
        time.sleep(0.02)


@then("the instance was not ready after the stop signal")
def check_not_ready(context):
    assert context.readiness == 503


@then("the program exited with {code:d}")
def check_exit_code(context, code):
    found = context.site.process.wait(END_TIMEOUT_S)
    assert found == code, (found, read_log(context.site))


@then('the program exits with {code:d} and its output names "{name}"')
def check_exit_with_message(context, code, name):
    found = context.site.process.wait(END_TIMEOUT_S)
    text = read_log(context.site)
    assert found == code, (found, text)
    assert name in text and len(text.splitlines()) == 1, text


@then('the program logged "{event}"')
def check_event(context, event):
    assert read_events(context.site, event), read_log(context.site)


@then('each "{event}" line of the program has "{names}"')
def check_event_fields(context, event, names):
    events = read_events(context.site, event)
    assert events, read_log(context.site)
    for each in events:
        assert set(names.split(",")) <= each.keys(), each


@then('the program did not log "{event}"')
def check_no_event(context, event):
    assert not read_events(context.site, event), read_log(context.site)
