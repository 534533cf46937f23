"""A source of answers that costs next to nothing, for measuring forwarders.

A request whose body asks for a stream gets events at a fixed pace; any other
gets a small whole answer at once.

Usage:
    speed_source --port=PORT [--events=N] [--gap-ms=MS]

Options:
    --events=N   Events of a stream [default: 200].
    --gap-ms=MS  Gap between two events [default: 10].
"""

import asyncio

import uvloop
from docopt import docopt

MS_PER_S = 1000
EVENT = (
    b'id: %d\ndata: {"id":"c","object":"chat.completion.chunk","created":1,'
    b'"model":"m","choices":[{"index":0,"delta":{"content":" word"},'
    b'"finish_reason":null}]}\n\n'
)
END_EVENT = b"data: [DONE]\n\n"
COMPLETION = (
    b'{"id":"c","object":"chat.completion","created":1,"model":"m","choices":'
    b'[{"index":0,"message":{"role":"assistant","content":"word"},'
    b'"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1,'
    b'"total_tokens":2}}'
)
LOAD_REPORT = b'{"running":0,"waiting":0,"slots":10000}'
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
JSON_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
)


def make_connection_handler(events: int, gap_s: float):
    """Make the function that handles one connection.

    :param events: The number of events in a stream.
    :param gap_s: The interval between two events, in seconds.
    :returns: The connection handler for ``asyncio.start_server``.
    """

    async def handle_connection(reader, writer):
        try:
            while True:
                body = await read_request(reader)
                if b'"stream":true' in body.replace(b" ", b""):
                    await send_stream(writer, events, gap_s)
                else:
                    content = COMPLETION if body else LOAD_REPORT
                    writer.write(JSON_HEAD % len(content) + content)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return handle_connection


async def read_request(reader) -> bytes:
    """Read one request.

    :param reader: The reader of the connection.
    :returns: The body of the request; empty without a content length.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    start = head.find(b"content-length:")
    if start < 0:
        return b""
    length = int(head[start + len(b"content-length:") :].split(b"\r\n", 1)[0])
    return await reader.readexactly(length)


async def send_stream(writer, events: int, gap_s: float) -> None:
    """Send a stream of events at a constant rate.

    :param writer: The writer of the connection.
    :param events: The number of events in the stream.
    :param gap_s: The interval between two events, in seconds.
    """
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    writer.write(STREAM_HEAD)
    for number in range(events):
        send_chunk(writer, EVENT % number)
        await asyncio.sleep(start_s + (number + 1) * gap_s - loop.time())
    send_chunk(writer, END_EVENT)
    writer.write(b"0\r\n\r\n")


def send_chunk(writer, content: bytes) -> None:
    """Send one chunk in HTTP chunked encoding.

    :param writer: The writer of the connection.
    :param content: The content of the chunk.
    """
    writer.write(b"%x\r\n%s\r\n" % (len(content), content))


async def run(port: int, events: int, gap_s: float) -> None:
    """Serve until the process is terminated.

    :param port: The port to listen on.
    :param events: The number of events in a stream.
    :param gap_s: The interval between two events, in seconds.
    """
    server = await asyncio.start_server(
        make_connection_handler(events, gap_s), "127.0.0.1", port
    )
    async with server:
        await server.serve_forever()


def main() -> None:
    """Run the source from the command line."""
    options = docopt(__doc__)
    uvloop.install()
    gap_s = float(options["--gap-ms"]) / MS_PER_S
    asyncio.run(run(int(options["--port"]), int(options["--events"]), gap_s))


if __name__ == "__main__":
    main()
