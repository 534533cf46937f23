"""Slopes of an instance's control work, and what they give at the target size.

Run it as ``python -m benchmarks.capacity_table``.

Usage:
  capacity_table [--repeats=N] [--json=FILE]
  capacity_table --help

Options:
  --repeats=N  Fits of each slope [default: 5].
  --json=FILE  Also write the figures here.
  --help       Show this help.

Each quantity is varied over a decade and fitted by least squares. The slope is
the median of the fits, with the least and the most beside it; the value is that
of the line at the target size. Decisions, sessions between instances and the
records are measured by ``decisions``, ``control_bytes`` and ``configuration``.
"""

import asyncio
import gc
import json
import os
import statistics
import time
import tracemalloc
from dataclasses import asdict, dataclass
from pathlib import Path

from docopt import docopt
from pydantic import TypeAdapter

from jujubenotch.admission import PoolSummary
from jujubenotch.capacity.groups import plan_groups
from jujubenotch.membership import Membership, apply_platform_list, choose_by_rendezvous
from jujubenotch.peers import CoordinatorFrame, Heartbeat
from jujubenotch.peers.encode import SentInternTable, encode_coordinator_frame
from jujubenotch.records import Configuration, Upstream, UpstreamKind
from jujubenotch.tables import InstanceListEntry
from jujubenotch.upstreams import (
    ConnectionLimits,
    close_connections,
    open_connections,
    read_load,
)

DATA_CENTRES = 7
MODELS = 39
INSTANCES = 340
UPSTREAMS = 4100
ENTRIES_IN_LIST = INSTANCES + UPSTREAMS
INSTANCES_IN_DATA_CENTRE = 49
LOAD_POLLS_PER_S = 24
MS_PER_S = 1000.0
LOAD_BODY = b'{"running":12,"waiting":3,"slots":16,"is_leaving":false,"age_s":0.25}'
LIST_ADAPTER = TypeAdapter(list[InstanceListEntry])


@dataclass(frozen=True, kw_only=True)
class Slope:
    """A line fitted to the measurements of one quantity.

    :param varied: The quantity that was varied.
    :param unit: The unit of the measured value.
    :param slope: The median slope of all fits.
    :param least: The smallest slope of all fits.
    :param most: The largest slope of all fits.
    :param target: The target size, in units of the varied quantity.
    :param at_target: The median value of the fitted lines at the target size.
    """

    name: str
    varied: str
    unit: str
    slope: float
    least: float
    most: float
    target: int
    at_target: float


