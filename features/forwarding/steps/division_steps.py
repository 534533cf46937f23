from dataclasses import dataclass, field

from behave import given, then, when

from jujubenotch.forwarding import Division, choose_group, record_group_load

STEP_S = 0.5


@dataclass(kw_only=True)
class Seen:
    """A division, and the demand of all instances that its upstreams report."""

    names: list[str]
    long: int
    short: int
    division: Division = field(default_factory=Division)
    now_s: float = 0.0


def load(seen, seconds):
    """Let each upstream report an equal share of the demand every half second."""
    end_s = seen.now_s + seconds
    while seen.now_s < end_s:
        seen.now_s += STEP_S
        for is_long, requests in ((True, seen.long), (False, seen.short)):
            group = find_group(seen, is_long=is_long)
            for name in group:
                even = requests / len(group)
                record_group_load(seen.division, name, even, seen.now_s)
    return seen


def find_group(seen, *, is_long):
    return choose_group(seen.division, seen.names, is_long=is_long, now_s=seen.now_s)


def find_short(seen):
    return find_group(seen, is_long=False)


@given("{count:d} upstreams and {long:d} long and {short:d} short requests for {s:d} s")
def make(context, count, long, short, s):
    names = [f"i-{number}" for number in range(count)]
    context.seen = load(Seen(names=names, long=long, short=short), s)
    context.before = find_short(context.seen)


@given("another instance with {long:d} long and {short:d} short requests for {s:d} s")
def make_other(context, long, short, s):
    context.other = load(Seen(names=context.seen.names, long=long, short=short), s)


@when("{count:d} long request begins and {seconds:d} s pass")
def begin(context, count, seconds):
    context.seen.long += count
    load(context.seen, seconds)


@then("{count:d} upstreams are reserved for short prompts")
def check(context, count):
    assert len(find_short(context.seen)) == count


@then("at most {count:d} upstreams are reserved for short prompts")
def check_most(context, count):
    assert len(find_short(context.seen)) <= count


@then("at least {count:d} upstreams are reserved for short prompts")
def check_least(context, count):
    assert len(find_short(context.seen)) >= count


@then("long and short prompts share no upstream")
def check_apart(context):
    assert not find_group(context.seen, is_long=True) & find_short(context.seen)


@then("the boundary has not moved")
def check_still(context):
    assert find_short(context.seen) == context.before


@then("the upstreams for short prompts of one instance include those of the other")
def check_nested(context):
    one = find_short(context.seen)
    other = find_short(context.other)
    assert one <= other or other <= one, (one, other)
