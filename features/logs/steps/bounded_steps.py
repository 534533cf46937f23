from behave import given, then, when

from jujubenotch.logs import BoundedOutput


def make_output(context, count_accepted):
    context.now_s = 0.0
    context.written = b""

    def write_some(data):
        count = count_accepted(len(data))
        if not count:
            raise BlockingIOError
        context.written += bytes(data[:count])
        return count

    context.output = BoundedOutput(
        write_some=write_some, read_clock_s=lambda: context.now_s
    )


@given("an output that accepts everything")
def make_accepting_output(context):
    make_output(context, lambda size: size)


@given("an output that accepts nothing")
def make_blocked_output(context):
    make_output(context, lambda size: 0)


@given("an output that accepts {count:d} bytes at a time")
def make_slow_output(context, count):
    make_output(context, lambda size: min(size, count))


@when("{count:d} lines are written at once")
def write_lines(context, count, size=20):
    for _ in range(count):
        context.output.write("x" * size + "\n")
        context.output.flush()


@when("{count:d} lines of {size:d} bytes are written at once")
def write_long_lines(context, count, size):
    write_lines(context, count, size)


@when("a line is written {seconds:g} s later")
def write_line_later(context, seconds):
    context.now_s += seconds
    write_lines(context, 1)


@then("{count:d} lines were output")
def check_line_count(context, count):
    assert context.written.count(b"\n") == count, context.written[-200:]


@then(
    "{count:d} lines were output and the line before the last reports "
    "{dropped:d} dropped lines"
)
def check_dropped_lines(context, count, dropped):
    lines = context.written.decode().splitlines()
    assert len(lines) == count + 1, len(lines)
    assert f'"count":{dropped}' in lines[-2], lines[-2]


@then("no more than {count:d} bytes are buffered")
def check_buffered(context, count):
    assert len(context.output._pending) <= count, len(context.output._pending)
