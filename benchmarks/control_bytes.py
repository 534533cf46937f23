"""Measure control bytes and processor time of sessions between instances.

Usage:
  control_bytes [--duration-s=S] [--json=FILE]

Options:
  --duration-s=S  Length of each of the runs, in seconds [default: 4].
  --json=FILE     Also write the figures here.

All instances of a run share one process and talk over loopback, so the
processor time is that of all of them, divided. Bytes are those of TCP's
payload in both directions; headers are counted apart, by segments.
"""

import asyncio
import itertools
import json
import socket
import struct
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import uvloop
from docopt import docopt

from jujubenotch.admission import LoadReport, WorkReport, WorkRequest, WorkResult
from jujubenotch.capacity import (
    CoordinatedCapacityDependencies,
    start_coordinated_capacity,
)
from jujubenotch.listeners import bind_socket
from jujubenotch.logs import configure_logging
from jujubenotch.records import Configuration, Upstream, UpstreamKind
from jujubenotch.settings import Seed

INSTANCE_COUNTS = (1, 2, 4, 8, 16)
REQUEST_RATES_PER_S = (100, 200, 400)
GROUPS = 9
SLOTS = 512
HOLD_S = 0.2
SETTLE_S = 2.0
HEADER_BYTES_PER_SEGMENT = 52
TCP_INFO_BYTES = 144
TCP_INFO_COUNTERS = struct.Struct("=120xQQII")
COMPLETED_REPORT = WorkReport(result=WorkResult.COMPLETED, tokens=80, first_token_s=0.2)


@dataclass(frozen=True, kw_only=True)
class Sample:
    """The traffic and processor time of one run.

    :param payload_bytes: TCP payload of all links in both directions.
    :param segments: TCP segments of all links in both directions, including
        acknowledgements.
    :param cpu_s: Processor time of the process, which runs all instances.
    """

    instances: int
    requests: int
    elapsed_s: float
    payload_bytes: int
    segments: int
    cpu_s: float


def _make_configuration():
    upstreams = {
        f"u{number}": Upstream(
            name=f"u{number}",
            kind=UpstreamKind.MODEL,
            data_centre="north",
            url="http://127.0.0.1:1",
            models=(f"model-{number}",),
            slots=SLOTS,
        )
        for number in range(GROUPS)
    }
    return Configuration(revision=1, upstreams=upstreams)


async def _start_instances(count):
    configuration = _make_configuration()
    listening_sockets = [bind_socket("127.0.0.1", 0) for _ in range(count)]
    seeds = tuple(
        Seed(
            name=f"instance-{number}",
            data_centre="north",
            host="127.0.0.1",
            port=listening_socket.getsockname()[1],
        )
        for number, listening_socket in enumerate(listening_sockets)
    )

    async def read_load(upstream):
        return LoadReport(running=0, waiting=0, slots=upstream.slots)

    async def list_instances():
        return []

    return [
        await start_coordinated_capacity(
            CoordinatedCapacityDependencies(
                name=seed.name,
                data_centre="north",
                incarnation=time.time_ns(),
                advertised_host="127.0.0.1",
                listener_socket=listening_socket,
                read_configuration=lambda: configuration,
                read_clock_s=time.monotonic,
                on_peer_revision=lambda revision, peer: None,
                read_changes_since=lambda revision: [],
                apply_pushed_changes=lambda changes: None,
                read_trace=lambda request_id: None,
                read_load=read_load,
                list_instances=list_instances,
                seeds=seeds,
            )
        )
        for seed, listening_socket in zip(seeds, listening_sockets, strict=True)
    ]


def _read_counters(capacities):
    """Return the payload bytes and segments of all links in both directions."""
    payload_bytes = segments = 0
    for capacity in capacities:
        for peer in capacity.state.links.values():
            transport = peer.link.channel._protocol.connection._transport
            info = transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
            acked, received, sent_segments, received_segments = (
                TCP_INFO_COUNTERS.unpack(info)
            )
            payload_bytes += acked + received
            segments += sent_segments + received_segments
    return payload_bytes, segments


def _make_request(number):
    now_s = time.monotonic()
    return WorkRequest(
        request_id=f"r{number}",
        target=f"model-{number % GROUPS}",
        team=f"team-{number % 10}",
        team_weight=1.0,
        team_limit=0,
        service_class="urgent",
        tier=0,
        arrived_s=now_s,
        first_token_by_s=now_s + 1.2,
        deadline_s=now_s + 60,
        max_wait_s=30.0,
        expected_tokens=80,
    )


