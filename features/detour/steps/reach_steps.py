import random
from collections import Counter

from behave import given, then, when

from jujubenotch.detour import (
    CUT_OFF_AVOID_S,
    BorrowedCallError,
    Helpers,
    Reach,
    avoid_helper,
    choose_helper,
    choose_samples,
    decode_call,
    encode_call,
    needs_check,
    record_check,
    record_contact,
    record_failure,
    record_help,
    record_probe,
)
from jujubenotch.dispatch import Call, ConfigurationBasis, Progress
from jujubenotch.forwarding import ListedUpstream
from jujubenotch.records import ServiceClass, Team
from jujubenotch.streams import StreamOrigin

NOW_S = 100.0
DATA_CENTRES = ("a", "b", "c")
KEY = "secret-key"


@given("an upstream that responded {age_s:g} s ago")
def respond(context, age_s):
    context.reach = Reach()
    record_contact(context.reach, NOW_S - age_s)


@when("connections to {count:d} upstreams failed")
def fail(context, count):
    for number in range(count):
        record_failure(context.reach, f"u-{number}", NOW_S)


@then("the paths are checked")
def check_checked(context):
    assert needs_check(context.reach, NOW_S)


@then("the paths are not checked")
def check_not_checked(context):
    assert not needs_check(context.reach, NOW_S)


@when("a check reaches {reached:d} of {tried:d} upstreams")
def make_check(context, reached, tried):
    context.reach = Reach()
    record_check(context.reach, tried=tried, reached=reached, now_s=NOW_S)


@then("the service is lost")
def check_lost(context):
    assert context.reach.is_lost


@then("the service is reached")
def check_reached(context):
    assert not context.reach.is_lost


@when('the probes end as "{results}"')
def probe(context, results):
    for result in results.split(","):
        record_probe(context.reach, is_reached=result == "reached", now_s=NOW_S)


@given("{count:d} upstreams in each of 3 data centres")
def list_upstreams(context, count):
    context.upstreams = [
        ListedUpstream(
            name=f"{data_centre}-{number}",
            service="drafting",
            address="127.0.0.1:1",
            data_centre=data_centre,
            slots=4,
        )
        for data_centre in DATA_CENTRES
        for number in range(count)
    ]


@then("each of {count:d} checks connects to {samples:d} of each data centre")
def check_samples(context, count, samples):
    draws = random.Random(3)
    for _ in range(count):
        upstreams = context.upstreams
        chosen = choose_samples(upstreams, [draws.random() for _ in upstreams])
        counts = Counter(each.data_centre for each in chosen)
        assert counts == dict.fromkeys(DATA_CENTRES, samples), counts


@given("{count:d} instances in 3 data centres of which {cut:d} are cut off")
def make_instances(context, count, cut):
    context.draws = random.Random(5)
    context.instances = {
        f"e-{number}": DATA_CENTRES[number % 3] for number in range(count)
    }
    context.cut = set(context.draws.sample(sorted(context.instances), cut))


@when("each of these sends {count:d} requests")
def send_requests(context, count):
    context.helped = Counter()
    context.unhelped = 0
    states = {name: Helpers() for name in context.cut}
    for number in range(count):
        for name in sorted(context.cut):
            _send(context, name, states[name], NOW_S + number / 10)


def _send(context, name, helpers, now_s):
    asked = ask_in_turn(context, name, helpers, now_s)
    if not asked or asked[-1] in context.cut:
        context.unhelped += 1


@then("at least {share:d} in 100 requests find an instance that helps")
def check_helped(context, share):
    # An instance that starts to ask knows nothing of the others yet.
    helped = sum(context.helped.values())
    assert 100 * helped >= share * (helped + context.unhelped), context.unhelped


@then(
    "no instance gets more than {most:g} times the mean of those that help in its data "
    "centre"
)
def check_spread(context, most):
    check_spread_above(context, most, 0)


@then(
    "no instance gets more than {most:g} times the mean of those in its data centre, if "
    "that is {least:g}"
)
def check_spread_above(context, most, least):
    # The largest of some random counts of a small mean is often over twice that.
    for data_centre in DATA_CENTRES:
        counts = [
            context.helped[name]
            for name, own in context.instances.items()
            if own == data_centre and name not in context.cut
        ]
        mean = sum(counts) / len(counts) if counts else 0.0
        if mean > least:
            assert max(counts) <= most * mean, (max(counts), mean)


@given("{count:d} instances in 3 data centres")
def make_whole_instances(context, count):
    context.draws = random.Random(7)
    context.instances = {
        f"e-{number}": DATA_CENTRES[number % 3] for number in range(count)
    }


