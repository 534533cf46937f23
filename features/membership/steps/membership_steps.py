from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from jujubenotch.membership import (
    Membership,
    apply_platform_list,
    choose_by_rendezvous,
    choose_session_peers,
    drop_expired_members,
    find_leaving_upstreams,
    list_live_instances,
    list_own_leaving_reports,
    list_possibly_serving,
    record_disconnect,
    record_frame,
    record_incarnation,
    record_seeds,
    record_upstream_report,
)
from jujubenotch.settings import Seed
from jujubenotch.tables import InstanceListEntry

PORT = 7000


def identify(context, name, incarnation, data_centre="north"):
    return record_incarnation(
        context.membership,
        name=name,
        data_centre=data_centre,
        incarnation=incarnation,
        now_s=context.now_s,
    )


def receive_frame(context, name, **contents):
    record_frame(context.membership, name, now_s=context.now_s, **contents)


@given(
    'instance "a" of data centre "north" knows "{near}" there and "{far}" in "south"'
)
def make_membership(context, near, far):
    context.now_s = 100.0
    context.membership = Membership(name="a", data_centre="north")
    for names, data_centre in ((near, "north"), (far, "south")):
        seeds = [
            Seed(name=name, data_centre=data_centre, host="127.0.0.1", port=PORT)
            for name in names.split()
        ]
        record_seeds(context.membership, seeds, context.now_s)
        for name in names.split():
            assert identify(context, name, 1, data_centre)


@when('the list shows that "{name}" is {state}')
def list_instance(context, name, state):
    entry = InstanceListEntry(
        name=name,
        kind="instance",
        data_centre="north",
        peer_address=f"127.0.0.1:{PORT}",
        is_leaving=state == "leaving",
    )
    apply_platform_list(context.membership, [entry], context.now_s)


@when("the list shows only this instance")
def list_only_this(context):
    entry = InstanceListEntry(
        name="a",
        kind="instance",
        data_centre="north",
        peer_address=f"127.0.0.1:{PORT}",
    )
    apply_platform_list(context.membership, [entry], context.now_s)


@when("members that no source has named lately are dropped")
def drop_unnamed(context):
    drop_expired_members(context.membership, context.now_s)


@when('a heartbeat of "{name}" says that "{same}" is {state}')
def receive_heartbeat(context, name, same, state):
    receive_frame(context, name, is_leaving=state == "leaving")


@when('"{name}" identifies itself with a higher incarnation')
def identify_again(context, name):
    assert identify(context, name, 2)


@when('{wait_s:g} s pass without a frame from "{name}"')
def pass_time(context, wait_s, name):
    context.now_s += wait_s


@when('the connection with "{name}" ends')
def end_connection(context, name):
    record_disconnect(context.membership, name)


@when('"{name}" says that upstream "{upstream}" is leaving')
def report_upstream_leaving(context, name, upstream):
    receive_frame(context, name, leaving_upstreams=[upstream])


@when('upstream "{upstream}" says that it is {state}')
def report_upstream(context, upstream, state):
    record_upstream_report(
        context.membership,
        upstream,
        is_leaving=state == "leaving",
        now_s=context.now_s,
    )


@then('"{name}" is among the live instances')
def check_live(context, name):
    assert name in list_live_instances(context.membership, context.now_s)


@then('"{name}" is not among the live instances')
def check_not_live(context, name):
    assert name not in list_live_instances(context.membership, context.now_s)


@then('"{name}" is among the known instances')
def check_known(context, name):
    assert name in list_possibly_serving(context.membership, context.now_s)


@then('"{name}" is not among the known instances')
def check_not_known(context, name):
    assert name not in list_possibly_serving(context.membership, context.now_s)


@then('"{name}" with its previous incarnation is refused')
def check_previous_incarnation(context, name):
    assert not identify(context, name, 1)


@then('upstream "{upstream}" is leaving')
def check_leaving(context, upstream):
    assert upstream in find_leaving_upstreams(context.membership, context.now_s)


@then('upstream "{upstream}" is not leaving')
def check_not_leaving(context, upstream):
    assert upstream not in find_leaving_upstreams(context.membership, context.now_s)


@then('"a" doesn\'t report "{upstream}" to its peers')
def check_not_reported(context, upstream):
    reported = list_own_leaving_reports(context.membership, context.now_s)
    assert upstream not in reported


@then('"a" reports "{upstream}" to its peers')
def check_reported(context, upstream):
    assert upstream in list_own_leaving_reports(context.membership, context.now_s)


@then('"a" has sessions with "{near}" and with {count:d} of "{far}"')
def check_sessions(context, near, count, far):
    sessions = set(choose_session_peers(context.membership))
    assert set(near.split()) <= sessions
    assert len(sessions & set(far.split())) == count, sessions


@then("for {count:d} keys the choice changes only for those of a removed name")
def check_rendezvous(context, count):
    names = st.sets(st.text("abcdef", min_size=1, max_size=4), min_size=2, max_size=9)

    @settings(derandomize=True, database=None, max_examples=count)
    @for_all(names, st.text(max_size=8), st.randoms())
    def check(names, key, random):
        lost = random.choice(sorted(names))
        before = choose_by_rendezvous(key, names)
        after = choose_by_rendezvous(key, names - {lost})
        assert after == before or before == [lost]

    check()
