from behave import given, then, when

from jujubenotch.membership import (
    Instances,
    ListedInstance,
    count_possible,
    count_sharing,
    find_gone,
    is_asking,
    list_choosable,
    list_helpers,
    list_neighbours,
    record_heard,
    record_listed,
    request_answers,
    take_questions,
)

OWN = "10.0.0.1:7000"
OWN_START = "0123456789abcdef"
LIVE = ["10.0.0.2:7000", "10.0.0.3:7000"]
LISTING_PAUSE_S = 10.0
QUESTION_PAUSE_S = 0.5


def make_entry(address, data_centre="a", start=OWN_START):
    return ListedInstance(
        data_centre=data_centre,
        address=address,
        incarnation=start,
        key=f"{address}/{start}",
    )


def list_store(context, data_centre=None):
    record_listed(
        context.instances,
        context.listed,
        own_incarnation=OWN_START,
        data_centre=data_centre,
        neighbours_in=context.place,
        now_s=context.now_s,
    )


def ask(context, answering=LIVE, limit=10_000):
    """Ask once, deliver the answers, and let the time to the next question pass."""
    for address in take_questions(context.instances, limit):
        if address in answering:
            record_heard(context.instances, address, now_s=context.now_s)
    context.now_s += QUESTION_PAUSE_S


def ask_all(context, answering=LIVE):
    request_answers(context.instances, asks_all=True, now_s=context.now_s)
    while is_asking(context.instances):
        ask(context, answering)


@given("an instance that lists {live:d} live instances and {gone:d} that are gone")
def make_instances(context, live, gone, gone_place="a", place=None):
    context.now_s = 100.0
    context.place = place
    context.instances = Instances(own_address=OWN)
    context.gone = [
        f"10.{1 + number // 62500}.{number // 250 % 250}.{1 + number % 250}:7000"
        for number in range(gone)
    ]
    context.listed = [make_entry(address) for address in (OWN, *LIVE[:live])]
    context.listed += [make_entry(address, gone_place) for address in context.gone]
    list_store(context)


@given(
    "an instance that lists {live:d} live instances and {gone:d} that are gone in two "
    "data centres"
)
def make_two_data_centres(context, live, gone):
    make_instances(context, live, gone, place="a")
    context.listed = context.listed[: 1 + live]
    middle = gone // 2
    for number, address in enumerate(context.gone):
        context.listed.append(make_entry(address, "a" if number < middle else "b"))
    context.instances = Instances(own_address=OWN)
    list_store(context)


@given("{count:d} instances without an endpoint")
def add_without_endpoint(context, count):
    context.listed += [
        ListedInstance(
            data_centre="a",
            address="",
            name=f"bare-{number}",
            incarnation=f"{number:015x}{start}",
        )
        for number in range(count)
        for start in range(2)
    ]
    list_store(context)


@given("an instance without an endpoint, which lists {count:d} such instances")
def make_bare_instances(context, count):
    context.now_s = 100.0
    context.place = None
    context.gone = []
    context.listed = []
    context.instances = Instances(own_address="", own_name="bare-0")
    add_without_endpoint(context, count)


@given("{count:d} earlier starts at the address of each")
def add_starts(context, count):
    context.listed += [
        make_entry(address, start=f"{number:016x}")
        for address in (OWN, *LIVE)
        for number in range(count)
    ]
    list_store(context)


@when("those that answer were asked once")
def ask_once(context):
    request_answers(context.instances, asks_all=True, now_s=context.now_s)
    ask(context)


@when("those that answer were asked {count:d} times")
def ask_times(context, count):
    request_answers(context.instances, asks_all=True, now_s=context.now_s)
    for _ in range(count):
        ask(context)


@when("the neighbours were asked {count:d} times")
def ask_neighbours(context, count):
    request_answers(context.instances, now_s=context.now_s)
    for _ in range(count):
        ask(context)


@when("those that answer were asked until the others are silent")
def ask_until_silent(context):
    ask_all(context)


@when("those that answer miss 2 of 3 questions for {duration_s:d} s")
def miss_answers(context, duration_s):
    end_s = context.now_s + duration_s
    number = 0
    while context.now_s < end_s:
        request_answers(context.instances, asks_all=True, now_s=context.now_s)
        number += 1
        ask(context, LIVE if number % 3 == 0 else ())
        assert count_sharing(context.instances) == 3, context.instances


@when("the store is listed for {duration_s:d} s")
def list_for(context, duration_s):
    end_s = context.now_s + duration_s
    while True:
        list_store(context)
        if context.now_s >= end_s:
            return
        ask_all(context)
        context.now_s = min(end_s, context.now_s + LISTING_PAUSE_S)


@when("{duration_s:d} s pass in which the store doesn't answer")
def pass_time(context, duration_s):
    end_s = context.now_s + duration_s
    while context.now_s < end_s:
        ask_all(context)
        context.now_s += LISTING_PAUSE_S


@when("one of the others is heard")
def hear_other(context):
    context.heard = context.gone[0]
    assert record_heard(context.instances, context.heard, now_s=context.now_s)


@when("the store lists the live instances alone")
def list_live(context):
    context.listed = [make_entry(address) for address in (OWN, *LIVE)]
    list_store(context)


@when("the store lists nobody")
def list_nobody(context):
    context.listed = []
    list_store(context)


@when("the own data centre is listed without anybody")
def list_own_data_centre(context):
    context.listed = []
    list_store(context, "a")


@then("{count:d} instances share a limit")
def check_sharing(context, count):
    assert count_sharing(context.instances) == count, count_sharing(context.instances)


@then("{count:d} instances may be running")
def check_possible(context, count):
    assert count_possible(context.instances) == count, count_possible(context.instances)


@then("the live instances alone are chosen to keep something")
def check_choosable(context):
    assert list_choosable(context.instances) == {OWN, *LIVE}


@then("{messages:d} instances get messages, and {helpers:d} are asked for help")
def check_messages(context, messages, helpers):
    assert len(list_neighbours(context.instances)) == messages, context.instances
    assert len(list_helpers(context.instances)) == helpers, context.instances


@then("the entries of the others are to be removed")
def check_gone(context):
    found = {each.address for each in find_gone(context.instances)}
    assert found == set(context.gone), found


@then("no entry is to be removed")
def check_none_gone(context):
    assert not find_gone(context.instances)


@then("no entry of it is to be removed")
def check_heard_kept(context):
    assert context.heard not in {each.address for each in find_gone(context.instances)}


@then("this instance knows that its own entry is missing")
def check_own_missing(context):
    assert not context.instances.is_own_listed


@then("the earlier starts of this instance are known as superseded")
def check_superseded(context):
    superseded = context.instances.superseded
    assert len(superseded) == 3, superseded
    assert OWN_START not in {each.incarnation for each in superseded}, superseded


@then("at most {count:d} instances are known")
def check_bound(context, count):
    assert len(context.instances.known) <= count
    assert set(LIVE) <= set(context.instances.known)


@then("the earlier starts of this instance alone are known as superseded")
def check_own_superseded(context):
    names = [each.name for each in context.instances.superseded]
    assert names == ["bare-0"] * 2, names