@given("{share:d} in 100 of the instances of one data centre are cut off")
def cut_data_centre(context, share):
    own = [
        name for name, place in context.instances.items() if place == DATA_CENTRES[0]
    ]
    cut_share(context, own, share)


@given("{share:d} in 100 of all instances are cut off")
def cut_all_alike(context, share):
    cut_share(context, sorted(context.instances), share)


def cut_share(context, names, share):
    context.cut = set(context.draws.sample(names, round(len(names) * share / 100)))


@when("each of these sends {rate:d} requests a second for {seconds:d} s")
def send_for_some_time(context, rate, seconds):
    context.helped = Counter()
    context.asked = []
    states = {name: Helpers() for name in context.cut}
    for number in range(rate * seconds):
        sent_s = number / rate
        for name in sorted(context.cut):
            asked = ask_in_turn(context, name, states[name], NOW_S + sent_s)
            context.asked.append((sent_s, asked))


def ask_in_turn(context, name, helpers, now_s):
    """Ask instances as the daemon does, and return those asked, in their order."""
    others = {
        other: place for other, place in context.instances.items() if other != name
    }
    draws = {other: context.draws.random() for other in others}
    asked = []
    while True:
        other = choose_helper(
            helpers,
            others,
            context.instances[name],
            asked=asked,
            draws=draws,
            now_s=now_s,
        )
        if other is None:
            return asked
        asked.append(other)
        if other not in context.cut:
            context.helped[other] += 1
            record_help(helpers, other, now_s)
            return asked
        avoid_helper(helpers, other, now_s, CUT_OFF_AVOID_S)


@then(
    "at least {share:d} in 100 requests sent later than {since_s:g} s find an instance "
    "that helps"
)
def check_helped_later(context, share, since_s):
    later = [asked for sent_s, asked in context.asked if sent_s > since_s]
    helped = [asked for asked in later if asked and asked[-1] not in context.cut]
    assert later and 100 * len(helped) >= share * len(later), (len(helped), len(later))


@then("no request asks more than {most:d} instances")
def check_asked(context, most):
    assert max(len(asked) for _, asked in context.asked) <= most


@given(
    'a call of the team "{team}" whose stream began at "{version}" and has {left:g} s '
    "left"
)
def make_call(context, team, version, left):
    context.call = Call(
        request_id="r-1",
        target="drafting",
        team=Team(name=team),
        service_class=ServiceClass(
            name="r", tier=1, first_token_target_s=0.4, deadline_s=10.0
        ),
        method="POST",
        path="/r/x",
        headers=(("host", "h.example"), ("x-attempt-id", "r-1")),
        body=b"body\nof two lines",
        arrived_s=NOW_S,
        caller_deadline_s=NOW_S + left,
        is_stream=True,
        can_resume_elsewhere=True,
        max_runs=3,
        basis=ConfigurationBasis(
            version=4, age_s=0.2, revision=17, source="10.0.0.1:7000"
        ),
    )
    context.progress = Progress(
        is_stream_started=True,
        last_event_id="7",
        origin=StreamOrigin(service="drafting", software_version=version),
    )


@when("it is decoded by another instance after {passed_s:g} s")
def decode(context, passed_s):
    context.content = encode_call(context.call, context.progress, NOW_S)
    context.decoded_s = NOW_S + passed_s
    context.decoded = decode_call(context.content, context.decoded_s)


@then("it has {left:g} s left there, runs once at most and is sent no further")
def check_bounds(context, left):
    decoded = context.decoded
    assert abs(decoded.deadline_s - context.decoded_s - left) < 1e-6
    assert decoded.max_runs == 1 and decoded.is_borrowed
    assert decoded.body == context.call.body
    assert decoded.headers == context.call.headers
    assert decoded.basis == context.call.basis


@then('it resumes its stream after the event "{event}" at "{version}"')
def check_resumption(context, event, version):
    assert context.decoded.resume_after_event_id == event
    assert context.decoded.origin.software_version == version


@then('neither the call nor its encoding has the key "{key}"')
def check_key(context, key):
    assert key.encode() not in context.content
    assert key not in repr(context.decoded)


@when('another instance sends "{content}"')
@when('another instance sends ""')
def send_content(context, content=""):
    try:
        context.decoded = decode_call(content.encode(), NOW_S)
    except BorrowedCallError as error:
        context.decoded = error


@then("that is no call")
def check_no_call(context):
    assert isinstance(context.decoded, BorrowedCallError)
