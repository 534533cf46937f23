"""Draws the faults of a site's run from a seed and injects them."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace

from benchmarks.site.copies import draw_copying
from benchmarks.site.crashes import SENDING_S, send_bad_content
from benchmarks.site.documents import GRACE_S
from benchmarks.site.fleet import (
    LIST_EXPIRY_S,
    Site,
    UpstreamEndpoint,
    kill_instance,
    move_instance,
    publish_configuration,
    publish_upstream,
    replace_upstream,
    start_instance,
    stop_instance,
    unpublish_upstream,
)
from benchmarks.site.model import (
    FaultSpan,
    Leaving,
    Revocation,
    RouteChange,
    SiteFault,
)
from benchmarks.site.upstreams import Spoiling, close_upstream
from standins.relay_core import (
    RelayMode,
    close_route,
    open_route,
    set_mode,
    silence_relayed_connections,
)
from standins.store import copy_store, drop_history, restore_store, set_fault

FAULT_FREE_BEGIN_S = 2.0
FAULT_FREE_BEGIN_RATIO = 0.1
FAULT_FREE_END_S = 8.0
MIN_FAULTY_RATIO = 0.6
MEAN_INTERVAL_S = 0.8
SIMULTANEOUS_RATIO = 0.3
REPEAT_RATIO = 0.2
REPEAT_PAUSE_S = 0.3
MIN_FAULT_S = 0.5
MAX_FAULT_S = 6.0
MAX_FAULT_RATIO = 0.1
DRAIN_S = 4.0
REUSE_AFTER_S = 2.0
MAX_DELAY_S = 0.3
# The store is unavailable for the first time and then restored. After the second time
# the operators and the upstreams write their rows again.
RESTORE_OUTAGE_S = 0.5
REWRITE_S = 1.0
MAX_SLOWDOWN = 8.0
# Callers leave a stream that is silent for 2 s.
MAX_SILENCE_S = 1.9
MAX_SILENCE_LEAD_S = 1.0
# An upstream says that it is leaving for so long before the list does.
SAID_LEAVING_S = 3.0
# A named limit has to be kept from 3 s on.
NAMED_LIMIT_S = 8.0
MIN_LIMIT_PER_S = 0.5
MAX_LIMIT_PER_S = 5.0
MIN_TURN_AWAY_S = 0.8
MAX_TURN_AWAY_S = 3.0
# The share of the upstreams that copy responses at the same time.
COPYING_RATIO = 0.5
COPYING_S = 3.0
ONE_WAY_MODES = (RelayMode.HOLD_TO_TARGET, RelayMode.HOLD_FROM_TARGET)
INSTANCE_KINDS = frozenset(
    {
        SiteFault.KILL_INSTANCE,
        SiteFault.REPLACE_INSTANCE,
        SiteFault.PAUSE_INSTANCE,
        SiteFault.STOP_INSTANCE,
        SiteFault.RELOAD_SETTINGS,
        SiteFault.CUT_STORE,
        SiteFault.CUT_STORE_ONE_WAY,
        SiteFault.SILENCE_STORE,
        SiteFault.SLOW_STORE,
        SiteFault.RESET_CALLERS,
    }
)
STORE_KINDS = frozenset(
    {
        SiteFault.STORE_UNAVAILABLE,
        SiteFault.STORE_SILENT,
        SiteFault.DROP_HISTORY,
        SiteFault.RESTORE_STORE,
        SiteFault.REVOKE_KEY,
        SiteFault.CHANGE_ROUTES,
        SiteFault.SILENCE_UPSTREAMS,
        SiteFault.COPY_RESPONSES,
        SiteFault.BAD_PART,
        SiteFault.BAD_REQUEST,
    }
)
# A process has at most one of these faults at a time.
PROCESS_KINDS = frozenset(
    {
        SiteFault.KILL_INSTANCE,
        SiteFault.REPLACE_INSTANCE,
        SiteFault.PAUSE_INSTANCE,
        SiteFault.STOP_INSTANCE,
        SiteFault.CRASH_UPSTREAM,
        SiteFault.DRAIN_UPSTREAM,
        SiteFault.REUSE_ADDRESS,
        SiteFault.SAY_LEAVING,
        SiteFault.NAME_LIMIT,
    }
)
START_S = 2.0
INTERPRETER_START_S = 0.3
# An instance is replaced so often in series, at most.
MAX_REPLACEMENTS = 3
# How much longer a fault of these kinds lasts than its drawn duration.
EXTRA_DURATION_S = {
    SiteFault.KILL_INSTANCE: START_S,
    SiteFault.REPLACE_INSTANCE: MAX_REPLACEMENTS * START_S,
    SiteFault.STOP_INSTANCE: GRACE_S + START_S,
    SiteFault.CRASH_UPSTREAM: LIST_EXPIRY_S,
    SiteFault.DRAIN_UPSTREAM: DRAIN_S,
    SiteFault.RESTORE_STORE: LIST_EXPIRY_S + RESTORE_OUTAGE_S,
    SiteFault.REUSE_ADDRESS: 2 * DRAIN_S + REUSE_AFTER_S,
    SiteFault.SAY_LEAVING: SAID_LEAVING_S + DRAIN_S,
    SiteFault.NAME_LIMIT: NAMED_LIMIT_S,
    SiteFault.COPY_RESPONSES: COPYING_S,
    SiteFault.BAD_PART: SENDING_S,
    SiteFault.BAD_REQUEST: SENDING_S,
}


@dataclass(frozen=True, kw_only=True)
class SiteEvent:
    """One planned fault; times are in seconds from the start of the load.

    :param value: The severity or the variant of the fault, drawn between 0 and 1.
    """

    kind: SiteFault
    target: str
    at_s: float
    duration_s: float
    value: float


def plan_site_faults(
    *,
    seed: int,
    duration_s: float,
    instances: list[str],
    endpoints: list[str],
    kinds: Sequence[SiteFault] = tuple(SiteFault),
) -> list[SiteEvent]:
    """Plan the faults of a run.

    Each kind is drawn once before any kind is drawn again; one that doesn't fit at its
    time is drawn again later.

    :param seed: Equal seeds give equal plans.
    :param duration_s: How long requests are sent.
    :param instances: The names of the instances.
    :param endpoints: The names of the upstreams' endpoints.
    :param kinds: The kinds to draw from.
    :returns: The faults, in order of time.
    """
    generator = random.Random(f"site faults {seed}")
    end_s = max(duration_s - FAULT_FREE_END_S, duration_s * MIN_FAULTY_RATIO)
    max_fault_s = min(MAX_FAULT_S, duration_s * MAX_FAULT_RATIO)
    events, remaining_kinds, free_at_s = [], [], {}
    at_s = min(FAULT_FREE_BEGIN_S, duration_s * FAULT_FREE_BEGIN_RATIO)
    while (at_s := at_s + generator.expovariate(1 / MEAN_INTERVAL_S)) < end_s:
        count = 2 if generator.random() < SIMULTANEOUS_RATIO else 1
        for _ in range(count):
            if not remaining_kinds:
                remaining_kinds = generator.sample(list(kinds), len(kinds))
            kind = remaining_kinds.pop()
            event = _draw_event(
                generator,
                kind,
                at_s,
                max_fault_s,
                instances,
                endpoints,
            )
            accepted = [
                each
                for each in _repeat(generator, event)
                if _find_end_s(each) <= end_s and _is_free(each, free_at_s)
            ]
            events += accepted
            if not accepted:
                remaining_kinds.insert(0, kind)
    return sorted(events, key=lambda event: event.at_s)


async def inject_site_faults(
    site: Site, events: list[SiteEvent], began_s: float
) -> None:
    """Inject all faults, each at its planned time, and clear them again.

    :param site: The site; the injected faults are recorded in its journal.
    :param events: The planned faults.
    :param began_s: When the load began.
    """
    async with asyncio.TaskGroup() as group:
        for event in events:
            group.create_task(_inject(site, event, began_s))


def _draw_event(generator, kind, at_s, max_fault_s, instances, endpoints):
    targets = endpoints
    if kind in INSTANCE_KINDS:
        targets = instances
    if kind in STORE_KINDS:
        targets = ["store"]
    return SiteEvent(
        kind=kind,
        target=generator.choice(targets),
        at_s=at_s,
        duration_s=generator.uniform(MIN_FAULT_S, max_fault_s),
        value=generator.random(),
    )


def _repeat(generator, event):
    yield event
    if generator.random() < REPEAT_RATIO:
        yield replace(event, at_s=event.at_s + event.duration_s + REPEAT_PAUSE_S)


def _is_free(event, free_at_s):
    if event.kind not in PROCESS_KINDS:
        return True
    if event.at_s < free_at_s.get(event.target, 0.0):
        return False
    free_at_s[event.target] = _find_end_s(event) + START_S
    return True


def _find_end_s(event):
    return event.at_s + event.duration_s + EXTRA_DURATION_S.get(event.kind, 0.0)


async def _inject(site, event, began_s):
    await asyncio.sleep(max(0.0, began_s + event.at_s - time.monotonic()))
    begin_s = time.monotonic()
    exit_code = await _ACTIONS[event.kind](site, event)
    span = FaultSpan(
        kind=event.kind,
        target=event.target,
        begin_s=begin_s,
        settled_s=time.monotonic(),
        exit_code=exit_code,
    )
    site.journal.faults.append(span)


async def _kill_and_restart(site, event):
    await kill_instance(site, event.target)
    await asyncio.sleep(event.duration_s)
    await start_instance(site, event.target)


async def _replace_in_series(site, event):
    """Replace an instance for good, up to three times, each at a new address."""
    for _ in range(1 + int(event.value * MAX_REPLACEMENTS)):
        await kill_instance(site, event.target)
        move_instance(site, event.target)
        await start_instance(site, event.target)


async def _pause_and_resume(site, event):
    process = site.instances[event.target].process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(event.duration_s)
    process.send_signal(signal.SIGCONT)


async def _stop_and_restart(site, event):
    exit_code = await stop_instance(site, event.target)
    await start_instance(site, event.target)
    return exit_code


async def _reload_settings(site, event):
    """Change the settings file, and in half of the cases send SIGHUP too."""
    instance = site.instances[event.target]
    text = instance.settings_path.read_text()
    old, new = f"grace-s={GRACE_S:g}", f"grace-s={GRACE_S + 1:g}"
    if old not in text:
        old, new = new, old
    instance.settings_path.write_text(text.replace(old, new))
    if event.value < 1 / 2:
        return
    # A program has no signal handlers yet while its interpreter starts, and SIGHUP
    # would end it.
    left_s = instance.started_s + INTERPRETER_START_S - time.monotonic()
    await asyncio.sleep(max(0.0, left_s))
    if instance.process.returncode is None:
        instance.process.send_signal(signal.SIGHUP)


def _make_mode_change(find_route, choose_mode) -> Callable[..., Awaitable[None]]:
    async def change(site, event):
        route = find_route(site, event.target)
        await set_mode(route, choose_mode(event.value))
        await asyncio.sleep(event.duration_s)
        await set_mode(route, RelayMode.FORWARD)

    return change


def _choose_one_way(value):
    return ONE_WAY_MODES[value < 1 / 2]


def _find_store_route(site, target):
    return site.instances[target].store_route


def _find_upstream_route(site, target):
    return site.upstream_endpoints[target].route


async def _silence_store(site, event):
    silence_relayed_connections(_find_store_route(site, event.target))


def _make_delay(find_route) -> Callable[..., Awaitable[None]]:
    async def delay(site, event):
        route = find_route(site, event.target)
        route.delay_s = event.value * MAX_DELAY_S
        await asyncio.sleep(event.duration_s)
        route.delay_s = 0.0

    return delay


async def _reset_route(route):
    if route.mode is not RelayMode.CUT:
        close_route(route)
        await open_route(route)


async def _reset_callers(site, event):
    await _reset_route(site.instances[event.target].callers_route)


async def _reset_upstream(site, event):
    await _reset_route(_find_upstream_route(site, event.target))


def _make_store_fault(fault) -> Callable[..., Awaitable[None]]:
    async def break_store(site, event):
        set_fault(site.store, fault)
        await asyncio.sleep(event.duration_s)
        set_fault(site.store, "")

    return break_store


async def _drop_history(site, event):
    drop_history(site.store)


async def _restore_store(site, event):
    """Restore the store from a copy that is as old as the fault's duration."""
    copy = copy_store(site.store)
    await asyncio.sleep(event.duration_s)
    set_fault(site.store, "unavailable")
    await asyncio.sleep(RESTORE_OUTAGE_S)
    restore_store(site.store, copy)
    set_fault(site.store, "")
    await asyncio.sleep(REWRITE_S)
    publish_configuration(site)
    running = {
        endpoint.upstream.name: endpoint
        for endpoint in site.upstream_endpoints.values()
        if endpoint.upstream.server.is_serving()
    }
    for endpoint in running.values():
        publish_upstream(site, endpoint)
    await asyncio.sleep(LIST_EXPIRY_S - REWRITE_S)
    for name in {key for table, _, key in copy.rows if table == "servers"}:
        if name not in running:
            unpublish_upstream(site, name)


