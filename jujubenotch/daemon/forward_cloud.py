"""Connects the lease with the instance, and bounds the calls to the platform's API."""

import functools
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass

from jujubenotch.daemon.forward_instances import has_others
from jujubenotch.daemon.forward_leases import (
    LeaseWatch,
    end_tenure,
    find_call_timeout_s,
    find_token,
    is_lease_read_due,
    list_known_revisions,
    make_lease_watch,
    request_lease_read,
    run_leases,
)
from jujubenotch.daemon.forward_parts import PlatformComponents
from jujubenotch.daemon.forward_relay import Relay
from jujubenotch.daemon.forward_revisions import add_known
from jujubenotch.forwarding import read_boot_clock_s
from jujubenotch.leases import (
    ApiResult,
    CloudApi,
    Duty,
    LeaseTerms,
    UpstreamOrder,
    record_api_result,
)
from jujubenotch.metrics import count_cloud_call

# Label of the calls that were not sent, as the token may no longer be used.
NOT_SENT = "not-sent"


def follow_lease(relay: Relay, components: PlatformComponents) -> tuple[Coroutine, ...]:
    """Make the coroutine that takes and keeps the lease.

    :param relay: The relay; the instance's watch of the lease is set.
    :param components: The components that are specific to the platform.
    :returns: The coroutine; none where nothing calls the platform's API.
    """
    instance = relay.instance
    cloud = instance.settings.cloud
    if cloud is None or components.leases is None or components.cloud is None:
        return ()
    watch = make_lease_watch(
        instance.settings.name,
        relay.neighbours.own_address,
        LeaseTerms(lease_s=cloud.lease_s, is_fenced=cloud.is_fenced),
        components.leases,
        instance.observer.metrics,
    )
    watch.is_candidate = lambda: relay.is_reading
    watch.has_others = functools.partial(has_others, relay, components)
    watch.note_revisions = functools.partial(_add_revisions, instance.state)
    watch.api = GuardedApi(watch=watch, api=components.cloud)
    relay.request_lease_read = functools.partial(request_lease_read, watch)
    relay.is_lease_read_due = functools.partial(is_lease_read_due, watch)
    relay.list_lease_revisions = functools.partial(
        _list_revisions, instance.state, watch
    )
    instance.lease_watch = watch
    return (_run_when_loaded(instance.state, watch),)


async def _run_when_loaded(state, watch):
    """Compete for the lease once the instance can serve, and knows who reads."""
    await state.loaded.wait()
    await run_leases(watch)


def _add_revisions(state, numbers, era):
    """Account for the lease's writes, unless the store's pages are of another era."""
    if era == state.configuration_progress.era:
        add_known(state.revisions, numbers)


def _list_revisions(state, watch):
    """Return the revisions of the lease's writes in the era of the pages."""
    seen = watch.state.seen
    if seen is None or seen.row.era != state.configuration_progress.era:
        return ()
    return list_known_revisions(watch)


@dataclass(frozen=True, kw_only=True)
class GuardedApi:
    """The platform's API for the holder of the lease.

    The token is checked and the call's deadline is bounded by the lease, whatever the
    duty has checked before.

    :param watch: The state of the lease.
    :param api: The API.
    """

    watch: LeaseWatch
    api: CloudApi

    async def send_usage(
        self,
        window: int,
        counts: Mapping[str, int],
        holder: str,
        token: int,
        timeout_s: float,
    ) -> ApiResult:
        """Report the requests of each team in a window; see ``CloudApi``."""
        result = await _call(
            self.watch,
            Duty.USAGE_REPORTING,
            token,
            timeout_s,
            lambda limit_s: self.api.send_usage(window, counts, holder, token, limit_s),
        )
        if result is ApiResult.CONFLICT:
            end_tenure(self.watch, "token-refused")
        return result

    async def order_upstreams(
        self, order: UpstreamOrder, holder: str, token: int, timeout_s: float
    ) -> ApiResult:
        """Order upstreams of a service in a data centre; see ``CloudApi``.

        A conflict means that none are available, or that the token was refused. Where
        the API enforces fencing, the token isn't used again in either case; a fresh one
        tells whether the lease is still held.
        """
        watch = self.watch
        result = await _call(
            watch,
            Duty.AUTOSCALING,
            token,
            timeout_s,
            lambda limit_s: self.api.order_upstreams(order, holder, token, limit_s),
        )
        if result is ApiResult.CONFLICT and watch.state.terms.is_fenced:
            watch.refused_token = token
        return result


async def _call(
    watch: LeaseWatch,
    duty: Duty,
    token: int,
    timeout_s: float,
    call: Callable[[float], Awaitable[ApiResult]],
) -> ApiResult:
    now_s = read_boot_clock_s()
    if find_token(watch, now_s) != token:
        count_cloud_call(watch.metrics, duty, NOT_SENT)
        return ApiResult.NOT_DONE
    watch.calls += 1
    watch.calls_ended.clear()
    # Stands also when the calling task is cancelled.
    result = ApiResult.UNKNOWN
    try:
        result = await call(min(timeout_s, find_call_timeout_s(watch, now_s)))
    finally:
        watch.calls -= 1
        if watch.calls == 0:
            watch.calls_ended.set()
        record_api_result(watch.state, result, read_boot_clock_s())
        count_cloud_call(watch.metrics, duty, result)
    return result
