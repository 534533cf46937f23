"""Measures the router beside a bare forwarder of the same libraries.

Both stand before the same source in one run, turn by turn.

Usage:
    speed [options]

Options:
    --rounds=N       Rounds of each measurement [default: 3].
    --streams=N      Streams at once [default: 50].
    --events=N       Events of a stream [default: 300].
    --gap-ms=MS      Gap between two events [default: 10].
    --requests=N     Small requests of a round [default: 4000].
    --callers=N      Callers at once for small requests [default: 32].
    --output=FILE    Where the JSON goes [default: build/speed.json].
"""

import asyncio
import hashlib
import os
import statistics
import tempfile
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

import orjson
import uvloop
from docopt import docopt

from benchmarks.processes import (
    LOOPBACK,
    Processes,
    find_free_ports,
    start_program,
    stop_processes,
)
from benchmarks.records import write_settings
from benchmarks.report import format_table

KEY = "speed-key"
MICROSECONDS_PER_S = 1_000_000
MS_PER_S = 1000
LATENCY_REQUESTS = 500
READ_BYTES = 262_144
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STREAM_END = b"0\r\n\r\n"
RECORDS_TEMPLATE = """
schema_version = 2
[[class]]
name = "gate"
tier = 0
first_token_target_s = 1.2
[[team]]
name = "agents"
[[application]]
name = "mart"
team = "agents"
key_sha256 = "{digest}"
[[binding]]
name = "agents-gate"
team = "agents"
class = "gate"
[[upstream]]
name = "source"
kind = "model"
data_centre = "north"
url = "{url}"
models = ["m"]
slots = 10000
resumes_streams = true
"""


@dataclass(kw_only=True)
class MeasuredServer:
    """The process and the figures of the router or of the bare forwarder.

    :param chunk_us: Processor time for each forwarded chunk, in microseconds, one
        value for each round.
    :param requests_per_s: Small requests per second, one value for each round.
    :param median_ms: Median duration of a small request in milliseconds, one value
        for each round.
    """

    pid: int
    port: int
    chunk_us: list[float] = field(default_factory=list)
    requests_per_s: list[float] = field(default_factory=list)
    median_ms: list[float] = field(default_factory=list)


def encode_request(*, is_stream: bool) -> bytes:
    """Encode one HTTP request.

    :param is_stream: Whether the request asks for a streamed response.
    :returns: The request line, the headers and the body.
    """
    body = orjson.dumps(
        {
            "model": "m",
            "stream": is_stream,
            "messages": [{"role": "user", "content": "May these heifers move?"}],
        }
    )
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {LOOPBACK}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def read_cpu_s(pid: int) -> float:
    """Read the processor time that a process has used.

    :param pid: The id of the process.
    :returns: The sum of its user and system time, in seconds.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def run_stream(port: int) -> int:
    """Request one stream and read it to its end.

    :param port: The port to send the request to.
    :returns: The number of events received.
    :raises ConnectionError: The connection closed before the end of the stream.
    """
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    writer.write(encode_request(is_stream=True))
    events = 0
    tail = b""
    while STREAM_END not in tail:
        received = await reader.read(READ_BYTES)
        if not received:
            raise ConnectionError(
                f"the stream from port {port} ended early, after {events} events"
            )
        events += received.count(b"data: {")
        tail = (tail + received)[-64:]
    writer.close()
    return events


async def run_requests(port: int, count: int) -> list[float]:
    """Send small requests one after another on one connection.

    :param port: The port to send the requests to.
    :param count: The number of requests.
    :returns: The duration of each request, in seconds.
    """
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    request = encode_request(is_stream=False)
    times_s = []
    for _ in range(count):
        begin_s = time.perf_counter()
        writer.write(request)
        await read_response(reader)
        times_s.append(time.perf_counter() - begin_s)
    writer.close()
    return times_s


async def read_response(reader) -> None:
    """Read one complete response with a chunked body or a content length.

    :param reader: The reader of the connection.
    :raises ConnectionError: The status of the response is not 200.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    if b" 200 " not in head.split(b"\r\n", 1)[0]:
        raise ConnectionError(head.decode())
    start = head.find(b"content-length:")
    if start < 0:
        await reader.readuntil(STREAM_END)
        return
    length = int(head[start + len(b"content-length:") :].split(b"\r\n", 1)[0])
    await reader.readexactly(length)


async def measure_chunks(server: MeasuredServer, streams: int) -> None:
    """Measure the processor time for each forwarded chunk.

    :param server: The router or the forwarder; the figure is appended to it.
    :param streams: The number of concurrent streams.
    """
    before_s = read_cpu_s(server.pid)
    counts = await asyncio.gather(*(run_stream(server.port) for _ in range(streams)))
    spent_s = read_cpu_s(server.pid) - before_s
    server.chunk_us.append(spent_s * MICROSECONDS_PER_S / sum(counts))