async def _crash_upstream(site, event):
    endpoint = site.upstream_endpoints[event.target]
    await close_upstream(endpoint.upstream)
    asyncio.get_running_loop().call_later(
        LIST_EXPIRY_S, unpublish_upstream, site, endpoint.upstream.name
    )
    await asyncio.sleep(event.duration_s)
    await replace_upstream(site, endpoint, service=endpoint.upstream.service)


async def _drain_upstream(site, event):
    endpoint = site.upstream_endpoints[event.target]
    await _drain_and_close(site, endpoint)
    await asyncio.sleep(event.duration_s)
    await replace_upstream(site, endpoint, service=endpoint.upstream.service)


async def _reuse_address(site, event):
    """Let an upstream leave, and an upstream of the other service use its address.

    That upstream leaves again, and one of the original service replaces it.
    """
    endpoint = site.upstream_endpoints[event.target]
    service = endpoint.upstream.service
    other_service = "model" if service == "plain" else "plain"
    await _drain_and_close(site, endpoint)
    await asyncio.sleep(REUSE_AFTER_S)
    await replace_upstream(
        site, endpoint, service=other_service, port=endpoint.upstream.port
    )
    await asyncio.sleep(event.duration_s)
    await _drain_and_close(site, endpoint)
    await replace_upstream(site, endpoint, service=service)


