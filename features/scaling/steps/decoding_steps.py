import json

from behave import given, then, when
from hypothesis import example, settings, strategies
from hypothesis import given as draw

from jujubenotch.forwarding import Item, UpstreamListing, apply_items, find_usable
from jujubenotch.platform.documents import decode_configuration, decode_upstream
from jujubenotch.scaling import decode_orders

ENTRY = (
    '{"service": "drafting", "address": "127.0.0.1:1", "zone": "north", "slots": 12, '
    '"state": "ready", "born": 5, %s}'
)
JSON = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["format", "era", "services", "places", "needed"]),
            inner,
        )
    ),
)


@given("a service with the scaling '{scaling}'")
def make_configuration(context, scaling):
    service = {"name": "drafting", "scaling": json.loads(scaling)}
    context.content = json.dumps({"version": 1, "services": [service]}).encode()


@when("the configuration is decoded")
def decode(context):
    context.configuration = decode_configuration(context.content)


@then(
    "between {least:d} and {most:d} upstreams with a relative price of {price:g} may be "
    "ordered"
)
def check_limits(context, least, most, price):
    scaling = context.configuration.services["drafting"].scaling
    assert (scaling.min_upstreams, scaling.max_upstreams) == (least, most), scaling
    assert scaling.preemptible_price == price and scaling.boot_s == 4, scaling
    assert scaling.data_centre_prices == {"north": 0.85}, scaling


@then("the configuration is valid and nothing may be ordered")
def check_unordered(context):
    assert context.configuration.services["drafting"].scaling is None


@given("an upstream's entry with '{fields}' that is read at 0 s and again at 20 s")
def read_entry(context, fields):
    context.listing = UpstreamListing()
    entry = decode_upstream("machine-1", (ENTRY % fields).encode())
    assert entry.is_preemptible
    for now_s in (0.0, 20.0):
        item = Item(key="machine-1", revision=1, value=entry)
        apply_items(
            context.listing,
            (item,),
            is_snapshot=True,
            follows_outage=False,
            now_s=now_s,
        )


@then("at {now_s:g} s the upstream is {usable}")
def check_usable(context, now_s, usable):
    found = find_usable(context.listing, "drafting", now_s)
    assert bool(found) == (usable == "usable"), found


@then("no drawn content of the stored orders raises an error")
def check_contents(context):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @draw(strategies.binary() | JSON.map(lambda value: json.dumps(value).encode()))
    @example(b'{"format":1,"era":0,"services":{"a":{"needed":1,"places":{"b":{}}}}}')
    def check(content):
        decode_orders(content, 0, 0.0)

    check()