async def measure_requests(server: MeasuredServer, requests: int, callers: int) -> None:
    """Measure the rate of small requests and the median duration of single ones.

    The rate is measured with concurrent callers, the duration with one caller.

    :param server: The router or the forwarder; the figures are appended to it.
    :param requests: The number of requests.
    :param callers: The number of concurrent callers.
    """
    begin_s = time.perf_counter()
    requests_per_caller = requests // callers
    await asyncio.gather(
        *(run_requests(server.port, requests_per_caller) for _ in range(callers))
    )
    server.requests_per_s.append(
        requests_per_caller * callers / (time.perf_counter() - begin_s)
    )
    times_s = await run_requests(server.port, LATENCY_REQUESTS)
    server.median_ms.append(statistics.median(times_s) * MS_PER_S)


async def start_servers(
    processes: Processes, options: dict
) -> dict[str, MeasuredServer]:
    """Start the source, the bare forwarder and the router.

    :param processes: The processes of the run; the new ones are added to it.
    :param options: The command-line options as parsed by docopt.
    :returns: The forwarder and the router by name.
    """
    ports = find_free_ports(5)
    source = await start_program(
        processes,
        "source",
        "benchmarks.speed_source",
        (
            f"--port={ports[0]}",
            f"--events={options['--events']}",
            f"--gap-ms={options['--gap-ms']}",
        ),
        ports[0],
    )
    forwarder = await start_program(
        processes,
        "forwarder",
        "benchmarks.forwarder",
        (f"--upstream={source.url}", f"--port={ports[1]}"),
        ports[1],
    )
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    records = processes.directory / "records.toml"
    records.write_text(RECORDS_TEMPLATE.format(digest=digest, url=source.url))
    settings = processes.directory / "settings.toml"
    write_settings(
        settings,
        {
            "instance": {"name": "a1", "data_centre": "north"},
            "callers": {"port": ports[2]},
            "operators": {"port": ports[3]},
            "peers": {"port": ports[4]},
            "platform": {"kind": "embedded", "records": [str(records)]},
            "logs": {"level": "WARNING"},
        },
    )
    router = await start_program(
        processes,
        "router",
        "jujubenotch.daemon.program",
        (f"--settings={settings}",),
        ports[2],
    )
    return {
        "bare forwarder": MeasuredServer(pid=forwarder.process.pid, port=ports[1]),
        "jujubenotch": MeasuredServer(pid=router.process.pid, port=ports[2]),
    }


async def run(options: dict) -> dict[str, MeasuredServer]:
    """Run all rounds, which measure the forwarder and the router alternately.

    :param options: The command-line options as parsed by docopt.
    :returns: The forwarder and the router, with their figures, by name.
    """
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(directory=Path(directory))
        try:
            servers = await start_servers(processes, options)
            for server in servers.values():
                await run_requests(server.port, LATENCY_REQUESTS)
            for _ in range(int(options["--rounds"])):
                for server in servers.values():
                    await measure_chunks(server, int(options["--streams"]))
                    await measure_requests(
                        server, int(options["--requests"]), int(options["--callers"])
                    )
        finally:
            await stop_processes(processes)
    return servers


def format_comparison(servers: dict[str, MeasuredServer]) -> str:
    """Format the figures of both servers, with ratio and difference, as a table.

    :param servers: The forwarder and the router by name.
    :returns: The table.
    """
    rows = []
    for title, name in (
        ("CPU a chunk, µs", "chunk_us"),
        ("small requests a second", "requests_per_s"),
        ("median of one request, ms", "median_ms"),
    ):
        bare, router = (
            statistics.median(getattr(server, name)) for server in servers.values()
        )
        spreads = [
            f"{min(values):.2f}..{max(values):.2f}"
            for values in (getattr(server, name) for server in servers.values())
        ]
        rows.append(
            (
                title,
                f"{bare:.2f} ({spreads[0]})",
                f"{router:.2f} ({spreads[1]})",
                f"{router / bare:.2f}",
                f"{router - bare:+.2f}",
            )
        )
    header = ("measure", "bare forwarder", "jujubenotch", "ratio", "difference")
    return format_table(header, rows)


def main() -> None:
    """Run the measurement, print its table and write its JSON file."""
    options = docopt(__doc__)
    uvloop.install()
    servers = asyncio.run(run(options))
    print(format_comparison(servers))
    output = Path(options["--output"])
    output.parent.mkdir(parents=True, exist_ok=True)
    document = {name: asdict(server) for name, server in servers.items()}
    output.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    main()