async def _drain_and_close(site, endpoint: UpstreamEndpoint):
    upstream = endpoint.upstream
    upstream.is_leaving = True
    publish_upstream(site, endpoint)
    leaving = Leaving(upstream=upstream.name, at_s=time.monotonic())
    site.journal.leavings.append(leaving)
    await asyncio.sleep(DRAIN_S)
    unpublish_upstream(site, upstream.name)
    await close_upstream(upstream)


async def _spoil_answers(site, event):
    upstream = site.upstream_endpoints[event.target].upstream
    kinds = list(Spoiling)
    upstream.spoiling = kinds[int(event.value * len(kinds))]
    await asyncio.sleep(event.duration_s)
    upstream.spoiling = None


async def _slow_upstream(site, event):
    upstream = site.upstream_endpoints[event.target].upstream
    upstream.slowdown = 1 + event.value * (MAX_SLOWDOWN - 1)
    await asyncio.sleep(event.duration_s)
    upstream.slowdown = 1.0


async def _silence_upstreams(site, event):
    """Let all upstreams be silent for a time just after the configuration changes."""
    publish_configuration(site)
    await asyncio.sleep(event.value * MAX_SILENCE_LEAD_S)
    silence_s = min(event.duration_s, MAX_SILENCE_S)
    for endpoint in site.upstream_endpoints.values():
        endpoint.upstream.silent_until_s = time.monotonic() + silence_s
    await asyncio.sleep(silence_s)


