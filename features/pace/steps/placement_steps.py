"""Steps about the choices of a fleet of instances."""

import hashlib

from behave import given, then, when

from features.pace.fleet import (
    PLAIN,
    SERVICE,
    SLOTS,
    add_load,
    add_upstream,
    make_fleet,
    measure,
)
from jujubenotch.pace import (
    FirstToken,
    ServicePace,
    read_limit,
    read_slowness,
    record_first_token,
    record_pace,
)

SPEEDS = (0.7, 0.7, 1.7)
WARM_UP_S = 4.0


def make_speeds(count):
    return [SPEEDS[number % len(SPEEDS)] for number in range(count)]


@given("{instances:d} instances before {upstreams:d} upstreams that report no pace")
def make_unlearned(context, instances, upstreams):
    context.fleet = make_fleet(
        instances=instances,
        speeds=make_speeds(upstreams),
        reports_pace=False,
        shares=False,
        seed=9,
    )


@given("{instances:d} instances before {upstreams:d} upstreams, seed {seed:d}")
def make_learning(context, instances, upstreams, seed):
    context.fleet = make_fleet(
        instances=instances, speeds=make_speeds(upstreams), seed=seed
    )


@given(
    "{instances:d} instances before {upstreams:d} upstreams that share nothing, "
    "seed {seed:d}"
)
def make_separate(context, instances, upstreams, seed):
    context.fleet = make_fleet(
        instances=instances, speeds=make_speeds(upstreams), shares=False, seed=seed
    )


@when("{rate:d} requests a second arrive for {seconds:d} s")
def send_load(context, rate, seconds):
    add_load(context.fleet, per_s=rate, seconds=seconds)


@when(
    "{rate:d} requests a second arrive for {seconds:d} s, {hot:d} of 100 with one "
    "prefix"
)
def send_hot(context, rate, seconds, hot):
    add_load(context.fleet, per_s=rate, seconds=seconds, hot_share=hot / 100)


@when("{rate:d} requests a second without a prompt arrive for {seconds:d} s")
def send_spread(context, rate, seconds):
    add_load(context.fleet, per_s=rate, seconds=seconds, long_share=0.0, short=PLAIN)


@then("the digest of all choices is {digest}")
def check_digest(context, digest):
    found = hashlib.sha256(" ".join(context.fleet.chosen).encode()).hexdigest()
    assert found.startswith(digest), found


@then("at least {count:d} of 100 first tokens are in time")
def check_in_time(context, count):
    figures = measure(context.fleet, WARM_UP_S)
    assert figures["in_time"] >= count / 100, figures


@then("at most {count:d} of 100 first tokens are in time")
def check_late(context, count):
    figures = measure(context.fleet, WARM_UP_S)
    assert figures["in_time"] <= count / 100, figures


@then("at least {count:d} of 100 streams of short prompts don't pause too long")
def check_pauses(context, count):
    figures = measure(context.fleet, WARM_UP_S)
    assert figures["gaps_in_time"] >= count / 100, figures


@then("at most {count:d} of 100 streams of short prompts don't pause too long")
def check_long_pauses(context, count):
    figures = measure(context.fleet, WARM_UP_S)
    assert figures["gaps_in_time"] <= count / 100, figures


@then("at most {count:d} of 100 requests wait while another upstream has room")
def check_waits(context, count):
    figures = measure(context.fleet, WARM_UP_S)
    assert figures["waited"] <= count / 100, figures


@then("at most {count:d} thousand tokens of prefixes are read again")
def check_read_again(context, count):
    figures = measure(context.fleet, WARM_UP_S)
    assert figures["read_again"] <= count * 1000, figures


@then("the busiest of equally fast upstreams gets at most {ratio:g} times their mean")
def check_busiest(context, ratio):
    counts = count_fast(context.fleet, context.fleet.now_s - 4.0)
    mean = sum(counts.values()) / len(counts)
    assert max(counts.values()) <= ratio * mean, sorted(counts.values())


@then(
    "requests with the hot prefix use between {lowest:d} and {highest:d} upstreams in "
    "the last {seconds:d} s"
)
def check_hot(context, lowest, highest, seconds):
    fleet = context.fleet
    used = {
        result.upstream
        for result in fleet.results
        if result.key == "hot" and result.at_s > fleet.now_s - seconds
    }
    assert lowest <= len(used) <= highest, used


def count_fast(fleet, from_s):
    counts = {
        name: 0 for name, upstream in fleet.upstreams.items() if upstream.speed < 1
    }
    for result in fleet.results:
        if result.at_s >= from_s and result.upstream in counts:
            counts[result.upstream] += 1
    return counts


