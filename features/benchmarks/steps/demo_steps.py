import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from benchmarks.deployments import make_demo
from features.programs import ROOT, wait_until

TIMEOUT_S = 60


def start_demo(context, duration_s):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = directory.name
    options = [f"--duration-s={duration_s}", f"--output={directory.name}"]
    context.demo = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.demo", *options],
        cwd=ROOT,
        env=dict(os.environ, PYTHONPATH=str(ROOT)),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    context.add_cleanup(stop_demo, context.demo)


def stop_demo(demo):
    if demo.poll() is None:
        demo.terminate()
    demo.communicate(timeout=TIMEOUT_S)


def has_started(context):
    log = Path(context.directory) / "demo-1.log"
    return log.exists() and "instance-started" in log.read_text()


def find_remaining_processes(directory):
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            command = path.read_bytes().decode(errors="replace")
        except OSError:
            continue
        if directory in command:
            yield command


@when("the demo runs with {duration_s:d} s of load")
def run_demo(context, duration_s):
    start_demo(context, duration_s)


@given("the demo has started its instances")
def run_until_started(context):
    start_demo(context, 10)
    wait_until(lambda: has_started(context) or context.demo.poll() is not None)
    assert context.demo.poll() is None, context.demo.stdout.read()


@when("the demo receives a SIGINT")
def interrupt_demo(context):
    context.demo.send_signal(signal.SIGINT)


@then("the demo exits with code {code:d}")
def check_exit_code(context, code):
    context.output, _ = context.demo.communicate(timeout=TIMEOUT_S)
    assert context.demo.returncode == code, context.output


@then("the tables name each class, the goodput and the wasted work")
def check_tables(context):
    names = [each.name for each in make_demo().classes]
    for name in (*names, "in target", "tokens/s", "wasted"):
        assert name in context.output, context.output


@then("no submission was executed more than once")
def check_submissions(context):
    assert " 0 run more than once" in context.output, context.output


@then("no process of the demo is left running")
def check_no_process(context):
    remaining = list(find_remaining_processes(context.directory))
    assert not remaining, remaining
