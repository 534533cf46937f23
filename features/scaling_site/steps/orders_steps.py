import base64
import http.client
import json
import re
import time

from behave import given, then, when

from features.lease_sites.site import (
    LEASE_SETTINGS,
    open_lease_site,
    start_instance,
    wait_for,
)
from features.platform.site import call_store, list_upstream
from standins.store import write_row

SCALING = {
    "min-replicas": 1,
    "max-replicas": 30,
    "boot-s": 4,
    "spot-price": 0.22,
    "zone-prices": {"a": 1.0},
}
SETTINGS = LEASE_SETTINGS + "port-range=9300,9310\n"
ORDERED = re.compile(
    r'^jujubenotch_upstreams_ordered\{[^}]*kind="(\w+)"[^}]*\} (\S+)$', re.MULTILINE
)


def start_site(context, scaling):
    context.lease_site = context.stack.enter_context(open_lease_site())
    site = context.lease_site.site
    service = {"name": "plain", "max-conns": 100, "scaling": scaling}
    document = {"version": site.version + 10, "services": [service]}
    call_store(site, write_row, "op", "config", json.dumps(document).encode())
    list_more(context, "standard", 7)
    start_instance(context.lease_site, "edge-1", SETTINGS)
    context.instance = context.lease_site.instances["edge-1"]


def list_more(context, kind, count):
    site = context.lease_site.site
    for number in range(count):
        name = f"{kind}-{number}"
        site.upstreams[name] = site.upstreams["up-1"]
        list_upstream(site, name, preemptible=kind == "preemptible", born=number + 1)


def find_orders(context):
    calls = list(context.lease_site.cloud.calls)
    return [each.body for each in calls if each.subject[0] == "/scale"]


@given("a site with 8 standard upstreams and one program")
def give_site(context):
    start_site(context, SCALING)


@given("a site with 8 standard upstreams without limits and one program")
def give_site_without(context):
    start_site(context, None)


@then(
    'the API gets the order of {count:d} {kind} upstreams in "{place}" within '
    "{within_s:g} s"
)
def check_order(context, count, kind, place, within_s):
    expected = {"service": "plain", "zone": place, "desired-count": count}
    if kind == "preemptible":
        expected["preemptible"] = True

    def is_ordered():
        return expected in find_orders(context)

    wait_for(is_ordered, within_s, (find_orders(context), context.instance.log))


@then("no order for standard upstreams came before")
def check_no_standard(context):
    orders = find_orders(context)
    assert all(each.get("preemptible") for each in orders), orders


@when("{count:d} preemptible upstreams are listed")
def list_preemptible(context, count):
    list_more(context, "preemptible", count)


@then(
    "the store's row of the orders tells {standard:d} standard and {preemptible:d} "
    "preemptible ones"
)
def check_row(context, standard, preemptible):
    def find(state):
        return state.rows[("leases", "", "orders")].value

    value = call_store(context.lease_site.site, find)
    if not value.startswith(b"{"):
        value = base64.b64decode(value)
    place = json.loads(value)["services"]["plain"]["places"]["a"]
    assert (place["standard"], place["preemptible"]) == (standard, preemptible), place


@then(
    "the metrics tell {standard:d} standard and {preemptible:d} preemptible ones ordered"
)
def check_metrics(context, standard, preemptible):
    def is_told():
        connection = http.client.HTTPConnection(context.instance.host, 9464, timeout=3)
        connection.request("GET", "/metrics")
        found = dict(ORDERED.findall(connection.getresponse().read().decode()))
        connection.close()
        return found == {"standard": str(standard), "preemptible": str(preemptible)}

    wait_for(is_told, 3.0, "the metrics tell other numbers")


@when("{duration_s:g} s pass")
def wait(context, duration_s):
    time.sleep(duration_s)


@then("the API got no order")
def check_no_order(context):
    assert not find_orders(context), find_orders(context)
