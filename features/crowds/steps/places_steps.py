import asyncio
import socket
import time

from behave import then, when

from features.crowds.crowd import END_OF_HEAD, write_head
from features.platform.site import answer_correctly, send


@then(
    "an ordinary request is answered within {limit:d} s, which is longer than all time limits"
)
def check_within(context, limit):
    end_s = time.monotonic() + limit
    results = {}
    while time.monotonic() < end_s:
        try:
            reply = send(context.site, "/read/x", method="POST", body=b"{}", wait_s=5)
            if reply.status == 200:
                return
            result = reply.status
        except (OSError, TimeoutError) as error:
            result = type(error).__name__
        results[result] = results.get(result, 0) + 1
        time.sleep(0.5)
    raise AssertionError(results)


@when(
    "{count:d} callers send {requests:d} requests each, one after the other, with ids of {size:d} bytes"
)
def send_long_ids(context, count, requests, size):
    async def call(number):
        reader, writer = await asyncio.open_connection(context.site.host, 8000)
        statuses = {}
        for each in range(requests):
            head, name = write_head("/read/x", "Content-Length: 2")
            long = f"{number:04d}{each:06d}".ljust(size, "x")
            writer.write(head.replace(name.encode(), long.encode()) + b"{}")
            answer = await reader.readuntil(END_OF_HEAD)
            statuses[answer[9:12]] = statuses.get(answer[9:12], 0) + 1
            length = int(answer.lower().split(b"content-length: ")[1].split(b"\r")[0])
            await reader.readexactly(length)
        writer.close()
        return statuses

    async def run():
        return await asyncio.gather(*map(call, range(count)))

    print(asyncio.run(run())[:3], len(set(context.upstream.connections)), flush=True)


@when(
    "{count:d} callers send {requests:d} requests each ahead for answers of {size:d} bytes, and read none"
)
def send_ahead_unread(context, count, requests, size):
    def respond(head):
        is_large = head.split(b" ")[1] == b"/read/large"
        return (
            answer_correctly(head, b"a" * size) if is_large else answer_correctly(head)
        )

    context.upstream.make_parts = respond
    for _ in range(count):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.connect((context.site.host, 8000))
        context.stack.callback(connection.close)
        for _ in range(requests):
            head, _ = write_head("/read/large", "Content-Length: 2")
            connection.sendall(head + b"{}")
    time.sleep(5)


@when(
    "{count:d} callers send whole bodies of {size:d} bytes, and the upstream doesn't answer"
)
def send_whole(context, count, size):
    context.upstream.make_parts = lambda head: ()
    context.upstream.connection_ending = "silent"

    async def call():
        reader, writer = await asyncio.open_connection(context.site.host, 8000)
        head, _ = write_head("/send/x", f"Content-Length: {size}")
        try:
            writer.write(head + b"x" * size)
            async with asyncio.timeout(8):
                answer = await reader.read(100)
        except TimeoutError:
            return "waits"
        except OSError as error:
            return type(error).__name__
        return answer[9:12]

    async def run():
        return await asyncio.gather(*(call() for _ in range(count)))

    results = asyncio.run(run())
    print({each: results.count(each) for each in set(results)}, flush=True)


@when(
    "{count:d} callers send a head with {headers:d} short headers, and 9 bytes of a body of 10"
)
def send_heads(context, count, headers):
    for _ in range(count):
        connection = socket.create_connection((context.site.host, 8000))
        context.stack.callback(connection.close)
        short = "".join(f"\r\n{each:03x}:" for each in range(headers))
        head, _ = write_head("/send/x", "Content-Length: 10" + short)
        connection.sendall(head + b"x" * 9)
    time.sleep(3)
    connection.settimeout(0.2)
    try:
        print("the last one reads", connection.recv(100), flush=True)
    except OSError as error:
        print("the last one reads", type(error).__name__, flush=True)
