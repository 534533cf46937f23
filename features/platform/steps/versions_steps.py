import random
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from behave import given, then, when

from features.platform.paths import start_own_store
from features.platform.site import (
    ROUTES,
    SETTINGS,
    call_store,
    list_upstream,
    open_site,
    put_configuration,
    read_events,
    read_log,
    run,
    signal_program,
    start_program,
    unlist_upstream,
    wait_until_ready,
    write_route,
)
from features.platform.versions import (
    EVENTS,
    ReadStream,
    end_upstream,
    read_stream,
    replace_upstream,
    start_upstream,
)
from jujubenotch.platform.stream_records import decode_name
from jujubenotch.streams import VersionRecord
from standins.store import set_fault

ONCE = write_route(
    "once", "/once/", "streaming", **{"stream-resume": True, "max-attempts": 1}
)
NEIGHBOUR_PORTS = "port-range=7340,7355\n"
CALLER_PAUSE_S = 0.05
MAX_RETURNS = 3
# Until the running instance knows and has recorded the second version.
LEARNING_S = 0.5
KILL_AFTER_S = 0.8
WAKE_AFTER_S = 0.3


def add_instance(site, number):
    """Return a view of the site whose program is one more instance."""
    host = f"127.78.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
    directory = site.directory / f"instance-{number}"
    directory.mkdir()
    return replace(site, host=host, directory=directory, process=None, resources=[])


def start_instance(view, number, store_host):
    settings = SETTINGS.replace("{host}:{store_port}", f"{store_host}:{{store_port}}")
    settings = settings.replace("edge-a-1", f"edge-a-{number}")
    start_program(view, settings=settings + NEIGHBOUR_PORTS)


def stop_instance(view):
    if view.process is not None:
        view.process.kill()
        view.process.wait()


@given(
    'a site of {count:d} instances with the upstreams "{entries}" that have just started'
)
def open_site_of_young_upstreams(context, count, entries):
    open_versioned_site(context, count, entries, born=int(time.time() * 1000))


@given(
    "a site of {count:d} instances, of which the others start {delay_s:g} s after the "
    'first, with the upstreams "{entries}"'
)
def open_site_of_late_instances(context, count, delay_s, entries):
    open_versioned_site(context, count, entries, delay_s=delay_s)


@given('a site of {count:d} instances with the upstreams "{entries}"')
def open_versioned_site(
    context, count, entries, *, delay_s=0.0, has_own_stores=False, **entry
):
    site = context.stack.enter_context(open_site())
    put_configuration(site, routes=(*ROUTES, ONCE))
    context.site = site
    context.upstreams = {}
    start_listed(context, entries, **entry)
    others = [add_instance(site, number) for number in range(2, count + 1)]
    context.instances = [site, *others]
    for number, view in enumerate(context.instances, 1):
        context.stack.callback(stop_instance, view)
        if has_own_stores and number > 1:
            open_own_store(context, view)
        start_instance(view, number, view.host if has_own_stores else site.host)
        if number == 1 and delay_s:
            wait_until_ready(view)
            time.sleep(delay_s)
    for view in context.instances:
        wait_until_ready(view)
    # The first event of the list has reached all instances, and their greetings too.
    time.sleep(1.0)


@given(
    "a site of {count:d} instances with stores of their own and the upstreams "
    '"{entries}"'
)
def open_site_of_own_stores(context, count, entries):
    open_versioned_site(context, count, entries, has_own_stores=True)


def open_own_store(context, view):
    """Give an instance a store that lists the present upstreams."""
    run(context.site, start_own_store(view))
    context.site.resources.extend(view.resources)
    put_configuration(view, routes=(*ROUTES, ONCE))
    for upstream in context.upstreams.values():
        list_upstream(
            view,
            upstream.name,
            version=upstream.version,
            born=1_700_000_000_000,
            slots=48,
        )


def start_listed(context, entries, **fields):
    for entry in entries.split(","):
        name, _, version = entry.partition("=")
        context.upstreams[name] = start_upstream(
            context.site, name, version, slots=48, **fields
        )


