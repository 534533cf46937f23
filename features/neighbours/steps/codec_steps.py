import random
import zlib

import orjson
from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from jujubenotch.neighbours import (
    Message,
    MessageError,
    MessageItem,
    MessageKind,
    Reassembly,
    VersionEntry,
    decode_message,
    join_datagram,
    split_message,
)
from jujubenotch.usage import ProcessReport, ServiceTotals

SENDER = "10.0.0.1:7000"
NUMBERS = st.integers(min_value=0, max_value=2**40)
SECONDS = st.integers(0, 2**31).map(float)
ITEMS = st.builds(
    MessageItem,
    key=st.text(max_size=20),
    content=st.binary(max_size=600),
    is_removed=st.booleans(),
    revision=NUMBERS,
)
COUNTS = st.dictionaries(st.text(min_size=1, max_size=9), st.integers(1, 2**40))
TOTALS = st.builds(
    ServiceTotals, arrived=st.integers(1, 2**40), refused=NUMBERS, slot_s=SECONDS
)
REPORTS = st.builds(
    ProcessReport,
    process=st.text(max_size=20),
    data_centre=st.text(max_size=20),
    true_time_s=SECONDS,
    up_s=SECONDS,
    age_s=SECONDS,
    windows=st.dictionaries(NUMBERS, COUNTS, max_size=3),
    services=st.dictionaries(st.text(max_size=9), TOTALS, max_size=3),
)
VERSIONS = st.builds(VersionEntry, service=st.text(), software_version=st.text())
MESSAGES = st.builds(
    Message,
    kind=st.sampled_from(MessageKind),
    era=NUMBERS,
    after_revision=NUMBERS,
    revision=NUMBERS,
    changed_revision=NUMBERS,
    store_time_s=st.floats(min_value=0, max_value=1e9),
    list_revision=NUMBERS,
    follows_outage=st.booleans(),
    is_complete=st.booleans(),
    items=st.lists(ITEMS, max_size=6).map(tuple),
    reports=st.lists(REPORTS, max_size=3).map(tuple),
    lease_revisions=st.lists(NUMBERS, max_size=4).map(tuple),
    wants_versions=st.booleans(),
    versions=st.none() | st.lists(VERSIONS, max_size=3).map(tuple),
)


def make_large_message(size):
    content = random.Random(5).randbytes(size)
    item = MessageItem(key="a", content=content, revision=1)
    return Message(kind=MessageKind.UPSTREAMS, items=(item,))


def join(datagrams, reassembly=None, now_s=0.0):
    reassembly = reassembly or Reassembly()
    joined = [join_datagram(reassembly, SENDER, each, now_s) for each in datagrams]
    return [content for content in joined if content is not None]


@then("random messages are decoded as they were encoded")
def check_round_trip(context):
    @settings(derandomize=True, database=None, max_examples=200, deadline=None)
    @given_examples(MESSAGES, st.randoms(use_true_random=False))
    def check_one(message, draws):
        datagrams = split_message(message, 7)
        if datagrams is None:
            return
        draws.shuffle(datagrams)
        (content,) = join(datagrams)
        assert decode_message(content) == message

    check_one()


@then("a message without versions has the fields that earlier releases know")
def check_fields(context):
    message = Message(kind=MessageKind.STREAM_QUERY, request_ids=("8f3a",))
    (content,) = join(split_message(message, 1))
    fields = set(orjson.loads(zlib.decompress(content)))
    assert not fields & {"wants_versions", "versions"}, fields


@then("an answer of an earlier release, which has no versions, is decoded without them")
def check_earlier(context):
    document = {"kind": "streams", "request_ids": ["8f3a"], "streams": []}
    message = decode_message(zlib.compress(orjson.dumps(document)))
    assert message.versions is None and message.request_ids == ("8f3a",), message


@given("a message with an item of {size:d} random bytes")
def make_message(context, size):
    context.message = make_large_message(size)


@then("it can't be sent")
def check_not_sent(context):
    assert split_message(context.message, 1) is None


@then("random bytes, and valid datagrams with changed bytes, never cause another error")
def check_damaged(context):
    @settings(derandomize=True, database=None, max_examples=400, deadline=None)
    @given_examples(
        MESSAGES, st.binary(max_size=80), st.integers(0, 2000), st.integers(0, 255)
    )
    def check_one(message, noise, position, value):
        (first, *_) = split_message(message, 7) or [b""]
        damaged = bytearray(first)
        if damaged:
            damaged[position % len(damaged)] ^= value
        for datagram in (noise, bytes(damaged), first[: len(first) // 2]):
            try:
                for content in join([datagram]):
                    decode_message(content)
            except MessageError:
                continue

    check_one()


@given("a message of which one datagram is missing")
def send_incomplete(context):
    context.reassembly = Reassembly()
    context.datagrams = split_message(make_large_message(3000), 1)
    assert len(context.datagrams) > 1
    assert not join(context.datagrams[1:], context.reassembly)


@when("the missing datagram arrives {seconds:g} s later")
def send_rest(context, seconds):
    context.joined = join(context.datagrams[:1], context.reassembly, now_s=seconds)


@then("no message is complete")
def check_none_complete(context):
    assert context.joined == [], context.joined


@then("at most {count:d} incomplete messages are kept after {sent:d} of them")
def check_bounded(context, count, sent):
    for number in range(sent):
        (first, *_) = split_message(make_large_message(3000), number)
        join([first], context.reassembly, now_s=5.0)
    assert len(context.reassembly.messages) <= count
