import asyncio

from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as draws

from features.platform.site import call_store, run
from jujubenotch.forwarding import SourceError
from jujubenotch.platform.errors import DecodeError
from jujubenotch.platform.store import open_store
from jujubenotch.platform.stream_records import (
    NAME_PREFIX,
    StoreStreamRecords,
    decode_name,
    decode_origins,
    encode_name,
    encode_origins,
)
from jujubenotch.settings import Address
from jujubenotch.streams import (
    BatchName,
    StreamObjects,
    StreamOrigin,
    VersionRecord,
    VersionRegistration,
)
from standins.store import delete_row, drop_history, write_row

EXAMPLES = 300
NUMBERS = draws.integers(0, 2**40)
TEXTS = draws.text(max_size=40)
RECORDS = draws.builds(
    VersionRecord,
    service=TEXTS,
    software_version=TEXTS,
    era=NUMBERS,
    listed_s=NUMBERS,
)
REGISTRATIONS = draws.builds(
    VersionRegistration,
    service=TEXTS,
    software_version=TEXTS,
    era=NUMBERS,
    registered_s=NUMBERS,
)
BATCHES = draws.builds(
    BatchName, era=NUMBERS, begun_s=NUMBERS, writer=TEXTS, number=NUMBERS
)
ORIGINS = draws.dictionaries(
    TEXTS, draws.builds(StreamOrigin, service=TEXTS, software_version=TEXTS), max_size=5
)


def use_records(context, work):
    async def run_work():
        site = context.site
        client = open_store(Address(host=site.host, port=site.store_port))
        async with client.session:
            return await work(StoreStreamRecords(client=client))

    return asyncio.run(run_work())


@when("drawn records and batches are written")
def write_drawn(context):
    @settings(
        max_examples=EXAMPLES,
        derandomize=True,
        database=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(draws.one_of(RECORDS, REGISTRATIONS, BATCHES), ORIGINS)
    def check_codec(identity, origins):
        assert decode_name(encode_name(identity)) == identity
        assert decode_origins(encode_origins(origins)) == origins

    check_codec()
    context.records = {
        VersionRecord(service=service, software_version=version, era=1, listed_s=120)
        for service, version in (("a/b@c", "v1"), ("ä ", ""), ("x", "v%2F"))
    }
    context.registrations = {
        VersionRegistration(
            service=each.service,
            software_version=each.software_version,
            era=each.era,
            registered_s=7,
        )
        for each in context.records
    }
    context.batches = {
        BatchName(era=0, begun_s=7, writer="0f", number=number): {
            f"r-{number}": StreamOrigin(service="a/b@c", software_version="v1")
        }
        for number in range(3)
    }

    async def write(records):
        for record in context.records:
            await records.write_record(record)
        for registration in context.registrations:
            await records.write_registration(registration)
        for name, origins in context.batches.items():
            await records.write_batch(name, origins)

    use_records(context, write)


@then("the same records and batches are read")
def check_read(context):
    async def read(records):
        found = await records.list_objects()
        return found, {each: await records.read_batch(each) for each in found.batches}

    found, batches = use_records(context, read)
    assert set(found.records) == context.records, found
    assert set(found.registrations) == context.registrations, found
    assert batches == context.batches, batches


@when("all of them are removed")
def remove_all(context):
    async def remove(records):
        for identity in (*context.records, *context.registrations, *context.batches):
            await records.remove(identity)

    use_records(context, remove)


@then("no record and no batch is read")
def check_none_read(context):
    found = use_records(context, lambda records: records.list_objects())
    assert found == StreamObjects(), found


@when("objects with drawn names and contents are in the store")
def put_malformed(context):
    @settings(
        max_examples=EXAMPLES,
        derandomize=True,
        database=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(draws.one_of(TEXTS, draws.from_regex(r"stream-\w+(@[\w-]{0,9}){0,5}")))
    def check_name(name):
        try:
            decode_name(name)
        except DecodeError:
            return

    @settings(max_examples=EXAMPLES, derandomize=True, database=None)
    @given(draws.binary(max_size=200))
    def check_content(content):
        try:
            decode_origins(content)
        except DecodeError:
            return

    check_name()
    check_content()
    context.batch = BatchName(era=0, begun_s=7, writer="0f", number=1)
    contents = {
        encode_name(context.batch): b'{"origins": [{"service": 3}]}',
        f"{NAME_PREFIX}version": b"1",
        f"{NAME_PREFIX}version@x@y@z@@": b"1",
        f"{NAME_PREFIX}origins@{'9' * 5000}@1@1@": b"1",
    }

    async def put():
        context.site.state.objects.update(contents)

    run(context.site, put())


@then("reading them raises nothing but source errors")
def check_source_errors(context):
    async def read(records):
        found = await records.list_objects()
        assert found.batches == (context.batch,) and not found.records, found
        try:
            await records.read_batch(context.batch)
        except SourceError:
            return True

    assert use_records(context, read)


@when("the list has had {what}")
def change_list(context, what):
    site = context.site
    call_store(site, write_row, "op", "config", b"{}")
    if what != "no upstream":
        for name in ("i-1", "i-2"):
            call_store(site, write_row, "servers", name, b"{}")
    if what.endswith("one left"):
        call_store(site, delete_row, "servers", "i-1")
    if what.endswith("lost history"):
        call_store(site, drop_history)


@then("an upstream has left: {answer}")
def check_left(context, answer):
    found = use_records(context, lambda records: records.has_lost_upstreams())
    assert found == (answer == "yes"), found