async def _say_leaving(site, event):
    """Let an upstream leave that says so before the list does."""
    endpoint = site.upstream_endpoints[event.target]
    endpoint.upstream.says_leaving = True
    await asyncio.sleep(event.duration_s + SAID_LEAVING_S)
    await _drain_and_close(site, endpoint)
    await replace_upstream(site, endpoint, service=endpoint.upstream.service)


async def _name_limit(site, event):
    upstream = site.upstream_endpoints[event.target].upstream
    upstream.episode += 1
    limit_range = MAX_LIMIT_PER_S - MIN_LIMIT_PER_S
    upstream.limit_per_s = round(MIN_LIMIT_PER_S + event.value * limit_range, 2)
    await asyncio.sleep(event.duration_s + NAMED_LIMIT_S)
    upstream.limit_per_s = None


async def _turn_away(site, event):
    upstream = site.upstream_endpoints[event.target].upstream
    time_range = MAX_TURN_AWAY_S - MIN_TURN_AWAY_S
    upstream.turn_away_s = round(MIN_TURN_AWAY_S + event.value * time_range, 2)
    await asyncio.sleep(event.duration_s)
    upstream.turn_away_s = None


async def _copy_responses(site, event):
    """Let some upstreams refuse a share of the requests and copy their responses."""
    generator = random.Random(event.value)
    upstreams = [
        endpoint.upstream
        for endpoint in site.upstream_endpoints.values()
        if generator.random() < COPYING_RATIO
    ]
    for upstream in upstreams:
        upstream.copying = draw_copying(generator)
    await asyncio.sleep(event.duration_s + COPYING_S)
    for upstream in upstreams:
        upstream.copying = None