async def _make_call(capacity, request):
    grant = await capacity.acquire(request)
    await asyncio.sleep(HOLD_S)
    capacity.release(grant, COMPLETED_REPORT, time.monotonic())


def _find_remote_capacity(capacities, request):
    group = f"north/{request.target}"
    return next(
        capacity
        for capacity in capacities
        if capacity.state.coordinators[group] != capacity.state.dependencies.name
    )


async def _make_calls(capacities, rate_per_s, duration_s):
    """Send requests at a constant rate, none to the coordinator of their group.

    :returns: The number of requests sent.
    """
    calls = set()
    started_s = time.monotonic()
    for number in itertools.count():
        due_s = started_s + number / rate_per_s
        if due_s >= started_s + duration_s:
            break
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        request = _make_request(number)
        capacity = _find_remote_capacity(capacities, request)
        task = asyncio.create_task(_make_call(capacity, request))
        calls.add(task)
        task.add_done_callback(calls.discard)
    await asyncio.gather(*calls)
    return number


async def _run_once(instances, rate_per_s, duration_s):
    capacities = await _start_instances(instances)
    await asyncio.sleep(SETTLE_S)
    bytes_before, segments_before = _read_counters(capacities)
    cpu_before_s, started_s = time.process_time(), time.monotonic()
    requests = 0
    if rate_per_s:
        requests = await _make_calls(capacities, rate_per_s, duration_s)
    else:
        await asyncio.sleep(duration_s)
    payload_bytes, segments = _read_counters(capacities)
    sample = Sample(
        instances=instances,
        requests=requests,
        elapsed_s=time.monotonic() - started_s,
        payload_bytes=payload_bytes - bytes_before,
        segments=segments - segments_before,
        cpu_s=time.process_time() - cpu_before_s,
    )
    for capacity in capacities:
        await capacity.close()
    return sample


def _fit_slope(points):
    """Return the least-squares slope of (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def _compute_figures(idle, loaded):
    """Compute the cost of one peer and of one request for an instance."""
    peer_points = [
        (sample.instances - 1, sample.cpu_s / sample.elapsed_s / sample.instances)
        for sample in idle
    ]
    cpu_points = [
        (sample.requests / sample.elapsed_s, sample.cpu_s / sample.elapsed_s)
        for sample in loaded
    ]
    payload_points = [
        (sample.requests / sample.elapsed_s, sample.payload_bytes / sample.elapsed_s)
        for sample in loaded
    ]
    segment_points = [
        (sample.requests / sample.elapsed_s, sample.segments / sample.elapsed_s)
        for sample in loaded
    ]
    largest_idle = idle[-1]
    # Each instance has two links with a peer, one opened by each side. It carries
    # the traffic of both links, so the traffic per link counts twice.
    links = largest_idle.instances * (largest_idle.instances - 1)
    bytes_per_peer = 2 * largest_idle.payload_bytes / links / largest_idle.elapsed_s
    segments_per_peer = 2 * largest_idle.segments / links / largest_idle.elapsed_s
    return {
        "bytes_per_peer_per_s": bytes_per_peer,
        "segments_per_peer_per_s": segments_per_peer,
        "bytes_per_peer_per_s_with_headers": bytes_per_peer
        + HEADER_BYTES_PER_SEGMENT * segments_per_peer,
        "bytes_per_request": _fit_slope(payload_points),
        "segments_per_request": _fit_slope(segment_points),
        "cpu_ms_per_peer_per_s": 1000 * _fit_slope(peer_points),
        "cpu_ms_per_s_without_peers": 1000 * peer_points[0][1],
        "cpu_ms_per_request": 1000 * _fit_slope(cpu_points),
    }


async def _run_all(duration_s):
    idle = [await _run_once(count, 0, duration_s) for count in INSTANCE_COUNTS]
    loaded = [await _run_once(2, rate, duration_s) for rate in REQUEST_RATES_PER_S]
    return idle, loaded


def main() -> int:
    """Run the measurement and print its figures.

    :returns: The exit code, always 0.
    """
    options = docopt(__doc__)
    configure_logging(format_name="key-value", level="ERROR")
    uvloop.install()
    idle, loaded = asyncio.run(_run_all(float(options["--duration-s"])))
    figures = _compute_figures(idle, loaded)
    for sample in (*idle, *loaded):
        print(sample)
    for name, value in figures.items():
        print(f"{name:36} {value:10.3f}")
    if options["--json"]:
        samples = [asdict(sample) for sample in (*idle, *loaded)]
        document = {"figures": figures, "samples": samples}
        Path(options["--json"]).write_text(json.dumps(document, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
