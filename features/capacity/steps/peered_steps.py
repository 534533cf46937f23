import asyncio
import time
from dataclasses import replace

from behave import given, then, when

from features.capacity.cluster import (
    Cluster,
    close_all,
    find_target_with_coordinator,
    is_settled,
    list_held,
    list_waiting,
    read_coordinator,
    read_in_use,
    release_slot,
    request_slots,
    run,
    start_instance,
    wait,
)
from jujubenotch.capacity.sessions import handle_coordinator_frame
from jujubenotch.listeners import bind_socket
from jujubenotch.peers import CoordinatorFrame, SlotGrant
from jujubenotch.records import Configuration, Drain, Upstream, UpstreamKind
from jujubenotch.settings import Seed


@given(
    'instances "{names}" and an upstream with {slots:d} slots whose coordinator is "{coordinator}"'
)
def start_instances(context, names, slots, coordinator):
    names = names.split()
    target = find_target_with_coordinator(coordinator, names)
    upstream = Upstream(
        name="u",
        kind=UpstreamKind.MODEL,
        data_centre="north",
        url="http://127.0.0.1:1",
        models=(target,),
        slots=slots,
    )
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    cluster = Cluster(
        loop=context.loop,
        target=target,
        slots=slots,
        configuration=Configuration(revision=3, upstreams={"u": upstream}),
    )
    context.cluster = cluster
    bound = {name: bind_socket("127.0.0.1", 0) for name in names}
    for name in names:
        port = bound[name].getsockname()[1]
        cluster.seeds[name] = Seed(
            name=name, data_centre="north", host="127.0.0.1", port=port
        )
    for name in names:
        run(context, start_instance(cluster, name, bound[name]))
    context.add_cleanup(
        lambda: context.loop.run_until_complete(close_all(context.cluster))
    )
    wait(context, lambda: is_settled(cluster))


@when("each instance requests {count:d} slots")
def request_slots_everywhere(context, count):
    for name in context.cluster.capacities:
        request_slots(context.cluster, name, count)
        wait_for_answers(context)


@when('"{name}" requests {count:d} slot(s)')
def request_slots_at(context, name, count):
    request_slots(context.cluster, name, count)
    wait_for_answers(context)


def wait_for_answers(context):
    run(context, asyncio.sleep(0.05))


@when('"{name}" releases a slot')
def release_one(context, name):
    release_slot(context.cluster, name)
    wait_for_answers(context)


@when('"{name}" releases {count:d} slots')
def release_some(context, name, count):
    context.released_count = count
    for _ in range(count):
        release_slot(context.cluster, name)


@when("the last request is cancelled")
def cancel_last(context):
    context.cluster.requests.pop()[1].cancel()
    wait_for_answers(context)


@when('"{name}" announces its shutdown')
def announce_shutdown(context, name):
    context.cluster.capacities[name].announce_shutdown()


@when('"{name}" stops without an announcement')
def stop_unannounced(context, name):
    cluster = context.cluster
    run(context, cluster.capacities.pop(name).close())
    cluster.requests = [entry for entry in cluster.requests if entry[0] != name]


@when('"{name}" restarts')
def restart(context, name):
    cluster = context.cluster
    stop_unannounced(context, name)
    seed = cluster.seeds[name]
    bound = bind_socket(seed.host, seed.port)
    run(context, start_instance(cluster, name, bound))
    wait(context, lambda: is_settled(cluster))


@when('"{name}" stops answering requests')
def stop_answering(context, name):
    fields = vars(context.cluster.capacities[name].listener.service.callbacks)
    context.original_on_frame = fields["on_frame"]
    fields["on_frame"] = lambda session, frame: None


@when('"{name}" answers requests again')
def answer_again(context, name):
    fields = vars(context.cluster.capacities[name].listener.service.callbacks)
    fields["on_frame"] = context.original_on_frame


@when('"{name}" has just requested a slot')
def request_without_waiting(context, name):
    cluster = context.cluster
    context.state = cluster.capacities[name].state
    request_slots(cluster, name, 1)
    run(context, asyncio.sleep(0))
    ((context.number, context.entry),) = context.state.client.entries.items()


@when("a grant that is {age_s:g} s old arrives for {submission}")
def deliver_grant(context, age_s, submission):
    if submission == "a request taken back":
        context.cluster.requests.pop()[1].cancel()
        run(context, asyncio.sleep(0))
    link = context.state.links["a"].link
    context.outbox_frame = link.outbox.frame
    echoed_ms = int((time.monotonic() - age_s) * 1000)
    grants = [SlotGrant(number=context.number, upstream="u")]
    frame = CoordinatorFrame(echoed_ms=echoed_ms, grants=grants)
    handle_coordinator_frame(context.state, link, frame)


@then("the grant is {outcome}")
def check_grant_outcome(context, outcome):
    released = [entry.number for entry in context.outbox_frame.releases]
    if outcome == "used":
        assert context.entry.grant is not None and released == [], released
        return
    assert context.entry.grant is None and released == [context.number], released
    assert context.number not in context.state.client.entries


