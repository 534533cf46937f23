import asyncio
import collections
import contextlib
import time
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

from behave import given, then, when

from features.platform.paths import (
    Path,
    RecordingUpstream,
    cut_path,
    list_path,
    open_path,
    start_own_store,
    start_recording_upstream,
)
from features.platform.site import (
    SETTINGS,
    open_site,
    put_configuration,
    run,
    send,
    start_program,
    wait_until_logged,
    wait_until_ready,
)
from features.platform.steps.versions_steps import (
    NEIGHBOUR_PORTS,
    add_instance,
    stop_instance,
)
from features.platform.upstream_kinds import read_id
from jujubenotch.daemon import forward_detour
from jujubenotch.dispatch import RetryBudget

NO_REPEATS = "bounds.retry-extra=0\nbounds.retry-ratio=0\n"


@given(
    "a site of {count:d} instances with paths to {upstreams:d} upstreams that turn all "
    "requests away, which may repeat nothing"
)
def open_site_that_turns_away(context, count, upstreams):
    site = context.site = context.stack.enter_context(open_site())
    context.upstreams = [
        RecordingUpstream(name=f"u-{each}", turns_away=True)
        for each in range(upstreams)
    ]
    for upstream in context.upstreams:
        run(site, start_recording_upstream(site.host, upstream))
    context.instances, context.paths = [], []
    for number in range(1, count + 1):
        _add_instance(context, number)
    for view in context.instances:
        wait_until_ready(view)
        wait_until_logged(view, "instances-counted")


def _add_instance(context, number):
    view = add_instance(context.site, number)
    run(context.site, start_own_store(view))
    context.site.resources.extend(view.resources)
    put_configuration(view)
    paths = []
    for upstream in context.upstreams:
        path = Path(host=view.host, target=(context.site.host, upstream.port))
        run(context.site, open_path(path))
        list_path(view, upstream, path)
        paths.append(path)
    settings = SETTINGS.replace("{host}:{store_port}", f"{view.host}:{{store_port}}")
    settings = settings.replace("edge-a-1", f"edge-a-{number}")
    start_program(view, settings=settings + NEIGHBOUR_PORTS + NO_REPEATS)
    context.stack.callback(stop_instance, view)
    context.instances.append(view)
    context.paths.append(paths)


@when("the paths of {count:d} instance are cut")
def cut(context, count):
    context.cut = context.instances[0]
    for path in context.paths[0]:
        run(context.site, cut_path(path, "hangs"))


@when("{count:d} requests come to that instance within {seconds:g} s")
def send_to_cut(context, count, seconds):
    def send_one():
        with contextlib.suppress(OSError):
            send(context.cut, "/read/x")

    with ThreadPoolExecutor(count) as executor:
        for _ in range(count):
            executor.submit(send_one)
            time.sleep(seconds / count)


@then("requests have arrived, and none has arrived twice")
def check_arrivals(context):
    arrivals = collections.Counter(
        read_id(head) for upstream in context.upstreams for head in upstream.heads
    )
    assert arrivals, "none arrived"
    assert max(arrivals.values()) == 1, arrivals.most_common(5)


@given("a call, and instances that have it sent, not sent and sent when they are asked")
def make_detour(context):
    context.results = [
        forward_detour._HelperResult(has_sent=has_sent)
        for has_sent in (True, False, True)
    ]
    context.steps = []

    def may_retry(service, now_s):
        context.steps.append("budget")
        return True

    context.detour = forward_detour._Detour(
        watch=mock.MagicMock(),
        connections=None,
        retry_budget=RetryBudget(may_retry=may_retry),
        call=mock.Mock(),
        progress=mock.Mock(),
        sink=None,
        lost_for_s=1.0,
    )


@when("the instances are asked in turn")
def ask_in_turn(context):
    addresses = ["first", "second", "third", None]

    async def try_helper(detour, address):
        context.steps.append(address)
        return context.results.pop(0)

    with (
        mock.patch.object(forward_detour, "_choose", side_effect=addresses),
        mock.patch.object(forward_detour, "_try_helper", try_helper),
        mock.patch.object(forward_detour, "_log"),
        mock.patch.object(forward_detour, "make_refusal_answer"),
    ):
        asyncio.run(forward_detour._ask_in_turn(context.detour))


@then("the budget was asked before the second and before the third one")
def check_steps(context):
    expected = ["first", "budget", "second", "budget", "third"]
    assert context.steps == expected, context.steps
