from behave import given, then, when

from jujubenotch.forwarding import (
    Item,
    ListedUpstream,
    UpstreamListing,
    apply_items,
    find_usable,
)

SERVICE = "drafting"
COPIED_REVISION = 5


def make_item(name, *, is_leaving=False, revision=1, started_ms=1):
    return Item(
        key=name,
        revision=revision,
        value=ListedUpstream(
            name=name,
            service=SERVICE,
            address="127.0.0.1:1",
            data_centre="north",
            slots=4,
            is_leaving=is_leaving,
            started_ms=started_ms,
        ),
    )


def apply_entries(context, *items, is_snapshot=False, follows_outage=False, **others):
    apply_items(
        context.listing,
        items,
        is_snapshot=is_snapshot,
        follows_outage=follows_outage,
        **{"now_s": 0.0, **others},
    )


@given('the upstreams "{names}" are listed')
def make_listing(context, names):
    context.listing = UpstreamListing()
    apply_entries(
        context, *[make_item(name) for name in names.split(",")], is_snapshot=True
    )


@when('the entry of "{name}" is removed at {now_s:g} s')
def remove(context, name, now_s):
    apply_entries(context, Item(key=name, value=None, is_removed=True), now_s=now_s)


@when(
    'the entry of "{name}" is missing when the store is available again at {now_s:g} s'
)
def remove_after_outage(context, name, now_s):
    item = Item(key=name, value=None, is_removed=True)
    apply_entries(context, item, follows_outage=True, now_s=now_s)


@when('"{name}" is listed again')
def list_again(context, name):
    apply_entries(context, make_item(name))


@when('"{name}" is leaving')
def list_as_leaving(context, name):
    apply_entries(context, make_item(name, is_leaving=True))


@when('the entry of "{name}" can\'t be read')
def make_unreadable(context, name):
    apply_entries(context, Item(key=name, value=None))


@when('the whole list is "{names}" at {now_s:g} s')
def list_whole(context, names, now_s):
    items = [make_item(name) for name in names.split(",")]
    apply_entries(context, *items, is_snapshot=True, now_s=now_s)


@when('the store is restored at {now_s:g} s from a copy that lists "{names}"')
def restore_store_from_copy(context, now_s, names):
    items = [make_item(name) for name in names.split(",")]
    apply_entries(
        context,
        *items,
        is_snapshot=True,
        follows_outage=True,
        now_s=now_s,
        copied_revision=COPIED_REVISION,
    )


@when('the entry of "{name}" is written at {now_s:g} s after the restore')
def write_after_restore(context, name, now_s):
    item = make_item(name, revision=COPIED_REVISION + 1)
    apply_entries(context, item, now_s=now_s)


@then('"{names}" is usable at {now_s:g} s')
def check_usable(context, names, now_s):
    usable = find_usable(context.listing, SERVICE, now_s)
    assert [each.name for each in usable] == names.split(","), usable


@when('a new process "{name}" is listed at {now_s:g} s')
def list_new_process(context, name, now_s):
    apply_entries(context, make_item(name, started_ms=2), now_s=now_s)


@then('the process of "{name}" that is usable at {now_s:g} s is the new one')
def check_new_process(context, name, now_s):
    usable = find_usable(context.listing, SERVICE, now_s)
    assert {each.started_ms for each in usable if each.name == name} == {2}, usable
