"""Callers outside the limits, in a process of their own.

It opens the connections of a crowd, lets each send what its kind sends, and then prints a
line. The connections stay open until its standard input ends; then it prints the
responses that the crowd has read, as JSON.
"""

import asyncio
import contextlib
import json
import random
import re
import socket
import sys
from dataclasses import dataclass, field

from features.platform.site import HOST, KEY

CALLERS_PORT = 8000
MIB = 1024 * 1024
PART_BYTES = 256 * 1024
# A connection whose bytes are not taken for this long has sent what it can.
STALLED_S = 8.0
TRICKLE_S = 1.0
RECEIVE_BUFFER_BYTES = 4096
END_OF_HEAD = b"\r\n\r\n"
STATUS = re.compile(rb"HTTP/1.1 (\d+)")
REQUESTS_AHEAD = 300
AHEAD_BODY = b"x" * 60_000


@dataclass(kw_only=True)
class Member:
    """One connection of a crowd.

    :param sent: What it sends.
    :param ids: The ids of its requests, in the order of their responses.
    :param is_reading: Whether it reads its responses.
    :param trickles: Whether it goes on to send single bytes.
    """

    sent: bytes = b""
    ids: list[str] = field(default_factory=list)
    is_reading: bool = True
    trickles: bool = False
    writer: asyncio.StreamWriter | None = None
    received: bytearray = field(default_factory=bytearray)


def write_head(path, framing, key=KEY):
    request_id = f"{random.getrandbits(64):016x}"
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"
        f"Authorization: Bearer {key}\r\n{framing}\r\n\r\n"
    )
    return head.encode(), request_id


def make_member(framing, body, *, path="/send/x", key=KEY, **others):
    head, request_id = write_head(path, framing, key)
    return Member(sent=head + body, ids=[request_id], **others)


def write_chunks(size_bytes, chunk_bytes):
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return chunk * (size_bytes // chunk_bytes)


CHUNKED = "Transfer-Encoding: chunked"


def send_chunks(size_bytes, chunk_bytes, **others):
    return lambda: make_member(CHUNKED, write_chunks(size_bytes, chunk_bytes), **others)


def send_length(told_bytes, sent_bytes, **others):
    framing = f"Content-Length: {told_bytes}"
    return lambda: make_member(framing, b"x" * sent_bytes, **others)


def leave_unread():
    return make_member("Content-Length: 2", b"{}", path="/read/large", is_reading=False)


def send_ahead():
    """Send many requests ahead, of which some have bodies, and read no response."""
    sent = []
    ids = []
    for number in range(REQUESTS_AHEAD):
        body = AHEAD_BODY if number % 3 == 0 else b"{}"
        path = ("/send/x", "/read/large", "/resume/x")[number % 3]
        head, request_id = write_head(path, f"Content-Length: {len(body)}")
        sent.append(head + body)
        ids.append(request_id)
    return Member(sent=b"".join(sent), ids=ids, is_reading=False)


def send_head_without_end():
    head, request_id = write_head("/send/x", "X-Long: " + "x" * 15_000)
    return Member(sent=head.removesuffix(END_OF_HEAD), ids=[request_id])


KINDS = {
    "bodies in large chunks, without their end": send_chunks(2 * MIB - 1, MIB // 2),
    "bodies of one byte a chunk, without their end": send_chunks(500_000, 1),
    "bodies of 16 bytes a chunk, without their end": send_chunks(MIB, 16),
    "chunks far over the limit": send_chunks(20 * MIB, MIB),
    "a length far over the limit": send_length(16 * 1024 * MIB, 20 * MIB),
    "bodies that lack their last byte": send_length(2 * MIB, 2 * MIB - 1),
    "bodies that lack their end, and a byte now and then": send_length(
        2 * MIB, 2 * MIB - 1000, trickles=True
    ),
    "bodies with an unknown key": send_chunks(2 * MIB - 1, MIB // 2, key="none"),
    "requests for large answers, and reads none": leave_unread,
    "requests ahead, and reads no answer": send_ahead,
    "heads without their end": send_head_without_end,
    "nothing": Member,
}


async def open_member(host, member):
    connection = socket.socket()
    if not member.is_reading:
        buffer_bytes = RECEIVE_BUFFER_BYTES
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, CALLERS_PORT))
    reader, member.writer = await asyncio.open_connection(sock=connection)
    if not member.is_reading:
        # Otherwise the reader takes a part of the responses.
        member.writer.transport.pause_reading()
    return reader


async def read_responses(member, reader):
    with contextlib.suppress(OSError):
        while data := await reader.read(PART_BYTES):
            member.received += data


async def send_member(member):
    """Send a member's bytes, until they are no longer taken."""
    with contextlib.suppress(OSError, TimeoutError):
        for start in range(0, len(member.sent), PART_BYTES):
            member.writer.write(member.sent[start : start + PART_BYTES])
            async with asyncio.timeout(STALLED_S):
                await member.writer.drain()


async def trickle(member):
    with contextlib.suppress(OSError):
        while True:
            await asyncio.sleep(TRICKLE_S)
            member.writer.write(b"x")
            await member.writer.drain()


async def play(host, kind, count):
    tasks = []
    members = [KINDS[kind]() for _ in range(count)]
    for member in members:
        with contextlib.suppress(OSError):
            reader = await open_member(host, member)
            if member.is_reading:
                tasks.append(asyncio.create_task(read_responses(member, reader)))
    connected = [each for each in members if each.writer is not None]
    await asyncio.gather(*map(send_member, connected))
    tasks += [asyncio.create_task(trickle(each)) for each in connected if each.trickles]
    print("sent", flush=True)
    await asyncio.to_thread(sys.stdin.read)
    for member in connected:
        member.writer.transport.abort()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    print(json.dumps([pair for each in members for pair in read_statuses(each)]))


def read_statuses(member):
    statuses = [int(each) for each in STATUS.findall(bytes(member.received))]
    return list(zip(member.ids, statuses, strict=False))


if __name__ == "__main__":
    asyncio.run(play(sys.argv[1], sys.argv[2], int(sys.argv[3])))