@when("the upstream reports that it is leaving")
def report_leaving(context):
    context.cluster.is_upstream_leaving = True


@when('"{name}" drains the upstream')
def drain(context, name):
    context.cluster.capacities[name].drain("u")


@when("a record drains the upstream")
def drain_by_record(context):
    configuration = context.cluster.configuration
    drains = {"u": Drain(upstream="u")}
    context.cluster.configuration = replace(configuration, drains=drains)


@when("the drain record is deleted")
def delete_drain(context):
    configuration = context.cluster.configuration
    context.cluster.configuration = replace(configuration, drains={})


@then("the number of held slots is {held:d} and of waiting requests {waiting:d}")
def check_held(context, held, waiting):
    cluster = context.cluster
    wait(
        context,
        lambda: (
            len(list_held(cluster)) == held and len(list_waiting(cluster)) == waiting
        ),
    )


@then('the number of slots in use at "{name}" is {count:d}')
def check_in_use(context, count, name):
    cluster = context.cluster
    capacity = cluster.capacities[name]
    wait(context, lambda: read_in_use(capacity, cluster.group) == count)


@then('an instance other than "{name}" becomes the coordinator')
def check_coordinator_moved(context, name):
    cluster = context.cluster

    def is_moved():
        coordinators = {
            read_coordinator(cluster, other) for other in cluster.capacities
        }
        return len(coordinators) == 1 and not coordinators & {name, ""}

    wait(context, is_moved)
    context.new_coordinator = read_coordinator(cluster, next(iter(cluster.capacities)))


@then("the number of slots in use at the new coordinator is {count:d}")
def check_in_use_at_new_coordinator(context, count):
    check_in_use(context, count, context.new_coordinator)


@then(
    "the new coordinator grants at most {count:d} of 6 slots "
    'until "{name}" is removed from the membership'
)
def check_share(context, count, name):
    cluster = context.cluster
    capacity = cluster.capacities[context.new_coordinator]
    pool = capacity.state.coordinator.pool_runner.pools[cluster.group]
    wait(context, lambda: pool.upstreams["u"].slots == count)
    for other in cluster.capacities.values():
        other.state.membership.members.pop(name)
    wait(context, lambda: pool.upstreams["u"].slots == cluster.slots)


@then('every request of "{name}" has been granted a slot')
def check_all_granted(context, name):
    wait(context, lambda: not list_waiting(context.cluster))
    assert len(list_held(context.cluster, name)) == 1


@then('"{name}" holds {count:d} slots')
def check_holds(context, name, count):
    wait(context, lambda: len(list_held(context.cluster, name)) == count)


@then('"{name}" is granted a slot of its fallback share')
def check_own_share(context, name):
    wait(context, lambda: list_held(context.cluster, name))
    assert list_held(context.cluster, name)[0].result().coordinator == ""


@then('"{name}" gets its slots from "{coordinator}" again')
def check_returned(context, name, coordinator):
    wait(context, lambda: read_coordinator(context.cluster, name) == coordinator)


@then("all instances know within 2 s that the upstream is leaving")
def check_all_know_leaving(context):
    started_s = time.monotonic()
    for capacity in context.cluster.capacities.values():
        wait(context, lambda: capacity.list_upstream_states()[0].is_leaving)  # noqa: B023
    assert time.monotonic() - started_s < 2.0


@then("all instances know within 2 s that the upstream is not leaving")
def check_all_know_not_leaving(context):
    started_s = time.monotonic()
    for capacity in context.cluster.capacities.values():
        wait(context, lambda: not capacity.list_upstream_states()[0].is_leaving)  # noqa: B023
    assert time.monotonic() - started_s < 2.0


@then('the last request is refused with "{reason}"')
def check_refused(context, reason):
    refusal = run(context, context.cluster.requests.pop()[1])
    assert refusal.reason == reason, refusal


@then('"{name}" fetches the changes of "{peer}" after revision {revision:d}')
def check_changes(context, name, peer, revision):
    capacity = context.cluster.capacities[name]
    changes = run(context, capacity.fetch_changes(peer, revision))
    assert changes == [b"%d" % (revision + 1)], changes


@then('"{name}" fetches the trace "{request_id}" of "{peer}"')
def check_trace(context, name, request_id, peer):
    capacity = context.cluster.capacities[name]
    trace = run(context, capacity.fetch_trace(peer, request_id))
    assert trace == f"{peer}:{request_id}".encode(), trace


@then('"{name}" has seen revision {revision:d} at "{peer}"')
def check_revision(context, name, revision, peer):
    wait(context, lambda: (name, peer, revision) in context.cluster.revisions)


@then('"{name}" lists {count:d} live instances')
def check_members(context, name, count):
    members = context.cluster.capacities[name].list_members()
    assert [member.is_live for member in members] == [True] * count, members


@then('"{name}" lists {used:d} of {limit:d} slots in use')
def check_upstreams(context, name, used, limit):
    (upstream,) = context.cluster.capacities[name].list_upstream_states()
    assert (upstream.slots_in_use, upstream.slots_limit) == (used, limit), upstream
