import itertools
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from behave import given, then, when

from features.cut_off.steps.cut_off_steps import ONCE, PATHS, send_try
from features.platform.paths import Path, list_path, open_path, start_own_store
from features.platform.site import (
    open_site,
    put_configuration,
    read_log,
    run,
    wait_until_ready,
)
from features.platform.steps.versions_steps import (
    add_instance,
    start_instance,
    stop_instance,
)
from features.retries.fleet import (
    RetryFleet,
    close_fleet,
    read_ids,
    start_process,
    wait_for_runs,
)
from features.retries.upstream import (
    ANSWERS_ODDLY,
    COPIES_RESPONSES,
    COPIES_SUFFIX,
    EVENTS,
    REFUSED_SUFFIX,
)
from features.run_once.faults import draw_faults, play_fault

CALLERS = 96
STREAM = "/resume/x"
ONCE_STREAM = "/stream/x"
NOT_RUN_STATUSES = (408, 421, 429, 503)
OK = 200
# Without a status the connection ended; a stream that began may be cut.
FAILURES = (0, OK, 502, 504, *NOT_RUN_STATUSES)
STREAM_CONTENT = b"".join(
    b"id: %d\ndata: w%d\n\n" % (number, number) for number in range(1, EVENTS + 1)
)
# Callers come when all instances are known to the store.
LISTING_S = 1.0
# An instance and what it has sent need this time to be in order after a disturbance.
CONTACT_S = 3.0


@dataclass(kw_only=True)
class FaultFleet(RetryFleet):
    """A fleet with a relay between each instance and each upstream.

    ``paths`` are those of each instance; ``spans`` tell when instances were disturbed.
    ``kinds`` are the paths of the requests that callers send, ``body`` is their body.
    """

    kinds: tuple = PATHS
    body: bytes = b"content"
    paths: list = field(default_factory=list)
    spans: list = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class ListedUpstream:
    """What the list of an instance tells of an upstream."""

    name: str
    service: str = "plain"


@given(
    "a site of {count:d} instances with paths to {upstreams:d} upstreams in processes "
    "of their own"
)
def open_fleet(context, count, upstreams, *options):
    site = context.stack.enter_context(open_site())
    fleet = context.fleet = FaultFleet(site=site)
    context.stack.callback(close_fleet, fleet)
    for number in range(upstreams):
        fleet.upstreams.append(start_process(fleet, f"u-{number}", *options))
    for number in range(1, count + 1):
        _add_instance(context, number)
    for view in fleet.instances:
        wait_until_ready(view)
    time.sleep(LISTING_S)
    context.instances = fleet.instances


@given(
    "a site of {count:d} instances with paths to {upstreams:d} upstreams that copy "
    "their responses"
)
def open_copying_fleet(context, count, upstreams):
    open_fleet(context, count, upstreams, COPIES_RESPONSES)


@given(
    "a site of {count:d} instances with paths to {upstreams:d} upstreams that answer "
    "some requests of {size_kb:d} kB early or with an invalid status"
)
def open_odd_fleet(context, count, upstreams, size_kb):
    open_fleet(context, count, upstreams, ANSWERS_ODDLY)
    context.fleet.body = b"b" * (size_kb * 1000)


def _add_instance(context, number):
    fleet = context.fleet
    view = add_instance(fleet.site, number)
    run(fleet.site, start_own_store(view))
    fleet.site.resources.extend(view.resources)
    put_configuration(view)
    paths = []
    for each in fleet.upstreams:
        host, _, port = each.url.removeprefix("http://").partition(":")
        path = Path(host=view.host, target=(host, int(port)))
        run(fleet.site, open_path(path))
        list_path(view, ListedUpstream(name=each.journal.name), path)
        paths.append(path)
    context.stack.callback(stop_instance, view)
    start_instance(view, number, view.host)
    fleet.instances.append(view)
    fleet.paths.append(paths)


@when("{rate:d} requests a second come to each instance for {seconds:d} s")
def set_load(context, rate, seconds):
    context.rate_per_s = rate
    context.duration_s = seconds


