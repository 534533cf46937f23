import io
import logging
import sys

import orjson
from behave import given, then, when

from jujubenotch.logs import configure_logging, log_event

logger = logging.getLogger("jujubenotch.features")


@given('logs in the format "{format_name}"')
def configure(context, format_name):
    configure_at_level(context, "INFO", format_name)


@given('logs at level "{level}" in the format "{format_name}"')
def configure_at_level(context, level, format_name):
    root = logging.getLogger()
    handlers, old_level, stderr = root.handlers[:], root.level, sys.stderr

    def restore():
        root.handlers[:] = handlers
        root.setLevel(old_level)

    context.add_cleanup(restore)
    root.handlers[:] = []
    sys.stderr = context.written = io.StringIO()
    try:
        configure_logging(format_name=format_name, level=level)
    finally:
        sys.stderr = stderr


@when('the event "{event}" is logged with {field} = {value}')
def log_one_event(context, event, field, value):
    context.value = value.replace("\\n", "\n")
    log_event(logger, logging.INFO, event, **{field: context.value})


@when("an exception is logged")
def log_exception(context):
    try:
        _ = 1 // 0
    except ZeroDivisionError:
        logger.exception("failed")


def read_one_line(context):
    lines = context.written.getvalue().splitlines()
    assert len(lines) == 1, lines
    return lines[0]


@then('one line was written that ends with "{end}"')
def check_end(context, end):
    line = read_one_line(context)
    assert line.endswith(f" logger=jujubenotch.features {end}"), line


@then('one line was written that contains "{text}"')
def check_contains(context, text):
    assert text in read_one_line(context)


@then('one line of JSON was written with the event "{event}" and the logged detail')
def check_json(context, event):
    line = orjson.loads(read_one_line(context))
    assert (line["event"], line["detail"]) == (event, context.value), line


@then("nothing was written")
def check_nothing_written(context):
    assert context.written.getvalue() == ""
