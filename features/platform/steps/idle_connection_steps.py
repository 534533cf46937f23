import asyncio

from behave import given, then, when

from jujubenotch.platform.store import make_upstream_source, open_store
from jujubenotch.settings import Address

HOST = "127.0.0.1"
BODY = b'{"rows": [], "schema-version": 1, "now-ms": 5}'
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)


class ScriptedStore:
    """Answers each call; connections that were silenced bring nothing any more."""

    def __init__(self):
        self.connections = 0
        self.silenced = 0

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        while await reader.readuntil(b"\r\n\r\n"):
            if number > self.silenced:
                writer.write(RESPONSE)

    async def serve_until_closed(self, reader, writer):
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def run(context, work):
    return context.loop.run_until_complete(work)


async def read(context):
    return await context.source.read_all(lambda: None)


@given("a store whose table is read by {count:d} call at once")
@given("a store whose table is read by {count:d} calls at once")
def start_store(context, count):
    context.loop = asyncio.new_event_loop()
    context.store = ScriptedStore()

    async def start():
        server = await asyncio.start_server(
            context.store.serve_until_closed, HOST, port=0
        )
        port = server.sockets[0].getsockname()[1]
        client = open_store(Address(host=HOST, port=port))
        context.source = make_upstream_source(client)
        await asyncio.gather(*(read(context) for _ in range(count)))
        return server, client

    server, client = run(context, start())

    async def stop():
        await client.session.close()
        server.close()
        await asyncio.sleep(0.05)

    context.add_cleanup(context.loop.close)
    context.add_cleanup(lambda: run(context, stop()))


@when("{seconds:g} s pass without a call and the open connections go silent")
def silence(context, seconds):
    run(context, asyncio.sleep(seconds))
    context.store.silenced = context.store.connections


@when("{count:d} further calls follow each other")
def call_again(context, count):
    for _ in range(count):
        run(context, read(context))


@then("the table is read within {seconds:g} s")
def check_read(context, seconds):
    async def read_in_time():
        async with asyncio.timeout(seconds):
            return await read(context)

    assert run(context, read_in_time()).revision == 1


@then("the store has had {count:d} connection")
def check_connections(context, count):
    assert context.store.connections == count, context.store.connections
