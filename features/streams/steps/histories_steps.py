import logging

from behave import given, then, when

from features.streams.fleet import SERVICE, Plan, play
from jujubenotch.streams import (
    VersionHistory,
    find_recent_versions,
    has_seen_window,
    note_versions,
    record_versions,
)

FIRST_SEED = 300
NOW_S = 200.0
# Instances that register a version at the same time don't see each other's call.
MAX_WRITERS = 3
KINDS = {
    "upstreams are killed during a rollout": {},
    "instances and upstreams are killed during a fast rollout": {
        "instance_kills": 3,
        "pace_s": 0.15,
    },
    "instances and upstreams are killed during a slow rollout": {
        "instance_kills": 3,
        "pace_s": 1.5,
    },
    "three versions serve and instances are killed": {
        "versions": ("v1", "v2", "v3"),
        "rollouts": (6.0, 8.0),
        "instance_kills": 3,
        "pace_s": 1.0,
    },
    "a rollout goes back to the first version": {
        "versions": ("v1", "v2", "v1"),
        "rollouts": (6.0, 12.0),
        "instance_kills": 2,
    },
    "a third of the messages is lost and instances are killed": {
        "loss": 0.33,
        "instance_kills": 3,
    },
    "some instances are cut off from the store": {"cut_share": 0.4},
    "lists come late": {"list_delay_s": 3.0, "instance_kills": 2},
    # Few callers come to an instance that is out of step, so many upstreams end.
    "instances are cut off from all others": {
        "isolations": 4,
        "upstream_kills": 14,
        "named_share": 0.5,
    },
    "instances are cut off from all others during a fast rollout": {
        "isolations": 4,
        "upstream_kills": 14,
        "pace_s": 0.1,
        "named_share": 0.5,
    },
    "instances stand still": {
        "pauses": 4,
        "upstream_kills": 14,
        "named_share": 0.5,
    },
    "instances stand still during a slow rollout": {
        "pauses": 4,
        "upstream_kills": 14,
        "pace_s": 1.5,
        "named_share": 0.5,
    },
    "nothing is known": {"knows_origins": False},
    # The streams that were cut off before the rollout come back after it.
    "all instances end before a fast rollout": {
        "power_losses": (5.0,),
        "pace_s": 0.05,
        "named_share": 0.5,
        "upstream_kills": 0,
        "rollouts": (5.2,),
    },
    "all instances end during a rollout": {
        "power_losses": (7.5,),
        "pace_s": 0.4,
        "named_share": 0.5,
        "upstream_kills": 0,
    },
    "all instances end at the end of a rollout": {
        "power_losses": (9.6,),
        "pace_s": 0.4,
        "named_share": 0.5,
        "upstream_kills": 0,
    },
    "all instances end after a rollout": {
        "power_losses": (10.5,),
        "pace_s": 0.4,
        "named_share": 0.5,
        "upstream_kills": 0,
    },
    "all instances end after a slow rollout": {
        "power_losses": (19.7,),
        "pace_s": 1.5,
        "named_share": 0.5,
        "upstream_kills": 0,
    },
    "all instances end twice": {
        "power_losses": (9.6, 12.0),
        "pace_s": 0.4,
        "named_share": 0.5,
        "upstream_kills": 0,
    },
    # The copy lacks what was recorded since the rollout began.
    "the store is restored before all instances end": {
        "power_losses": (9.6,),
        "restores": ((7.0, 3.0),),
        "upstream_kills": 0,
        "named_share": 0.5,
    },
    "the store is restored as all instances end": {
        "power_losses": (9.6,),
        "restores": ((9.7, 4.5),),
        "upstream_kills": 0,
        "named_share": 0.5,
    },
    "the store is unavailable when all instances end": {
        "power_losses": (9.6,),
        "store_faults": ((8.0, 14.0),),
        "upstream_kills": 0,
        "named_share": 0.5,
    },
    "nothing can be recorded and all instances end": {
        "power_losses": (9.6,),
        "store_faults": ((5.0, 10.0),),
        "upstream_kills": 0,
        "named_share": 0.5,
    },
    "all instances end during a rollout and much later": {
        "power_losses": (7.5, 45.0),
        "upstream_kills": 0,
        "named_share": 0.5,
        "length_s": 60.0,
    },
    "all instances end while one version serves": {
        "power_losses": (6.0,),
        "rollouts": (),
        "upstream_kills": 0,
        "named_share": 0.5,
    },
    "all instances end soon after the deployment's start": {
        "power_losses": (4.0,),
        "rollouts": (),
        "upstream_kills": 0,
        "named_share": 0.5,
        "first_start_s": -2.0,
    },
    "one version serves": {"rollouts": (), "upstream_kills": 0},
    "instances are killed, and 60 were replaced before": {
        "instance_kills": 4,
        "pace_s": 1.5,
        "replaced_instances": 60,
    },
    "instances are killed, and 200 were replaced before": {
        "instance_kills": 4,
        "pace_s": 1.5,
        "replaced_instances": 200,
    },
    "instances are cut off, and 60 were replaced before": {
        "isolations": 4,
        "upstream_kills": 14,
        "named_share": 0.5,
        "replaced_instances": 60,
    },
    "upstreams and instances are killed soon after the deployment's start": {
        "rollouts": (),
        "first_kill_s": 1.0,
        "instance_kills": 3,
        "first_start_s": -2.0,
        "named_share": 0.5,
    },
    "upstreams are killed and all instances end soon after the deployment's start": {
        "rollouts": (),
        "first_kill_s": 1.0,
        "power_losses": (7.0,),
        "first_start_s": -2.0,
        "named_share": 0.5,
    },
    "upstreams and instances of two releases are killed soon after the start": {
        "rollouts": (),
        "first_kill_s": 1.0,
        "instance_kills": 3,
        "first_start_s": -2.0,
        "is_earlier": True,
    },
    "all upstreams are replaced under their names and all instances end": {
        "rollouts": (),
        "replaced_at_s": (5.0,),
        "upstream_kills": 0,
        "power_losses": (4.9,),
        "first_start_s": -2.0,
        "named_share": 0.5,
    },
    "all upstreams are replaced under their names after a restore": {
        "rollouts": (),
        "replaced_at_s": (5.0,),
        "upstream_kills": 0,
        "power_losses": (4.9,),
        "restores": ((4.95, 4.9),),
        "first_start_s": -2.0,
        "named_share": 0.5,
    },
}


