import signal
import time

from behave import given, then, when

from features.lease_sites.site import (
    LEASE_SETTINGS,
    SHARED_SETTINGS,
    START_TIMEOUT_S,
    change_fault,
    open_lease_site,
    read_events,
    read_metrics,
    read_row,
    restore_copy,
    start_instance,
    take_copy,
    wait_for,
    write_change,
)
from features.platform.site import call_store

NAMES = ("edge-1", "edge-2")
ERA_TOKEN = 1 << 32


@given("a site of 2 programs, one of which holds the lease")
@given("a site of 2 programs that read for themselves, one of which holds the lease")
def give_site(context):
    start_site(context, LEASE_SETTINGS)
    wait_for_holder(context)


@given("a site of 2 programs that share a reader, one of which holds the lease")
def give_shared_site(context):
    start_site(context, LEASE_SETTINGS + SHARED_SETTINGS)
    wait_for_holder(context)
    for instance in context.lease_site.instances.values():
        wait_for(
            lambda instance=instance: read_events(instance, "neighbours-registered"),
            START_TIMEOUT_S,
            instance.log.read_text(),
        )
    # The writes by which instances register are not attributed, so the list may be
    # taken for stalled once after them.
    time.sleep(3)
    context.stalls_before = count_events(context, "upstream-list-stalled")


@given("a site of 2 programs without the API's address")
def give_site_without(context):
    start_site(context, "")
    for instance in context.lease_site.instances.values():
        wait_for(
            lambda instance=instance: read_events(instance, "instance-started"),
            START_TIMEOUT_S,
            instance.log.read_text(),
        )


def count_events(context, event):
    return {
        name: len(read_events(instance, event))
        for name, instance in context.lease_site.instances.items()
    }


def start_site(context, settings):
    context.stalls_before = dict.fromkeys(NAMES, 0)
    context.lease_site = context.stack.enter_context(open_lease_site())
    for name in NAMES:
        start_instance(context.lease_site, name, settings)


def find_holders(context):
    """Return the instances whose last event of the lease is that they took it."""
    holders = []
    for instance in context.lease_site.instances.values():
        events = read_events(instance, "lease-taken", "lease-ended")
        if events and events[-1]["event"] == "lease-taken":
            holders.append((instance, events[-1]["token"]))
    return holders


def wait_for_holder(context):
    found, _ = wait_for(
        lambda: find_holders(context), START_TIMEOUT_S, "nobody took the lease"
    )
    (context.holder, context.token), *others = found
    assert not others
    context.begin_s = len(read_all_events(context))
    # The other one must have started too, and rested as a new process does.
    time.sleep(3.5)


def read_all_events(context):
    return [
        event
        for instance in context.lease_site.instances.values()
        for event in read_events(instance, "lease-taken", "lease-ended")
    ]


def find_other(context):
    name = next(each for each in NAMES if each != context.holder.name)
    return context.lease_site.instances[name]


@when("the holder gets {name}")
def signal_holder(context, name):
    context.last_row = read_row(context.lease_site)
    context.signalled_s = time.monotonic()
    context.holder.process.send_signal(getattr(signal, name))


@when("the holder is suspended for {length:g} s")
def suspend_holder(context, length):
    context.holder.process.send_signal(signal.SIGSTOP)
    time.sleep(length)
    context.holder.process.send_signal(signal.SIGCONT)


@then("the other one holds the lease within {limit:g} s, with a higher token")
def check_other_holds(context, limit):
    other = find_other(context)
    found, context.took_s = wait_for(
        lambda: [each for each in find_holders(context) if each[0] is other],
        limit,
        other.log.read_text(),
    )
    assert found[0][1] > context.token, (found, context.token)


@then('the first one has logged "{event}"')
def check_logged(context, event):
    wait_for(lambda: read_events(context.holder, event), 1.0, event)


@then("the first one exits with {code:d}")
def check_exit(context, code):
    assert context.holder.process.wait(8) == code


@then("that was at least {length:g} s after the last renewal")
def check_wait(context, length):
    # The last renewal was sent at most 0.4 of a lease before the signal.
    assert context.took_s >= length * 0.6 - 0.1, context.took_s


@then("{length:g} s later it still does not hold the lease")
def check_not_back(context, length):
    time.sleep(length)
    assert [each[0] for each in find_holders(context)] == [find_other(context)]


@when("the store is unavailable for {length:g} s")
def break_store(context, length):
    change_fault(context.lease_site, "unavailable")
    time.sleep(length)
    context.holders_in_outage = find_holders(context)
    change_fault(context.lease_site, "")


@then("nobody holds the lease at the end of the outage")
def check_nobody(context):
    assert context.holders_in_outage == []


@then("one of them holds the lease within {limit:g} s, with a higher token")
def check_held_again(context, limit):
    found, _ = wait_for(lambda: find_holders(context), limit, "nobody holds it")
    assert len(found) == 1 and found[0][1] > context.token, found


@when("the store is restored from a copy that is {age:g} s old")
def restore(context, age):
    take_copy(context.lease_site)
    time.sleep(age)
    restore_copy(context.lease_site)


@then("one of them holds the lease within {limit:g} s, with a token of the new era")
def check_new_era(context, limit):
    def find():
        return [each for each in find_holders(context) if each[1] > ERA_TOKEN]

    found, _ = wait_for(find, limit, "nobody holds it in the new era")
    assert len(found) == 1, found


@when("{length:d} s pass with changes of the list of upstreams")
def pass_time(context, length):
    for _ in range(length):
        write_change(context.lease_site)
        time.sleep(0.5)
        # The writes of the lease are the only ones for a while.
        time.sleep(0.5)
    time.sleep(2)


@then('no program has logged "{event}"')
def check_not_logged(context, event):
    assert count_events(context, event) == context.stalls_before


@then("the metrics of the holder tell its token, and those of the other one none")
def check_metrics(context):
    tokens = {
        instance.name: read_metrics(instance)
        for instance in context.lease_site.instances.values()
    }
    held = tokens.pop(context.holder.name)
    assert held["jujubenotch_lease_held"] == 1, held
    assert held["jujubenotch_lease_token"] == context.token, held
    assert held["jujubenotch_lease_age"] < 2.0, held
    for others in tokens.values():
        assert others.get("jujubenotch_lease_held", 0) == 0, others


@then("the store has no lease and got no call for one")
def check_no_calls(context):
    paths = call_store(context.lease_site.site, lambda state: set(state.request_paths))
    assert "/v1/rows-tx" not in paths, paths
    assert read_row(context.lease_site) is None
    assert context.lease_site.cloud.calls == []
