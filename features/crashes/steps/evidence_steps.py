import time
from unittest import mock

import orjson
from behave import given, then, when

from jujubenotch.crashes import (
    CrashReport,
    Evidence,
    InstanceReports,
    apply_reports,
    decode_reports,
    encode_reports,
    find_block,
    record_break,
    record_sound_response,
    take_own_reports,
)

START_UNIX_S = 1_800_000_000.0
REPORTED_S = 100.0
SPACING_S = 1.0
DECISIONS = 2000


def report(name, crashes, spacing_s=SPACING_S, trusted=()):
    return InstanceReports(
        crashes=tuple(
            CrashReport(
                process=f"engine-{number}@1",
                reported_unix_s=START_UNIX_S + number * spacing_s,
                suspects=suspects,
                trusted=trusted,
            )
            for number, suspects in crashes
        )
    )


def record_log_lines(context):
    context.logged = []

    def record(logger, level, event, **fields):
        context.logged.append((event, fields))

    for module in ("decide", "evidence", "trust"):
        patch = mock.patch(f"jujubenotch.crashes.{module}.log_event", record)
        context.stack.enter_context(patch)


def prepare(context, reports, copies=1):
    record_log_lines(context)
    context.evidence = Evidence()
    context.now_s = REPORTED_S
    context.now_unix_s = START_UNIX_S + 10
    for name, each in reports.items():
        for _ in range(copies):
            apply_reports(context.evidence, name, each)
    decide(context, ())


def decide(context, suspects):
    return find_block(
        context.evidence,
        suspects,
        now_s=context.now_s,
        now_unix_s=context.now_unix_s,
    )


def make_crashes(count, suspects, first=0):
    return [(first + number, suspects) for number in range(count)]


@given('the reports of {count:d} crashes with the suspects "{suspects}"')
def report_crashes(context, count, suspects):
    crashes = make_crashes(count, tuple(suspects.split(",")))
    prepare(context, {"a": report("a", crashes)})


@given(
    'the reports of {count:d} crashes with the suspects "{suspects}" by {instances:d} '
    "instances"
)
def report_by_several(context, count, suspects, instances):
    crashes = make_crashes(count, tuple(suspects.split(",")))
    names = [f"instance-{number}" for number in range(instances)]
    prepare(context, {name: report(name, crashes) for name in names})


@given(
    'the reports of {count:d} crash with the suspects "{suspects}" by {instances:d} '
    "instances, each twice"
)
def report_often(context, count, suspects, instances):
    crashes = make_crashes(count, tuple(suspects.split(",")))
    names = [f"instance-{number}" for number in range(instances)]
    prepare(context, {name: report(name, crashes) for name in names}, copies=2)


@given(
    'the reports of {count:d} crashes within {span:g} s with the suspects "{suspects}"'
)
def report_at_once(context, count, span, suspects):
    crashes = make_crashes(count, tuple(suspects.split(",")))
    prepare(context, {"a": report("a", crashes, spacing_s=span / count)})


@given(
    '{count:d} crashes are reported with the suspects "{suspects}" and the trusted '
    'part "{part}"'
)
def report_trusted(context, count, suspects, part):
    crashes = make_crashes(count, tuple(suspects.split(",")))
    prepare(context, {"a": report("a", crashes, trusted=(part,))})


@given(
    '{count:d} more crashes are reported with the suspects "{suspects}" and the trusted '
    'part "{part}"'
)
def report_more_trusted(context, count, suspects, part):
    crashes = make_crashes(count, tuple(suspects.split(",")), first=20)
    apply_reports(context.evidence, "b", report("b", crashes, trusted=(part,)))


@given(
    '{count:d} crashes of different requests are reported with the trusted part "{part}"'
)
def report_trusted_in_turn(context, count, part):
    crashes = [(number, (f"r{number}",)) for number in range(count)]
    prepare(context, {"a": report("a", crashes, trusted=(part,))})


@given('an instance that saw a good response with "{part}"')
def see_good_response(context, part):
    prepare(context, {})
    record_sound_response(
        context.evidence,
        [part],
        begun_s=context.now_s,
        now_s=context.now_s,
        now_unix_s=context.now_unix_s,
    )


@given("an instance that saw no response yet")
def start_without_responses(context):
    prepare(context, {})


def end_at(context, process, suspects):
    record_break(
        context.evidence,
        process,
        suspects.split(","),
        now_s=context.now_s,
        now_unix_s=context.now_unix_s,
    )


def pass_spacing(context):
    context.now_s += SPACING_S
    context.now_unix_s += SPACING_S


@when('a process ends while it runs "{suspects}"')
def end_process(context, suspects):
    end_at(context, "engine-1@1", suspects)


