import subprocess
import sys
from pathlib import Path

from behave import then, when

from jujubenotch.invariants import assert_invariant, read_violations

ROOT = Path(__file__).resolve().parents[3]
PROGRAM = """
from jujubenotch.invariants import *
from jujubenotch.logs import configure_logging
configure_logging(format_name="key-value", level="INFO")
make_violations_fatal(is_fatal={is_fatal})
assert_invariant(False, {name!r}, slots={slots})
print(read_violations())
"""
TIMEOUT_S = 60


def run_program(context, name, slots, is_fatal):
    program = PROGRAM.format(is_fatal=is_fatal, name=name, slots=slots)
    context.completed = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@when('an invariant "{name}" that holds is checked')
def check_holding(context, name):
    assert_invariant(True, name)


@then('"{name}" has {count:d} violations')
def check_count(context, name, count):
    assert read_violations().get(name, 0) == count


@when('a program violates "{name}" with {slots:d} slots while violations are not fatal')
def violate(context, name, slots):
    run_program(context, name, slots, is_fatal=False)


@when('a program violates "{name}" with {slots:d} slots while violations are fatal')
def violate_fatally(context, name, slots):
    run_program(context, name, slots, is_fatal=True)


@then("the program exits with code {code:d}")
def check_exit_code(context, code):
    assert context.completed.returncode == code, context.completed


@then('its log has one line with "{text}"')
def check_log(context, text):
    lines = [line for line in context.completed.stderr.splitlines() if text in line]
    assert len(lines) == 1, context.completed.stderr


@then('its last output line is "{text}"')
def check_output(context, text):
    assert context.completed.stdout.splitlines()[-1] == text, context.completed