@given(
    "histories of {instances:d} instances and {upstreams:d} upstreams with {rate:d} "
    "streams a second in which {what}"
)
def make_histories(context, instances, upstreams, rate, what):
    context.plan = Plan(
        instances=instances, upstreams=upstreams, streams_per_s=rate, **KINDS[what]
    )


@when("the histories of {count:d} seeds are played")
def play_histories(context, count):
    logging.disable(logging.WARNING)
    try:
        context.counts = [
            play(context.plan, FIRST_SEED + number) for number in range(count)
        ]
    finally:
        logging.disable(logging.NOTSET)


@then("in each at most {count:d} streams went on at another version")
def check_mixed(context, count):
    assert all(each.mixed <= count for each in context.counts), context.counts


@then("in each no stream went on at another version")
def check_none_mixed(context):
    check_mixed(context, 0)


@then("in each more than {count:d} streams went on at another version")
def check_all_mixed(context, count):
    assert all(each.mixed > count for each in context.counts), context.counts


@then(
    "of the streams that were taken up, while two upstreams of their version served, at "
    "least half as many went on as of the new ones began"
)
def check_gone_on(context):
    assert any(each.taken_up >= 12 for each in context.counts), context.counts
    for each in context.counts:
        if each.taken_up < 12:
            continue
        begun_share = each.begun / (each.begun + each.not_begun)
        assert each.gone_on / each.taken_up >= begun_share / 2, each


@then("in each no message was sent, and the version was registered and nothing else")
def check_messages(context):
    for each in context.counts:
        assert each.begun, each
        assert not each.messages and not each.objects_left, each
        # Each instance reads the registrations once.
        assert each.store_calls == context.plan.instances + each.registrations, each
        assert 0 < each.registrations <= MAX_WRITERS, each
        assert each.registered == {context.plan.versions[0]}, each


@then("no object is left in the store")
def check_objects_removed(context):
    assert not any(each.objects_left for each in context.counts), context.counts


@then("each stream that was taken up went on")
def check_all_gone_on(context):
    for each in context.counts:
        assert each.unnamed >= 12, each
        assert each.unnamed_gone_on == each.unnamed, each
        assert each.gone_on == each.taken_up, each
        assert not each.mixed, each


@then("each start of an instance made at most {count:d} calls to read records")
def check_calls(context, count):
    starts = context.plan.instances * (1 + len(context.plan.power_losses))
    for each in context.counts:
        assert each.store_calls - each.registrations <= count * starts, each


@then("nothing but the version's registration was written")
def check_registered(context):
    for each in context.counts:
        assert not each.objects_left, each
        assert 0 < each.registrations <= MAX_WRITERS, each
        assert each.registered == {context.plan.versions[0]}, each


@given('an instance that saw "{old}" leave {ago_s:d} s ago and lists "{new}"')
def make_history(context, old, ago_s, new):
    context.history = VersionHistory()
    record_versions(context.history, [(SERVICE, old)], now_s=0.0)
    record_versions(context.history, [(SERVICE, new)], now_s=NOW_S - ago_s)


@when('it learns that "{version}" is listed')
def learn_version(context, version):
    note_versions(context.history, [(SERVICE, version)], now_s=NOW_S)


@then('within the last {window_s:d} s it knows "{versions}"')
def check_known(context, window_s, versions):
    recent = find_recent_versions(
        context.history, SERVICE, window_s=window_s, now_s=NOW_S
    )
    assert sorted(recent) == versions.split(","), recent


@then("it has seen the list for longer than {window_s:d} s")
def check_seen(context, window_s):
    assert has_seen_window(context.history, window_s=window_s, now_s=NOW_S)


@then("it has seen the list from now on only")
def check_not_seen(context):
    assert not has_seen_window(context.history, window_s=1.0, now_s=NOW_S)
