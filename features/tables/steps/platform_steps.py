import asyncio

from behave import given, then, when

from jujubenotch.tables import ConflictError, EmbeddedPlatformClient, Write


def make_write(key, version):
    return Write(table="t", key=key, value=b"value", expected_version=version)


def transact(context, *writes):
    context.conflict = None
    try:
        asyncio.run(context.platform.transact(writes))
    except ConflictError as error:
        context.conflict = error.key


def read_version(context, key):
    row = asyncio.run(context.platform.read("t", key))
    return row and row.version


@given('an embedded platform with the row "a" at version 1')
def make_platform(context):
    context.platform = EmbeddedPlatformClient()
    transact(context, make_write("a", 0))


@when('a transaction changes "a" at version 1 and inserts "b"')
def change_and_insert(context):
    transact(context, make_write("a", 1), make_write("b", 0))


@then('both rows are written, "a" at version 2 and "b" at version 1')
def check_both(context):
    assert context.conflict is None
    assert (read_version(context, "a"), read_version(context, "b")) == (2, 1)


@when('a transaction inserts "c" and changes "a" at version 1')
def insert_and_change(context):
    transact(context, make_write("c", 0), make_write("a", 1))


@then('the transaction conflicts on "a" and "c" does not exist')
def check_conflict(context):
    assert context.conflict == "a"
    assert read_version(context, "c") is None
    assert read_version(context, "a") == 2


@when('a transaction inserts "c" and then "b"')
def insert_two(context):
    transact(context, make_write("c", 0), make_write("b", 0))


@then('a scan after "a" returns "b, c"')
def check_scan(context):
    rows = asyncio.run(context.platform.scan("t", "a"))
    assert [row.key for row in rows] == ["b", "c"]
