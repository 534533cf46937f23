import logging

from behave import given, then, when

from features.streams.fleet import Plan, play

FIRST_SEED = 300
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
    "nothing is known": {"knows_origins": False},
    "one version serves": {"rollouts": (), "upstream_kills": 0},
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


@then("in each no message was sent")
def check_messages(context):
    assert all(each.begun and not each.messages for each in context.counts), (
        context.counts
    )
