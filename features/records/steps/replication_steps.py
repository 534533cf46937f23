import asyncio
import random
import urllib.request

import orjson
from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from features.programs import start_program
from features.records.faulty_platform import FaultyPlatform
from jujubenotch.invariants import read_violations
from jujubenotch.records import (
    Accepted,
    ChangeRefusal,
    ChangeRequest,
    ConfigurationReplica,
    ConfigurationStore,
    Conflict,
    Deletion,
    InvalidRecords,
    Record,
    RecordEdit,
    RecordKey,
    RecordKind,
    RecordsError,
    Team,
    Unchanged,
    apply_changes,
    encode_changes_since,
    parse_documents,
    poll_platform,
    read_record_revision,
    submit_change,
)
from jujubenotch.tables import make_platform_client

RACE_TIMEOUT_S = 60
INCREMENTS_PER_OPERATOR = 6
COUNTER_TEAM = "counter"


def team_key(name):
    return RecordKey(kind=RecordKind.TEAM, name=name)


def make_store(platform, revisions=None, **options):
    revisions = [] if revisions is None else revisions
    replica = ConfigurationReplica(
        on_change=lambda configuration: revisions.append(configuration.revision)
    )
    return ConfigurationStore(
        platform=platform, replica=replica, failure_backoff_s=0.01, **options
    )


def set_up(context, platform, **options):
    context.platform = platform
    context.store = make_store(platform, **options)
    context.other = make_store(platform, **options)
    context.request_count = 0


def submit(context, edit, change_id="", store=None, **fields):
    context.request_count += 1
    request = ChangeRequest(
        change_id=change_id or f"change-{context.request_count}", edit=edit, **fields
    )
    return submit_change(store or context.store, request)


def put_teams(**weights):
    bodies = [Team(name=name, weight=weight) for name, weight in weights.items()]
    return RecordEdit(records=tuple(Record(body=body) for body in bodies))


def run(context, coroutine):
    context.result = asyncio.run(coroutine)


@given("a platform with faults in {share:f} of its writes, and seed {seed:d}")
def make_faulty_platform(context, share, seed):
    context.seed = seed
    set_up(context, FaultyPlatform(seed=seed, fault_probability=share))


@given("the platform stand-in over HTTP, which loses {share:f} of its replies")
def start_platform(context, share):
    program = start_program(context, "standins.platform")
    context.seed = 1
    faults = orjson.dumps({"lost_reply_ratio": share, "writes_per_s": 200})
    request = urllib.request.Request(f"{program.url}/faults", faults, method="POST")
    urllib.request.urlopen(request, timeout=10).close()
    context.platform = make_platform_client(kind="http", url=program.url, timeout_s=5.0)


@given("a platform")
def make_platform(context):
    set_up(context, FaultyPlatform())


@given("the next write has the fault {fault}")
def set_fault(context, fault):
    context.platform.next_faults.append(fault)


@when(
    'another instance puts team "{name}" with weight {weight:d} just before the next write'
)
@given(
    'another instance puts team "{name}" with weight {weight:d} just before the next write'
)
def add_concurrent_change(context, name, weight):
    async def commit_concurrent_change():
        edit = put_teams(**{name: weight})
        result = await submit(context, edit, store=context.other)
        assert isinstance(result, Accepted), result

    context.platform.before_transact.append(commit_concurrent_change)


@when('an operator puts team "{name}" with weight {weight:d}')
def put_team(context, name, weight):
    run(context, submit(context, put_teams(**{name: weight})))


@when(
    'an operator puts team "{name}" with weight {weight:d} and change id "{change_id}"'
)
def put_with_id(context, name, weight, change_id):
    run(context, submit(context, put_teams(**{name: weight}), change_id))


@when(
    'an operator at another instance puts team "{name}" with weight {weight:d} and change id "{change_id}"'
)
def put_at_other_instance(context, name, weight, change_id):
    edit = put_teams(**{name: weight})
    run(context, submit(context, edit, change_id, store=context.other))


@when('an operator puts teams "a" and "b" with weights {a:d} and {b:d}')
def put_both(context, a, b):
    run(context, submit(context, put_teams(a=a, b=b)))


@when(
    'an operator puts team "{name}" with weight {weight:d} edited from revision {base:d}'
)
def put_from_base(context, name, weight, base):
    run(context, submit(context, put_teams(**{name: weight}), base_revision=base))


