from dataclasses import dataclass, field

from behave import given, then, when

from jujubenotch.forwarding import Division, choose_group, record_group_load

STEP_S = 0.5
SLOTS = 48


@dataclass(kw_only=True)
class Simulation:
    """A division, and the demand of all instances that its upstreams report."""

    names: list[str]
    long: int
    short: int
    division: Division = field(default_factory=Division)
    now_s: float = 0.0


def simulate_load(simulation, seconds):
    """Let each upstream report an equal share of the demand every half second."""
    end_s = simulation.now_s + seconds
    while simulation.now_s < end_s:
        simulation.now_s += STEP_S
        for is_long, requests in ((True, simulation.long), (False, simulation.short)):
            group = find_group(simulation, is_long=is_long)
            for name in group:
                requests_each = requests / len(group)
                record_group_load(
                    simulation.division, name, requests_each, simulation.now_s
                )
    return simulation


def find_group(simulation, *, is_long):
    return choose_group(
        simulation.division,
        simulation.names,
        slots=SLOTS,
        is_long=is_long,
        now_s=simulation.now_s,
    )


def find_short(simulation):
    return find_group(simulation, is_long=False)


@given("{count:d} upstreams and {long:d} long and {short:d} short requests for {s:d} s")
def make_division(context, count, long, short, s):
    names = [f"i-{number}" for number in range(count)]
    context.simulation = simulate_load(
        Simulation(names=names, long=long, short=short), s
    )
    context.before = find_short(context.simulation)


@given("another instance with {long:d} long and {short:d} short requests for {s:d} s")
def make_other_division(context, long, short, s):
    context.other = simulate_load(
        Simulation(names=context.simulation.names, long=long, short=short), s
    )


@when("{count:d} long request begins and {seconds:d} s pass")
def add_long_requests(context, count, seconds):
    context.simulation.long += count
    simulate_load(context.simulation, seconds)


@then("{count:d} upstreams are reserved for short prompts")
def check_count(context, count):
    assert len(find_short(context.simulation)) == count


@then("at most {count:d} upstreams are reserved for short prompts")
def check_at_most(context, count):
    assert len(find_short(context.simulation)) <= count


@then("at least {count:d} upstreams are reserved for short prompts")
def check_at_least(context, count):
    assert len(find_short(context.simulation)) >= count


@then("long and short prompts share no upstream")
def check_disjoint(context):
    assert not find_group(context.simulation, is_long=True) & find_short(
        context.simulation
    )


@then("the boundary has not moved")
def check_unmoved(context):
    assert find_short(context.simulation) == context.before


@then("the upstreams for short prompts of one instance include those of the other")
def check_nested(context):
    one = find_short(context.simulation)
    other = find_short(context.other)
    assert one <= other or other <= one, (one, other)