def read_streams(context, count, path, *events):
    """Read streams while events happen; each is a time in seconds and a function."""
    context.path = path
    context.streams = [ReadStream() for _ in range(count)]
    start_s = time.monotonic()
    with ThreadPoolExecutor(count) as executor:
        for stream in context.streams:
            executor.submit(read_stream, context.instances[0], stream, path)
            time.sleep(0.2 / count)
        for at_s, act in events:
            time.sleep(max(0.0, start_s + at_s - time.monotonic()))
            act()


@when('the upstream "{name}" is replaced by one of "{version}" that the list omits')
def replace_unlisted(context, name, version):
    replace_upstream(context.site, context.upstreams[name], version)


@when(
    'callers read {count:d} streams of "{path}" and the upstream "{names}" ends after '
    "{at_s:g} s"
)
@when(
    'callers read {count:d} streams of "{path}" and the upstreams "{names}" end after '
    "{at_s:g} s"
)
def read_while_upstreams_end(context, count, path, names, at_s):
    def end():
        for name in names.split(","):
            end_upstream(context.site, context.upstreams[name])

    read_streams(context, count, path, (at_s, end))


@when(
    'callers read {count:d} streams of "{path}" and the first instance is killed after '
    "{at_s:g} s"
)
def read_while_instance_ends(context, count, path, at_s):
    read_streams(context, count, path, (at_s, lambda: stop_instance(context.site)))


@when(
    'callers read {count:d} streams of "{path}", the upstreams "{entries}" come after '
    "{come_s:g} s and the first instance is killed after {at_s:g} s"
)
def read_while_version_comes(context, count, path, entries, come_s, at_s):
    read_streams(
        context,
        count,
        path,
        (come_s, lambda: start_listed(context, entries)),
        (at_s, lambda: stop_instance(context.site)),
    )


@when(
    'the other instance stands still while the upstreams "{entries}" come and callers '
    'read {count:d} streams of "{path}", until the first instance is killed'
)
def read_beside_standstill(context, entries, count, path):
    signal_program(context.instances[-1], signal.SIGSTOP)
    start_listed(context, entries)
    time.sleep(LEARNING_S)
    read_while_instance_ends(context, count, path, KILL_AFTER_S)


@when("{seconds:d} s pass, after which the instances judge by what they have seen")
def wait_for_window(context, seconds):
    time.sleep(seconds)


@when(
    'the other instance loses its store while the upstreams "{entries}" come and callers '
    'read {count:d} streams of "{path}", until the first instance is killed'
)
def read_beside_cut(context, entries, count, path):
    call_store(context.instances[-1], set_fault, "silent")
    start_listed(context, entries)
    time.sleep(LEARNING_S)
    read_while_instance_ends(context, count, path, KILL_AFTER_S)


@when("the callers take up their streams at the other instance as it goes on")
def take_up_at_wake(context):
    wake_soon(context)
    take_up(context)


@when(
    "the callers take up their streams as it goes on, without naming their first request"
)
def take_up_unnamed_at_wake(context):
    wake_soon(context)
    take_up_all_unnamed(context)


def wake_soon(context):
    """Let the instance go on once its callers have connected."""
    threading.Timer(
        WAKE_AFTER_S, signal_program, (context.instances[-1], signal.SIGCONT)
    ).start()


@when(
    'callers read {count:d} streams of "{path}" while "{name}" leaves the list and ends '
    "after {at_s:g} s"
)
def read_while_upstream_leaves(context, count, path, name, at_s):
    def leave():
        unlist_upstream(context.site, name)
        end_upstream(context.site, context.upstreams[name])

    read_streams(context, count, path, (at_s, leave))


@when(
    'callers read {count:d} streams of "{path}", the upstreams "{entries}" come after '
    '{come_s:g} s, "{names}" leave and all instances are killed after {at_s:g} s'
)
def read_while_all_end(context, count, path, entries, come_s, names, at_s):
    def end_all():
        for name in names.split(","):
            unlist_upstream(context.site, name)
            end_upstream(context.site, context.upstreams[name])
        kill_all(context)

    read_streams(
        context,
        count,
        path,
        (come_s, lambda: start_listed(context, entries, born=int(time.time() * 1000))),
        (at_s, end_all),
    )