@when("upstream {name} becomes {factor:g} times slower")
def slow_down(context, name, factor):
    context.fleet.upstreams[name].speed *= factor


@when("upstream {name} of speed {speed:g} is listed")
def list_new(context, name, speed):
    add_upstream(context.fleet, name, speed)


@when("upstream {name} begins to break streams off early")
def begin_failing(context, name):
    context.fleet.upstreams[name].fails = True


def read_learned(fleet, name, instance=40):
    service = fleet.capacities[instance].learned.services[SERVICE]
    return read_slowness(service, name, fleet.now_s)


@then("the learned slowness of {name} is at least {value:g}")
def check_slow(context, name, value):
    found = read_learned(context.fleet, name)
    assert found >= value, found


@then("the learned slowness of {name} is at most {value:g}")
def check_fast(context, name, value):
    found = read_learned(context.fleet, name)
    assert found <= value, found


@then(
    "the learned slowness of each upstream is within a factor of {factor:g} of the truth"
)
def check_all(context, factor):
    wrong = {}
    for name, upstream in context.fleet.upstreams.items():
        # The median upstream has a speed of 0.7.
        ratio = read_learned(context.fleet, name) / (upstream.speed / SPEEDS[0])
        if not 1 / factor <= ratio <= factor:
            wrong[name] = ratio
    assert not wrong, wrong


def compare_with_fast(fleet, name, seconds):
    counts = count_fast(fleet, fleet.now_s - seconds)
    others = [count for other, count in counts.items() if other != name]
    own = sum(
        result.upstream == name and result.at_s >= fleet.now_s - seconds
        for result in fleet.results
    )
    return own / (sum(others) / len(others))


@then(
    "in the last {seconds:d} s {name} gets at most {ratio:g} times the mean of the "
    "other fast ones"
)
def check_share(context, seconds, name, ratio):
    found = compare_with_fast(context.fleet, name, seconds)
    assert found <= ratio, found


@then(
    "in the last {seconds:d} s {name} gets at least {ratio:g} times the mean of the "
    "other fast ones"
)
def check_least_share(context, seconds, name, ratio):
    found = compare_with_fast(context.fleet, name, seconds)
    assert found >= ratio, found


@then("each upstream gets requests in the last {seconds:d} s")
def check_none_left_out(context, seconds):
    fleet = context.fleet
    used = {
        result.upstream
        for result in fleet.results
        if result.at_s > fleet.now_s - seconds
    }
    assert used >= fleet.upstreams.keys(), fleet.upstreams.keys() - used


def make_first(upstream, took_s, load=4):
    return FirstToken(
        upstream=upstream,
        tokens=6_000,
        took_s=took_s,
        load=load,
        waiting=0,
        slots=SLOTS,
        pace=1.0,
        target_s=0.5,
    )


@given("a service with one slow upstream, learned from {count:d} observations")
def learn_slow(context, count):
    context.service = ServicePace()
    for number in range(count):
        for name, took_s in (("a", 0.14), ("b", 0.14), ("slow", 0.35)):
            record_pace(context.service, name, 1.0, 0.1 * number, 0.1 * number)
            record_first_token(context.service, make_first(name, took_s), 0.1 * number)
    context.learned_s = 0.1 * count


@then("its slowness is at least {value:g} at once")
def check_learned(context, value):
    found = read_slowness(context.service, "slow", context.learned_s + 0.3)
    assert found >= value, found


@then("its slowness is at most {value:g} after {seconds:d} s")
def check_forgotten(context, value, seconds):
    found = read_slowness(context.service, "slow", context.learned_s + seconds)
    assert found <= value, found


@given(
    "an upstream of {slots:d} slots with {count:d} first tokens at a load of {load:d}, "
    "{ratio:g} times the usual time"
)
def learn_limit(context, slots, count, load, ratio):
    service = context.service = ServicePace()
    for number in range(count):
        now_s = 0.3 * number
        for name in ("a", "b", "c"):
            record_pace(service, name, 1.0, now_s, now_s)
            record_first_token(service, make_first(name, 0.14), now_s)
        # The upstream is as fast as the others while it has few requests.
        record_first_token(service, make_first("limited", 0.14, 2), now_s)
        record_first_token(service, make_first("limited", ratio * 0.14, load), now_s)
    context.limit = read_limit(service, "limited", slots, 0.3 * count)


@then("its limit is between {lowest:d} and {highest:d}")
def check_limit(context, lowest, highest):
    assert lowest <= round(context.limit, 1) <= highest, context.limit