def fit_line(points):
    """Return the least-squares slope and intercept of (x, y) points."""
    mean_x = statistics.fmean(x for x, _ in points)
    mean_y = statistics.fmean(y for _, y in points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def measure_slope(name, varied, unit, counts, target, measure, repeats):
    """Measure at each count, fit a line, and repeat both several times."""
    fits = [
        fit_line([(count, measure(count)) for count in counts]) for _ in range(repeats)
    ]
    slopes = [slope for slope, _ in fits]
    at_target = statistics.median(
        slope * target + intercept for slope, intercept in fits
    )
    return Slope(
        name=name,
        varied=varied,
        unit=unit,
        slope=statistics.median(slopes),
        least=min(slopes),
        most=max(slopes),
        target=target,
        at_target=at_target,
    )


def measure_cpu_ms(function):
    """Call a function and return the processor time of the call, in milliseconds."""
    started_s = time.process_time()
    function()
    return (time.process_time() - started_s) * MS_PER_S


def measure_memory_bytes(build):
    """Return the memory that the result of a function occupies, in bytes."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return after - before


def make_list(count):
    """Return a list with the same ratio of upstreams to instances as at the target."""
    instances = max(1, round(count * INSTANCES / ENTRIES_IN_LIST))
    return [
        InstanceListEntry(
            name=f"{'entry' if number < instances else 'engine'}-{number}",
            kind="instance" if number < instances else "upstream",
            data_centre=f"dc{number % DATA_CENTRES}",
            peer_address=f"10.0.0.{number % 250}:8082" if number < instances else "",
        )
        for number in range(count)
    ]


def measure_list_bytes(count):
    """Return the encoded size of the platform's list, in bytes."""
    return len(LIST_ADAPTER.dump_json(make_list(count)))


def measure_list_cpu_ms(count):
    """Return the processor time of reading an unchanged list again, in ms."""
    document = LIST_ADAPTER.dump_json(make_list(count))
    membership = Membership(name="entry-0", data_centre="dc0")
    apply_platform_list(membership, LIST_ADAPTER.validate_json(document), 0.0)
    return measure_cpu_ms(
        lambda: apply_platform_list(
            membership, LIST_ADAPTER.validate_json(document), 1.0
        )
    )


def measure_membership_bytes(count):
    """Return the memory of the membership state for a list, in bytes."""
    document = LIST_ADAPTER.dump_json(make_list(count))

    def build():
        membership = Membership(name="entry-0", data_centre="dc0")
        apply_platform_list(membership, LIST_ADAPTER.validate_json(document), 0.0)
        return membership

    return measure_memory_bytes(build)


def make_upstreams(count):
    """Return the records of upstreams that serve one model each."""
    return {
        f"engine-{number}": Upstream(
            name=f"engine-{number}",
            kind=UpstreamKind.MODEL,
            data_centre=f"dc{number % DATA_CENTRES}",
            url=f"http://10.1.{number // 250}.{number % 250}:8000",
            models=(f"model-{number // DATA_CENTRES % MODELS}",),
            slots=16,
        )
        for number in range(count)
    }


def measure_upstreams_bytes(count):
    """Return the memory of upstream records and one data centre's plans, in bytes."""

    def build():
        configuration = Configuration(revision=1, upstreams=make_upstreams(count))
        return configuration, plan_groups(configuration, "dc0")

    return measure_memory_bytes(build)


def measure_plans_cpu_ms(count):
    """Return the ms of processor time to plan a data centre's groups after a change."""
    configuration = Configuration(revision=1, upstreams=make_upstreams(count))
    return measure_cpu_ms(lambda: plan_groups(configuration, "dc0"))


def measure_coordinators_cpu_ms(count):
    """Return the ms of processor time to choose the coordinators of all groups."""
    names = [f"entry-{number}" for number in range(count)]

    def choose():
        for number in range(MODELS):
            choose_by_rendezvous(f"dc0/model-{number}", names)

    return measure_cpu_ms(choose)


def make_heartbeat(count):
    """Return a coordinator's frame whose heartbeat reports ``count`` pools."""
    summary = PoolSummary(
        queued=(0, 2, 30, 400),
        in_progress=(40, 30, 80, 90),
        free_slots=12,
        wait_s=(0.0, 0.05, 1.5, 20.0),
    )
    pools = {f"dc0/model-{number}": summary for number in range(count)}
    heartbeat = Heartbeat(revision=4900, pools=pools)
    return CoordinatorFrame(sent_ms=10**9, echoed_ms=10**9, heartbeat=heartbeat)


def measure_heartbeat_bytes(count):
    """Return the encoded size of a heartbeat that reports ``count`` pools, in bytes."""
    message = encode_coordinator_frame(make_heartbeat(count), SentInternTable(), 0.0)
    return len(message.SerializeToString())


def measure_polls_cpu_ms(count):
    """Return the processor time of load polls, client and server together, in ms."""
    return asyncio.run(_poll_load(count))[0]


def measure_polls_bytes(count):
    """Return the bytes that load polls transfer in both directions."""
    return asyncio.run(_poll_load(count))[1]


async def _poll_load(count):
    transferred_bytes = 0
    response_head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    response_head += b"Content-Length: %d\r\n\r\n" % len(LOAD_BODY)

    async def serve(reader, writer):
        nonlocal transferred_bytes
        try:
            while True:
                request_head = await reader.readuntil(b"\r\n\r\n")
                writer.write(response_head + LOAD_BODY)
                transferred_bytes += (
                    len(request_head) + len(response_head) + len(LOAD_BODY)
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    upstream = Upstream(
        name="engine-1",
        kind=UpstreamKind.MODEL,
        data_centre="dc0",
        url=f"http://127.0.0.1:{port}",
        models=("model",),
        slots=16,
    )
    connections = open_connections(ConnectionLimits())
    await read_load(connections, upstream)
    transferred_bytes, started_s = 0, time.process_time()
    for _ in range(count):
        await read_load(connections, upstream)
    spent_ms = (time.process_time() - started_s) * MS_PER_S
    await close_connections(connections)
    server.close()
    return spent_ms, transferred_bytes


MEASURES = (
    ("list, one read", "entries", "bytes", (444, 1332, 4440), ENTRIES_IN_LIST,
     measure_list_bytes),
    ("list, taken in once", "entries", "ms", (444, 1332, 4440), ENTRIES_IN_LIST,
     measure_list_cpu_ms),
    ("membership, memory", "entries", "bytes", (444, 1332, 4440), ENTRIES_IN_LIST,
     measure_membership_bytes),
    ("upstreams and plans, memory", "upstreams", "bytes", (410, 1230, 4100),
     UPSTREAMS, measure_upstreams_bytes),
    ("plans, made once", "upstreams", "ms", (410, 1230, 4100), UPSTREAMS,
     measure_plans_cpu_ms),
    ("homes of 39 groups, chosen once", "instances", "ms", (5, 16, 49),
     INSTANCES_IN_DATA_CENTRE, measure_coordinators_cpu_ms),
    ("heartbeat of a home", "pools", "bytes", (4, 12, 39), MODELS,
     measure_heartbeat_bytes),
    ("load polls", "polls", "bytes", (100, 300, 1000), LOAD_POLLS_PER_S,
     measure_polls_bytes),
    ("load polls, both ends", "polls", "ms", (100, 300, 1000), LOAD_POLLS_PER_S,
     measure_polls_cpu_ms),
)  # fmt: skip


def print_table(slopes):
    """Print the load average of the machine and a table of all slopes."""
    print(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    print(
        f"{'quantity':34}{'slope':>12}{'least':>12}{'most':>12}"
        f"{'target':>8}{'at target':>12}"
    )
    for slope in slopes:
        print(
            f"{slope.name:34}{slope.slope:12.5g}{slope.least:12.5g}"
            f"{slope.most:12.5g}{slope.target:8}{slope.at_target:12.5g}"
            f" {slope.unit} by {slope.varied}"
        )


def main():
    """Measure all slopes, print them and optionally write them as JSON."""
    arguments = docopt(__doc__)
    repeats = int(arguments["--repeats"])
    slopes = [measure_slope(*measure, repeats) for measure in MEASURES]
    print_table(slopes)
    if arguments["--json"]:
        document = [asdict(slope) for slope in slopes]
        Path(arguments["--json"]).write_text(json.dumps(document, indent=2))


if __name__ == "__main__":
    main()