@when(
    'callers read {count:d} streams of "{path}" and all instances are killed after '
    "{at_s:g} s"
)
def read_while_instances_end(context, count, path, at_s):
    read_streams(context, count, path, (at_s, lambda: kill_all(context)))


def kill_all(context):
    for view in context.instances:
        stop_instance(view)


@when("all instances start again")
def start_all(context):
    for number, view in enumerate(context.instances, 1):
        start_instance(view, number, context.site.host)
    for view in context.instances:
        wait_until_ready(view)


def take_up_stream(site, stream, path):
    """Read the rest of a stream; come back when, and only if, the answer says so."""
    for _ in range(MAX_RETURNS):
        read_stream(site, stream, path)
        if stream.retry_after is None:
            return
        time.sleep(float(stream.retry_after))


@when("the callers take up their streams at the other instance")
def take_up(context):
    broken = [stream for stream in context.streams if not stream.is_whole]
    context.broken = broken
    time.sleep(CALLER_PAUSE_S)
    start_s = time.monotonic()
    with ThreadPoolExecutor(max(1, len(broken))) as executor:
        for stream in broken:
            executor.submit(take_up_stream, context.instances[-1], stream, context.path)
    context.took_s = time.monotonic() - start_s


@when("the callers take up their streams without naming their first request")
def take_up_all_unnamed(context):
    context.broken = [each for each in context.streams if not each.is_whole]
    start_s = time.monotonic()
    with ThreadPoolExecutor(max(1, len(context.broken))) as executor:
        for stream in context.broken:
            executor.submit(
                read_stream,
                context.instances[-1],
                stream,
                context.path,
                names_first=False,
            )
    context.took_s = time.monotonic() - start_s


@then('the store holds records of "{versions}"')
def check_recorded(context, versions):
    objects = call_store(context.site, lambda state: list(state.objects))
    recorded = {
        identity.software_version
        for name in objects
        if name.startswith("stream-")
        and isinstance(identity := decode_name(name), VersionRecord)
    }
    assert recorded == set(versions.split(",")), objects


@when("a caller takes up a stream without naming its first request")
def take_up_unnamed(context):
    take_up_unknown(context, names_first=False)


@then("it got the rest of its stream")
def check_rest(context):
    (stream,) = context.streams
    assert stream.is_whole, (stream, read_log(context.instances[-1])[-1500:])
    assert [number for number, _ in stream.events] == list(range(3, EVENTS + 1))


@when("a caller takes up a stream that no instance knows")
def take_up_unknown(context, names_first=True):
    stream = ReadStream(first_id="00000000000000aa", events=[(3, "v1")])
    context.streams = context.broken = [stream]
    start_s = time.monotonic()
    read_stream(context.instances[-1], stream, "/once/x", names_first=names_first)
    context.took_s = time.monotonic() - start_s


@then("no stream has events of two versions")
def check_versions(context):
    mixed = [each for each in context.streams if len(each.versions) > 1]
    assert not mixed, (len(mixed), len(context.streams), mixed[0])


@then("at least {count:d} streams are whole")
def check_whole(context, count):
    whole = [each for each in context.streams if each.is_whole]
    assert len(whole) >= count, (
        len(whole),
        [each.statuses for each in context.streams],
        read_log(context.instances[-1])[-3000:],
    )


@then("no instance had to ask the store where a stream began")
def check_sources(context):
    found = read_events(context.instances[-1], "stream-origin-found")
    sources = {each["source"] for each in found}
    assert found and "saved" not in sources, sources


@then("all streams are whole")
def check_all_whole(context):
    check_whole(context, len(context.streams))


@then("it got the status {status:d} without Retry-After within {bound_s:g} s")
@then(
    "each broken stream got the status {status:d} without Retry-After within "
    "{bound_s:g} s"
)
def check_refused(context, status, bound_s):
    assert context.broken
    assert context.took_s <= bound_s, context.took_s
    for stream in context.broken:
        assert stream.statuses[-1] == status, stream
        assert stream.retry_after is None, stream


@then("no upstream got its request")
def check_not_sent(context):
    arrivals = [each.arrivals for each in context.upstreams.values()]
    assert not any(arrivals), arrivals
