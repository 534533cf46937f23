import subprocess
import sys
from unittest import mock

from behave import given, then, when

from benchmarks import processes

DRAW = """
import sys
from benchmarks import processes
processes.FIRST_PORT, processes.LAST_PORT = int(sys.argv[1]), int(sys.argv[2])
print(*processes.find_free_ports(int(sys.argv[3])), flush=True)
sys.stdin.read()
"""
FIRST_PORT = 9_000
DRAW_TIMEOUT_S = 20.0


@given("another run that has drawn {count:d} of {ports:d} ports")
def start_other_run(context, count, ports):
    limits = (str(FIRST_PORT), str(FIRST_PORT + ports), str(count))
    context.other_run = subprocess.Popen(
        [sys.executable, "-c", DRAW, *limits],
        cwd=processes.ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.other_run.communicate)
    context.other_ports = set(map(int, context.other_run.stdout.readline().split()))
    assert len(context.other_ports) == count


@when("this run draws {count:d} of the same {ports:d} ports")
def draw_ports(context, count, ports):
    with mock.patch.multiple(
        processes, FIRST_PORT=FIRST_PORT, LAST_PORT=FIRST_PORT + ports
    ):
        context.ports = set(processes.find_free_ports(count))


@then("no port was drawn by both")
def check_distinct(context):
    assert not context.ports & context.other_ports


@then("drawing {count:d} of the same {ports:d} ports fails")
def check_drawing_fails(context, count, ports):
    limits = (str(FIRST_PORT), str(FIRST_PORT + ports), str(count))
    finished = subprocess.run(
        [sys.executable, "-c", DRAW, *limits],
        cwd=processes.ROOT,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=DRAW_TIMEOUT_S,
    )
    assert "ProcessError" in finished.stderr, finished