async def _revoke_key(site, event):
    keys = site.configuration.keys
    index = int(event.value * len(keys))
    key = sorted(keys)[index]
    team = keys.pop(key)
    new_key = f"key-{site.generator.getrandbits(48):012x}"
    keys[new_key] = team
    site.journal.teams[new_key] = team
    publish_configuration(site)
    revocation = Revocation(key=key, at_s=time.monotonic())
    site.journal.revocations.append(revocation)


async def _change_routes(site, event):
    prefix = f"/extra-{site.generator.getrandbits(32):08x}/"
    site.configuration.extra_prefixes.append(prefix)
    _publish_route(site, prefix, is_added=True)
    site.callers.prefixes.append(prefix)
    await asyncio.sleep(event.duration_s)
    site.configuration.extra_prefixes.remove(prefix)
    _publish_route(site, prefix, is_added=False)


def _publish_route(site, prefix, *, is_added):
    publish_configuration(site)
    change = RouteChange(prefix=prefix, at_s=time.monotonic(), is_added=is_added)
    site.journal.routes.append(change)


_ACTIONS = {
    SiteFault.KILL_INSTANCE: _kill_and_restart,
    SiteFault.REPLACE_INSTANCE: _replace_in_series,
    SiteFault.PAUSE_INSTANCE: _pause_and_resume,
    SiteFault.STOP_INSTANCE: _stop_and_restart,
    SiteFault.RELOAD_SETTINGS: _reload_settings,
    SiteFault.CUT_STORE: _make_mode_change(
        _find_store_route, lambda value: RelayMode.CUT
    ),
    SiteFault.CUT_STORE_ONE_WAY: _make_mode_change(_find_store_route, _choose_one_way),
    SiteFault.SILENCE_STORE: _silence_store,
    SiteFault.SLOW_STORE: _make_delay(_find_store_route),
    SiteFault.STORE_UNAVAILABLE: _make_store_fault("unavailable"),
    SiteFault.STORE_SILENT: _make_store_fault("silent"),
    SiteFault.DROP_HISTORY: _drop_history,
    SiteFault.RESTORE_STORE: _restore_store,
    SiteFault.RESET_CALLERS: _reset_callers,
    SiteFault.CUT_UPSTREAM: _make_mode_change(
        _find_upstream_route, lambda value: RelayMode.CUT
    ),
    SiteFault.CUT_UPSTREAM_ONE_WAY: _make_mode_change(
        _find_upstream_route, _choose_one_way
    ),
    SiteFault.RESET_UPSTREAM: _reset_upstream,
    SiteFault.DELAY_UPSTREAM: _make_delay(_find_upstream_route),
    SiteFault.CRASH_UPSTREAM: _crash_upstream,
    SiteFault.DRAIN_UPSTREAM: _drain_upstream,
    SiteFault.REUSE_ADDRESS: _reuse_address,
    SiteFault.SPOIL_ANSWERS: _spoil_answers,
    SiteFault.SLOW_UPSTREAM: _slow_upstream,
    SiteFault.SILENCE_UPSTREAMS: _silence_upstreams,
    SiteFault.SAY_LEAVING: _say_leaving,
    SiteFault.NAME_LIMIT: _name_limit,
    SiteFault.TURN_AWAY: _turn_away,
    SiteFault.COPY_RESPONSES: _copy_responses,
    SiteFault.BAD_PART: send_bad_content,
    SiteFault.BAD_REQUEST: send_bad_content,
    SiteFault.REVOKE_KEY: _revoke_key,
    SiteFault.CHANGE_ROUTES: _change_routes,
}