@when("{rate:d} requests a second of all kinds come to each instance for {seconds:d} s")
def set_load_of_all_kinds(context, rate, seconds):
    set_load(context, rate, seconds)
    context.fleet.kinds = (*PATHS, ONCE_STREAM)


@when("faults are drawn with the seed {seed:d} and made meanwhile")
def play(context, seed):
    fleet = context.fleet
    faults = draw_faults(
        seed,
        instances=len(fleet.instances),
        upstreams=len(fleet.upstreams),
        duration_s=context.duration_s,
    )
    with ThreadPoolExecutor(CALLERS + 1) as executor:
        sending = executor.submit(_send_all, context, executor)
        for fault in faults:
            fleet.spans += play_fault(fleet, fault)
            time.sleep(0.6)
        pending = sending.result()
        context.tries = [each.result() for each in pending]
    context.runs = wait_for_runs(fleet)


def _send_all(context, executor):
    kinds = context.fleet.kinds
    pending = []
    start_s = time.monotonic()
    for number in range(context.rate_per_s * context.duration_s):
        time.sleep(max(0.0, start_s + number / context.rate_per_s - time.monotonic()))
        for instance in range(len(context.instances)):
            path = kinds[(number + instance) % len(kinds)]
            body = context.fleet.body
            pending.append(executor.submit(send_try, context, instance, path, body))
    return pending


def _read_lines(context, request_id):
    lines = [line for view in context.instances for line in read_log(view).splitlines()]
    return [line for line in lines if request_id in line]


@then("at least {count:d} requests ran that may run once, and none ran twice")
def check_once(context, count):
    paths = (ONCE, ONCE_STREAM)
    once = [each.request_id for each in context.tries if each.path in paths]
    counts = {each: len(context.runs[each]) for each in once if each in context.runs}
    twice = [each for each, runs in counts.items() if runs > 1]
    assert not twice, (twice, _read_lines(context, twice[0]))
    assert len(counts) >= count, len(counts)


@then("each success is the upstream's own whole answer, and each other one a failure")
def check_successes(context):
    for each in context.tries:
        if each.status != OK or not each.is_whole:
            assert each.status in FAILURES, (
                each,
                _read_lines(context, each.request_id),
            )
            continue
        is_stream = each.path in (STREAM, ONCE_STREAM)
        expected = STREAM_CONTENT if is_stream else b"done"
        assert each.content == expected, (each, _read_lines(context, each.request_id))


@then("no request that was told as not run has run")
def check_told(context):
    broken = [
        each
        for each in context.tries
        if each.request_id in context.runs
        and (each.status in NOT_RUN_STATUSES or each.outcome == "not-run")
    ]
    assert not broken, (broken, _read_lines(context, broken[0].request_id))


@then(
    "no stream was held by two upstreams for more than {seconds:g} s that its instance "
    "reached"
)
def check_held(context, seconds):
    streams = [each for each in context.tries if each.path == STREAM]
    for each in streams:
        runs = context.runs.get(each.request_id, [])
        overlaps = [
            earlier.end_s - later.begin_s
            for earlier, later in itertools.pairwise(runs)
            if not _is_disturbed(context, each.instance, later.begin_s)
        ]
        assert max(overlaps, default=0.0) <= seconds, (
            runs,
            _read_lines(context, each.request_id),
        )


def _is_disturbed(context, instance, at_s):
    return any(
        span.instance == instance and span.begin_s <= at_s <= span.end_s + CONTACT_S
        for span in context.fleet.spans
    )


@then("at least {count:d} refusals and answers were sent twice, not only answers")
def check_copies(context, count):
    copied = _read_all_ids(context, COPIES_SUFFIX)
    refused = _read_all_ids(context, REFUSED_SUFFIX)
    assert len(copied) >= count, len(copied)
    assert set(copied) & set(refused), (len(copied), len(refused))


def _read_all_ids(context, suffix):
    upstreams = context.fleet.upstreams
    return [each for upstream in upstreams for each in read_ids(upstream, suffix)]