@when(
    'an operator puts team "{name}" with weight {weight:d} edited from record revision {base:d}'
)
def put_from_record(context, name, weight, base):
    edit = put_teams(**{name: weight})
    expected = {team_key(name): base}
    run(context, submit(context, edit, expected_revisions=expected))


@when('an operator deletes team "{name}"')
def delete_team(context, name):
    run(context, submit(context, RecordEdit(deletions=(Deletion(key=team_key(name)),))))


@when("the platform goes down")
def go_down(context):
    context.platform.is_down = True


@given("the platform goes down after the next write")
def go_down_after_write(context):
    async def schedule_outage():
        asyncio.get_running_loop().call_soon(go_down, context)

    context.platform.before_transact.append(schedule_outage)
    context.platform.next_faults.append("reply lost")


@when("the platform is up again")
def come_back(context):
    context.platform.is_down = False


@then("the change is accepted at revision {revision:d}")
def check_accepted(context, revision):
    assert isinstance(context.result, Accepted), context.result
    assert context.result.revision == revision, context.result


@then('the change is refused with reason "{reason}"')
def check_refused(context, reason):
    assert isinstance(context.result, ChangeRefusal), context.result
    assert context.result.reason == reason, context.result


@then("the change is invalid")
def check_invalid(context):
    assert isinstance(context.result, InvalidRecords), context.result


@then("the platform holds {count:d} change")
@then("the platform holds {count:d} changes")
def check_changes(context, count):
    assert len(context.platform.tables.get("configuration-changes", {})) == count


@then('team "{name}" has weight {weight:d}')
def check_weight(context, name, weight):
    assert context.store.replica.configuration.teams[name].weight == weight


@then(
    'there is a conflict on team "{name}" between {in_force} in force and requested weight {wanted:d}'
)
def check_conflict(context, name, in_force, wanted):
    assert isinstance(context.result, Conflict), context.result
    (difference,) = context.result.differences
    assert difference.key == team_key(name)
    assert difference.wanted.weight == wanted
    found = difference.in_force
    text = f"weight {found.weight:.0f}" if found else "nothing"
    assert text == in_force, text


@when(
    "{count:d} operators at 3 instances submit changes concurrently in schema versions 1 and 2"
)
def race_operators(context, count):
    asyncio.run(asyncio.wait_for(run_race(context, count), RACE_TIMEOUT_S))


async def run_race(context, count):
    context.revisions_by_store = [[] for _ in range(3)]
    context.stores = [
        make_store(context.platform, revisions)
        for revisions in context.revisions_by_store
    ]
    context.own_counters = {}
    generator = random.Random(context.seed)
    await asyncio.gather(
        *(run_operator(context, number, generator) for number in range(count))
    )
    await asyncio.gather(*getattr(context.platform, "pending_writes", ()))
    context.expected_counter = count * INCREMENTS_PER_OPERATOR
    for store in context.stores:
        await poll_platform(store.replica, context.platform)
    context.changes = await context.platform.scan("configuration-changes")
    await context.platform.close()


async def run_operator(context, number, generator):
    """Increment a shared counter and the operator's own record in one change each time.

    The operator stops after ``INCREMENTS_PER_OPERATOR`` accepted changes.
    """
    accepted_count = 0
    attempts = 0
    while accepted_count < INCREMENTS_PER_OPERATOR:
        store = generator.choice(context.stores)
        attempts += 1
        request = make_request(store, number, accepted_count, f"{number}-{attempts}")
        result = await submit_until_settled(context, request, generator)
        if isinstance(result, Conflict):
            continue
        assert isinstance(result, Accepted), result
        accepted_count += 1
        context.own_counters[f"own-{number}"] = accepted_count


def make_request(store, number, accepted_count, change_id):
    teams = store.replica.configuration.teams
    key = team_key(COUNTER_TEAM)
    counter_value = teams[COUNTER_TEAM].max_in_progress if COUNTER_TEAM in teams else 0
    text = f"""schema_version = {number % 2 + 1}
        [[team]]
        name = "{COUNTER_TEAM}"
        max_in_progress = {counter_value + 1}
        [[team]]
        name = "own-{number}"
        max_in_progress = {accepted_count + 1}"""
    return ChangeRequest(
        change_id=change_id,
        edit=parse_documents({"race.toml": text}),
        expected_revisions={key: read_record_revision(store.replica, key).revision},
    )


