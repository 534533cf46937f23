import itertools
import time

from behave import given, then

from features.platform.site import (
    SETTINGS,
    add_upstream,
    answer_correctly,
    open_site,
    put_configuration,
    read_events,
    read_log,
    start_program,
    wait_until_ready,
)
from features.platform.upstream_kinds import write_status
from features.scripted_upstream import ScriptedUpstream

END_OF_LINE = b"\r\n"
NO_LIMIT = "-"


def add_header(parts, header):
    status_line, _, rest = parts[0].partition(END_OF_LINE)
    return (status_line + END_OF_LINE + header + rest, *parts[1:])


def make_limiting_upstream(values):
    """Make an upstream that names the values in turn, and the last one from then on."""
    pending = itertools.chain(values, itertools.repeat(values[-1]))

    def answer(head):
        value = next(pending)
        parts = answer_correctly(head)
        if value == NO_LIMIT:
            return parts
        return add_header(parts, b"Server-Limit: %b\r\n" % value.encode())

    return ScriptedUpstream(make_parts=answer, connection_ending="keep")


@given('a site whose upstream names the limits "{values}" in turn')
def open_site_with_limits(context, values, gone=0):
    context.site = context.stack.enter_context(open_site())
    for number in range(gone):
        name = f"instance-old-{number}~{number:016x}@a@127.9.0.{1 + number}:7340"
        context.site.state.objects[name] = b"1"
    put_configuration(context.site)
    upstream = make_limiting_upstream(values.split(","))
    add_upstream(context.site, "i-first", upstream)
    start_program(context.site, settings=SETTINGS + "port-range=7340,7355\n")
    wait_until_ready(context.site)


@given(
    "a site with the entries of {gone:d} instances that are gone, whose upstream names "
    'the limits "{values}" in turn'
)
def open_replaced_site(context, gone, values):
    open_site_with_limits(context, values, gone)


@then('the program logged the limits "{values}" and a withdrawal')
def check_limits(context, values):
    time.sleep(0.1)
    lines = read_events(context.site, "upstream-limit-named")
    named = [line["limit_per_s"] for line in lines]
    assert named == [float(value) for value in values.split(",")], lines
    assert len(read_events(context.site, "upstream-limit-withdrawn")) == 1


@given("a site whose upstream is another process that names a limit and reports a load")
def open_site_of_other_process(context):
    context.site = context.stack.enter_context(open_site())
    put_configuration(context.site)
    headers = b"Server-Limit: 2\r\nX-Instance-Load: 0,0,4\r\n"
    upstream = ScriptedUpstream(
        make_parts=lambda head: write_status(head, b"421 Misdirected", headers),
        connection_ending="keep",
    )
    add_upstream(context.site, "i-first", upstream)
    start_program(context.site)
    wait_until_ready(context.site)


@then("the program logged no limit, and no load of the first upstream")
def check_no_statement(context):
    time.sleep(0.1)
    assert not read_events(context.site, "upstream-limit-named")
    lines = [
        line
        for line in read_events(context.site, "request-granted")
        if line["upstream"] == "i-first"
    ]
    assert lines and not any("report_age_s" in line for line in lines), lines


@then('the program logged "{event}" once')
def check_logged_once(context, event):
    time.sleep(0.1)
    assert len(read_events(context.site, event)) == 1, read_log(context.site)