@when('{count:d} further process ends while it runs "{suspects}"')
@when('{count:d} further processes end while they run "{suspects}"')
def end_further_processes(context, count, suspects):
    for _ in range(count):
        end_at(context, f"engine-at-{context.now_s}@1", suspects)
        pass_spacing(context)


@when('{count:d} processes end {spaced} while they run "{suspects}"')
def end_processes(context, count, spaced, suspects):
    for number in range(count):
        end_at(context, f"engine-{number}@1", suspects)
        if spaced == "one after the other":
            pass_spacing(context)


@then('it publishes the trusted part "{part}" and the suspects "{suspects}"')
def check_trusted(context, part, suspects):
    (crash,) = take_own_reports(context.evidence).crashes
    assert crash.trusted == (part,), crash
    assert crash.suspects == tuple(suspects.split(",")), crash


@then('it publishes the trusted part "{part}" and no suspects')
def check_vouched(context, part):
    decide(context, ())
    (crash,) = take_own_reports(context.evidence).crashes
    assert (crash.suspects, crash.trusted) == ((), (part,)), crash


@then("it publishes nothing")
def check_unpublished(context):
    decide(context, ())
    assert not context.evidence.is_unpublished, context.evidence
    assert not take_own_reports(context.evidence).crashes, context.evidence


@then('it publishes no trusted part and the suspects "{suspects}"')
def check_untrusted(context, suspects):
    (crash,) = take_own_reports(context.evidence).crashes
    assert not crash.trusted, crash
    assert crash.suspects == tuple(suspects.split(",")), crash


@given('the report of another crash with the suspects "{suspects}"')
def report_another(context, suspects):
    crashes = make_crashes(1, tuple(suspects.split(",")), first=7)
    apply_reports(context.evidence, "b", report("b", crashes))


@when('the reports of {count:d} more crashes with the suspects "{suspects}" come')
def report_more(context, count, suspects):
    crashes = make_crashes(count, tuple(suspects.split(",")), first=20)
    apply_reports(context.evidence, "b", report("b", crashes))


@given("an instance that saw {crashes:d} crashes with {suspects:d} suspects each")
def report_many(context, crashes, suspects):
    prepare(context, {})
    for number in range(crashes):
        names = [f"{number:08x}{suspect:08x}" for suspect in range(suspects)]
        record_break(
            context.evidence,
            f"engine-{number}@1700000000000",
            names,
            now_s=context.now_s,
            now_unix_s=START_UNIX_S,
        )


@when('a response with "{suspects}" that began {when} them ends well')
def end_well(context, suspects, when):
    record_sound_response(
        context.evidence,
        suspects.split(","),
        begun_s=context.now_s + (1 if when == "after" else -1),
        now_s=context.now_s + 2,
        now_unix_s=context.now_unix_s,
    )


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.now_s += seconds
    context.now_unix_s += seconds
    context.evidence.is_stale = True


CONTENTS = {
    "nothing": b"",
    "no JSON": b"\xff{",
    "a list": b"[1, 2]",
    "more crashes than are allowed": encode_reports(
        report("b", make_crashes(500, ("g",)))
    ),
    "suspects that are no texts": orjson.dumps(
        {"crashes": [{"process": "x", "reported_unix_s": 1, "suspects": [[1]]}]}
    ),
}


@when("another instance publishes {content}")
def publish(context, content):
    reports = decode_reports(CONTENTS[content])
    assert reports is None, reports
    apply_reports(context.evidence, "b", reports)


@then('a request with "{suspects}" is blocked')
def check_blocked(context, suspects):
    assert decide(context, suspects.split(",")), context.evidence


@then('a request with "{suspects}" is sent')
def check_sent(context, suspects):
    assert decide(context, suspects.split(",")) is None, context.evidence.blocks


@then("the instance publishes {count:d} acquittals")
def check_acquittals(context, count):
    decide(context, ())
    published = take_own_reports(context.evidence).acquittals
    assert len(published) == count, published


@then('the log line "{event}" names {count:d} processes')
def check_log_line(context, event, count):
    decide(context, ())
    lines = [fields for name, fields in context.logged if name == event]
    assert lines, context.logged
    assert len({each for line in lines for each in line["processes"]}) == count, lines


@then("what it publishes fits into {size:d} bytes and can be read")
def check_size(context, size):
    content = encode_reports(take_own_reports(context.evidence))
    assert len(content) <= size, len(content)
    assert decode_reports(content) is not None


@then("deciding on a request takes less than {limit:d} microseconds")
def check_cost(context, limit):
    decide(context, ())
    started_s = time.perf_counter()
    for _ in range(DECISIONS):
        decide(context, ("a", "b", "c"))
    took_us = (time.perf_counter() - started_s) / DECISIONS * 1e6
    assert took_us < limit, took_us