async def submit_until_settled(context, request, generator):
    while True:
        result = await submit_change(generator.choice(context.stores), request)
        assert not isinstance(result, Unchanged | InvalidRecords), result
        if not isinstance(result, ChangeRefusal):
            return result


@then("every accepted change is applied exactly once at every instance")
def check_race(context):
    changes = context.changes
    assert len(changes) == context.expected_counter, len(changes)
    for store in context.stores:
        teams = store.replica.configuration.teams
        assert teams[COUNTER_TEAM].max_in_progress == context.expected_counter
        found = {name: teams[name].max_in_progress for name in context.own_counters}
        assert found == context.own_counters, found


@then("the revision of no instance ever decreased")
def check_revisions(context):
    for revisions in context.revisions_by_store:
        assert revisions == sorted(set(revisions)), revisions
    assert not read_violations(), read_violations()


@given("a platform with {count:d} changes and a snapshot every {every:d} changes")
def make_history(context, count, every):
    set_up(context, FaultyPlatform(), snapshot_interval_changes=every)

    async def make():
        for number in range(count):
            name = f"team-{number % 4}"
            await submit(context, put_teams(**{name: number + 1}))

    asyncio.run(make())
    assert context.store.replica.revision == count


@when("the rows of changes 1 to 9 are deleted and a new instance polls")
def poll_without_rows(context):
    rows = context.platform.tables["configuration-changes"]
    for key in sorted(rows)[:9]:
        del rows[key]
    poll_new(context)


@when("a new instance polls")
def poll_new(context):
    context.new = ConfigurationReplica(snapshot_lag_changes=5)
    asyncio.run(poll_platform(context.new, context.platform))


@given("the stored snapshots are damaged")
def damage_snapshots(context):
    for name in context.platform.objects:
        context.platform.objects[name] = context.platform.objects[name][:-20]


@then("the new instance has the same records and revisions in force")
def check_same(context):
    check_same_replicas(context.new, context.store.replica)


def check_same_replicas(found, wanted):
    assert found.configuration == wanted.configuration
    assert found.record_revisions == wanted.record_revisions


@then("a peer at any revision catches up, even with repeated or reordered changes")
def check_peers(context):
    source = context.store.replica
    all_changes = encode_changes_since(source, 0)
    for revision in range(source.revision + 1):
        peer = ConfigurationReplica(max_recent_changes=3)
        apply_changes(peer, all_changes[:revision])
        apply_changes(peer, list(reversed(encode_changes_since(source, revision))))
        apply_changes(peer, encode_changes_since(source, revision) * 2)
        check_same_replicas(peer, source)
        newest = ConfigurationReplica()
        old = ConfigurationReplica(max_recent_changes=0)
        apply_changes(old, all_changes[:revision])
        snapshot = encode_changes_since(old, 0)
        apply_changes(newest, snapshot)
        check_same_replicas(newest, old)
        apply_changes(newest, all_changes)
        apply_changes(newest, snapshot)
        check_same_replicas(newest, source)
    assert not read_violations(), read_violations()


@then("{count:d} generated or altered entries from a peer never lower the revision")
def check_altered(context, count):
    source = context.store.replica
    entries = encode_changes_since(source, 0)
    entries += encode_changes_since(source, -1)[:1]
    json_values = st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(
                    ["type", "revision", "puts", "deletes", "kind", "body"]
                ),
                inner,
                max_size=4,
            )
        ),
    )

    @settings(derandomize=True, database=None, max_examples=count, deadline=None)
    @generated(
        st.sampled_from(entries),
        st.integers(0, 200),
        st.binary(max_size=3),
        json_values,
    )
    def apply(entry, position, replacement, value):
        altered = entry[:position] + replacement + entry[position + 1 :]
        try:
            generated_entry = orjson.dumps(value)
        except TypeError:
            generated_entry = b"null"
        for content in (altered, generated_entry):
            replica = ConfigurationReplica()
            apply_changes(replica, entries[:3])
            try:
                apply_changes(replica, [content])
            except RecordsError:
                pass
            assert replica.revision >= 3

    apply()
