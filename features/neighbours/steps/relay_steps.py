import asyncio
import time

from behave import given, then, when

from features.neighbours.fleet import (
    CONFIGURATION,
    CRASHES,
    UPSTREAMS,
    Fleet,
    MemoryStore,
    find_readers,
    start_member,
    stop_member,
)
from jujubenotch.crashes import (
    CrashReport,
    InstanceReports,
    encode_reports,
    find_block,
)
from jujubenotch.forwarding import find_usable, read_boot_clock_s


def run(context, work):
    return context.loop.run_until_complete(work)


def close(context):
    for name in list(context.fleet.members):
        stop_member(context.fleet, name)
    run(context, asyncio.sleep(0.01))
    context.loop.close()


@given("{count:d} instances that have read the store")
def make_fleet(context, count):
    start_fleet(context, count)


@given("{count:d} instances whose configuration may have any age")
def make_fleet_without_limit(context, count):
    start_fleet(context, count, max_key_age_s=0.0)


def start_fleet(context, count, **settings):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(close, context)

    async def start():
        context.fleet = Fleet(store=MemoryStore(), **settings)
        context.fleet.store.write(CONFIGURATION, "config", b"1")
        for name in ("a", "b"):
            context.fleet.store.write(UPSTREAMS, name, b"ready")
        for number in range(count):
            start_member(context.fleet, number)
        await asyncio.sleep(0.1)

    run(context, start())


@given("{count:d} of 100 messages are lost")
def lose_messages(context, count):
    context.fleet.loss_share = count / 100


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.calls_before = context.fleet.store.calls
    run(context, asyncio.sleep(seconds))


@when("the configuration {version:d} is written")
def write_configuration(context, version):
    call(
        context,
        context.fleet.store.write,
        CONFIGURATION,
        "config",
        str(version).encode(),
    )


@when("the configuration {version:d} of {size:d} bytes is written")
def write_large_configuration(context, version, size):
    filler = context.fleet.draws.randbytes(size // 2).hex().encode()
    content = b"%d %b" % (version, filler)
    call(context, context.fleet.store.write, CONFIGURATION, "config", content)


@when('the upstream "{name}" is leaving')
def mark_leaving(context, name):
    call(context, context.fleet.store.write, UPSTREAMS, name, b"leaving")


@when('{count:d} instances report one crash each with the suspect "{suspect}"')
def report_crashes(context, count, suspect):
    now_unix_s = time.time()
    for number in range(count):
        report = CrashReport(
            process=f"engine-{number}@1",
            reported_unix_s=now_unix_s + number,
            suspects=(suspect,),
        )
        content = encode_reports(InstanceReports(crashes=(report,)))
        name = f"other-{number}"
        call(context, context.fleet.store.write, CRASHES, name, content)


@then('all instances block requests with the suspect "{suspect}"')
def check_blocks(context, suspect):
    now = {"now_s": time.monotonic(), "now_unix_s": time.time()}
    for member in context.fleet.members.values():
        evidence = member.crash_watch.evidence
        assert find_block(evidence, [suspect], **now), (member.name, evidence)


@when("the reader is killed")
def kill_reader(context):
    (reader,) = find_readers(context.fleet)
    call(context, stop_member, context.fleet, reader)


@when("the reader knows writes of the lease at the revisions {first:d} and {second:d}")
def write_lease(context, first, second):
    (context.reader,) = find_readers(context.fleet)
    relay = context.fleet.members[context.reader].relay
    relay.list_lease_revisions = lambda: (first, second)


@then("all other instances account for the revisions {first:d} and {second:d}")
def check_lease_revisions(context, first, second):
    for name, member in context.fleet.members.items():
        known = member.state.revisions.known
        assert name == context.reader or {first, second} <= set(known), (name, known)


@when("the store turns the reader away")
def turn_reader_away(context):
    context.fleet.store.turned_away |= set(find_readers(context.fleet))


@when("one instance is cut off from its neighbours")
def cut_off(context):
    readers = find_readers(context.fleet)
    others = [name for name in context.fleet.members if name not in readers]
    context.fleet.cut_off.add(others[0])


@when("the store is down")
def take_store_down(context):
    context.fleet.store.is_down = True


@when("the store is back")
def bring_store_back(context):
    context.fleet.store.is_down = False


@when("a copy of the rows is made")
def copy_rows(context):
    context.copy = context.fleet.store.copy()


@when("the copy of the rows is restored")
def restore_rows(context):
    call(context, context.fleet.store.restore, context.copy)


@then("the store was called at most {count:d} times in that time")
def check_calls(context, count):
    calls = context.fleet.store.calls - context.calls_before
    assert calls <= count, calls


@then("exactly {count:d} instance is the reader")
def check_readers(context, count):
    readers = find_readers(context.fleet)
    assert len(readers) == count, readers


@then("no configuration is older than {age_s:g} s")
def check_age(context, age_s):
    ages = [member.age_s for member in context.fleet.members.values()]
    assert max(ages) <= age_s, max(ages)


@then("all instances have the configuration {version:d}")
def check_version(context, version):
    versions = {
        member.state.index.configuration.version
        for member in context.fleet.members.values()
    }
    assert versions == {version}, versions


@then(
    "all instances but the reader name the reader as the source of the configuration "
    "{version:d}"
)
def check_sources(context, version):
    (reader,) = find_readers(context.fleet)
    for name, member in context.fleet.members.items():
        basis = member.basis
        assert basis.version == version, (name, basis)
        assert name == reader or basis.source == reader, (name, basis)
        assert basis.revision == context.fleet.store.revision, (name, basis)


@then("the reader names the store")
def check_reader_source(context):
    (reader,) = find_readers(context.fleet)
    assert context.fleet.members[reader].basis.source == "store"


@then('no instance uses the upstream "{name}"')
def check_not_used(context, name):
    for member in context.fleet.members.values():
        usable = find_usable(member.state.listing, "drafting", read_boot_clock_s())
        assert name not in {each.name for each in usable}, member.name


@then("all instances know the new era")
def check_era(context):
    for member in context.fleet.members.values():
        eras = {followed.progress.era for followed in member.relay.followed.values()}
        assert eras == {context.fleet.store.era}, (member.name, eras)


def call(context, function, *arguments):
    async def work():
        return function(*arguments)

    return run(context, work())
