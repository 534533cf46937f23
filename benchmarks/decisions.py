"""Cost of the admission decisions: processor time and memory, with slopes.

Run it as ``python -m benchmarks.decisions``.

Usage:
  decisions [--rounds=N] [--json]
  decisions --help

Options:
  --rounds=N  Operations timed for each cell of the table [default: 2000].
  --json      Print one JSON object in place of the tables.
  --help      Show this help.

One operation is an enqueue, a grant and a release while the queue stays at its
length. The slope is that of time over the logarithm of the varied number,
fitted by least squares: microseconds for each tenfold.
"""

import itertools
import json
import math
import statistics
import time
import tracemalloc

from docopt import docopt

from jujubenotch.admission import (
    WorkReport,
    WorkRequest,
    WorkResult,
    configure_pool,
    enqueue,
    grant_ready,
    make_pool,
    refuse_unservable,
    release_grant,
    withdraw,
)
from jujubenotch.records import Limits, Upstream, UpstreamKind

SLOTS = 16
UPSTREAM_COUNTS = (1, 10, 100)
QUEUE_LENGTHS = (10, 100, 1000, 10_000)
TEAM_COUNTS = (10, 100, 1000)
BASE_UPSTREAMS = 10
BASE_QUEUED = 1000
BASE_TEAMS = 100
MEMORY_QUEUED = 10_000
MEMORY_UPSTREAMS = 1000
MEMORY_TEAMS = 1000
BATCHES = 5
HOLD_S = 2.0
STEP_S = 1e-4
MICROSECONDS_PER_S = 1e6


def make_upstream(number):
    """Return the record of one model upstream."""
    return Upstream(
        name=f"engine-{number}",
        kind=UpstreamKind.MODEL,
        data_centre="dc1",
        url="http://127.0.0.1:1",
        models=("model",),
        slots=SLOTS,
        watts_per_slot=100.0,
    )


def make_request(number, teams, now_s):
    """Return one request; its number selects the tier and the team in rotation."""
    return WorkRequest(
        request_id=f"request-{number}",
        target="model",
        team=f"team-{number % teams}",
        team_weight=1.0,
        team_limit=0,
        service_class=f"class-{number % 4}",
        tier=number % 4,
        arrived_s=now_s,
        first_token_by_s=now_s + 1.2,
        deadline_s=now_s + 1e6 + number % 97,
        max_wait_s=1e6,
        expected_tokens=100,
        between_tokens_target_s=0.032,
    )


def make_full_pool(upstreams, queued, teams):
    """Return a pool with all slots in use and a queue of the given length.

    :returns: The pool, and the counter that numbers further requests.
    """
    pool = make_pool(name="group", coordinator="instance", now_s=0.0)
    configure_pool(
        pool,
        upstreams=[make_upstream(number) for number in range(upstreams)],
        limits=Limits(queue_requests=10**9),
        power_watts=SLOTS * 100.0 * upstreams,
        now_s=0.0,
    )
    numbers = itertools.count()
    while len(pool.queued) < queued or any(
        target.free for target in pool.targets.values()
    ):
        enqueue(pool, make_request(next(numbers), teams, 0.0), 0.0)
        grant_ready(pool, 0.0)
        if len(pool.queued) > queued + SLOTS * upstreams:
            break
    for request_id in list(pool.queued)[queued:]:
        withdraw(pool, request_id, 0.0)
    return pool, numbers


def time_operation(upstreams, queued, teams, rounds):
    """Return the median, minimum and maximum time of one operation, in microseconds."""
    pool, numbers = make_full_pool(upstreams, queued, teams)
    report = WorkReport(
        result=WorkResult.COMPLETED,
        tokens=100,
        first_token_s=0.1,
        between_tokens_s=0.01,
    )
    now_s = HOLD_S
    batches_us = []
    for _ in range(BATCHES):
        requests = [
            make_request(next(numbers), teams, now_s) for _ in range(rounds // BATCHES)
        ]
        started_s = time.perf_counter()
        for request in requests:
            now_s += STEP_S
            grant_id = next(iter(pool.held))
            enqueue(pool, request, now_s)
            release_grant(pool, grant_id, report, now_s)
            refuse_unservable(pool, now_s)
            grant_ready(pool, now_s)
        spent_s = time.perf_counter() - started_s
        batches_us.append(spent_s / len(requests) * MICROSECONDS_PER_S)
    return statistics.median(batches_us), min(batches_us), max(batches_us)


def measure_memory():
    """Return the memory for each upstream and each queued request, in bytes."""
    pool = make_pool(name="group", coordinator="instance", now_s=0.0)
    records = [make_upstream(number) for number in range(MEMORY_UPSTREAMS)]
    requests = [
        make_request(number, MEMORY_TEAMS, 0.0) for number in range(MEMORY_QUEUED)
    ]
    limits = Limits(queue_requests=10**9)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    configure_pool(pool, upstreams=records, limits=limits, power_watts=None, now_s=0.0)
    after_upstreams = tracemalloc.get_traced_memory()[0]
    for request in requests:
        enqueue(pool, request, 0.0)
    after_requests = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "bytes_per_upstream": (after_upstreams - before) / MEMORY_UPSTREAMS,
        "bytes_per_queued_request": (after_requests - after_upstreams) / MEMORY_QUEUED,
    }


def fit_slope(points):
    """Return the least-squares slope of the values over log10 of the counts."""
    logs = [math.log10(point[0]) for point in points]
    values = [point[1] for point in points]
    mean_log = statistics.fmean(logs)
    mean_value = statistics.fmean(values)
    rise = sum(
        (log - mean_log) * (value - mean_value)
        for log, value in zip(logs, values, strict=True)
    )
    return rise / sum((log - mean_log) ** 2 for log in logs)


def measure(rounds):
    """Return all costs and slopes by the varied quantity, and the memory figures."""
    varied = {
        "upstreams": [
            (count, *time_operation(count, BASE_QUEUED, BASE_TEAMS, rounds))
            for count in UPSTREAM_COUNTS
        ],
        "queued": [
            (count, *time_operation(BASE_UPSTREAMS, count, BASE_TEAMS, rounds))
            for count in QUEUE_LENGTHS
        ],
        "teams": [
            (count, *time_operation(BASE_UPSTREAMS, BASE_QUEUED, count, rounds))
            for count in TEAM_COUNTS
        ],
    }
    slopes = {name: fit_slope(points) for name, points in varied.items()}
    return {"cost_us": varied, "slope_us": slopes, "memory": measure_memory()}


def print_tables(result):
    """Print the costs, the slopes and the memory figures."""
    print("enqueue + grant + release: median (least to most) of batches, in")
    print(f"microseconds; otherwise {BASE_UPSTREAMS} upstreams, {BASE_QUEUED} queued,")
    print(f"{BASE_TEAMS} teams")
    for name, points in result["cost_us"].items():
        for count, median_us, least_us, most_us in points:
            print(
                f"{name:>10} {count:>6} {median_us:8.1f}"
                f" ({least_us:.1f} to {most_us:.1f})"
            )
        print(f"{name:>10}  slope {result['slope_us'][name]:7.1f} for each tenfold")
    for name, size_bytes in result["memory"].items():
        print(f"{name:>26} {size_bytes:8.0f}")


def main():
    """Measure all costs and print them as tables or as JSON."""
    arguments = docopt(__doc__)
    result = measure(int(arguments["--rounds"]))
    if arguments["--json"]:
        print(json.dumps(result))
    else:
        print_tables(result)


if __name__ == "__main__":
    main()
