from behave import given, then, when

from jujubenotch.forwarding import Division, choose_group, record_change

STEP_S = 0.5


def load(names, long, short, seconds):
    division = Division()
    for is_long, count in ((True, long), (False, short)):
        for _ in range(count):
            record_change(division, 1, is_long=is_long, now_s=0.0)
    now_s = 0.0
    while now_s < seconds:
        now_s += STEP_S
        choose_group(division, names, is_long=True, now_s=now_s)
    return division, now_s


def find_short(context, division):
    return choose_group(division, context.names, is_long=False, now_s=context.now_s)


@given("{count:d} upstreams and {long:d} long and {short:d} short requests for {s:d} s")
def make(context, count, long, short, s):
    context.names = [f"i-{number}" for number in range(count)]
    context.division, context.now_s = load(context.names, long, short, s)
    context.before = find_short(context, context.division)


@given("another instance with {long:d} long and {short:d} short requests for {s:d} s")
def make_other(context, long, short, s):
    context.other, _ = load(context.names, long, short, s)


@when("{count:d} long request begins and {seconds:d} s pass")
def begin(context, count, seconds):
    for _ in range(count):
        record_change(context.division, 1, is_long=True, now_s=context.now_s)
    context.now_s += seconds


@then("{count:d} upstreams are kept for short prompts")
def check(context, count):
    assert len(find_short(context, context.division)) == count


@then("at most {count:d} upstreams are kept for short prompts")
def check_most(context, count):
    assert len(find_short(context, context.division)) <= count


@then("at least {count:d} upstreams are kept for short prompts")
def check_least(context, count):
    assert len(find_short(context, context.division)) >= count


@then("long and short prompts share no upstream")
def check_apart(context):
    long = choose_group(
        context.division, context.names, is_long=True, now_s=context.now_s
    )
    assert not long & find_short(context, context.division)


@then("the boundary has not moved")
def check_still(context):
    assert find_short(context, context.division) == context.before


@then("one's upstreams for short prompts hold the other's")
def check_nested(context):
    one = find_short(context, context.division)
    other = find_short(context, context.other)
    assert one <= other or other <= one, (one, other)
