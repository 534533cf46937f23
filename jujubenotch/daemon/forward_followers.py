"""Follows the configuration and the list of upstreams, together with neighbours."""

import asyncio
import functools
import logging
from collections.abc import Coroutine

from jujubenotch.daemon.forward_cloud import follow_lease
from jujubenotch.daemon.forward_crashes import apply_crash_page
from jujubenotch.daemon.forward_instances import (
    keep_addresses,
    keep_asking,
    keep_count,
    keep_list_clean,
    stay_listed,
)
from jujubenotch.daemon.forward_leases import LeaseWatch
from jujubenotch.daemon.forward_messages import (
    report_outage,
    send_message,
    share_page,
)
from jujubenotch.daemon.forward_missed import expect_change, is_behind
from jujubenotch.daemon.forward_paces import connect_paces, share_paces
from jujubenotch.daemon.forward_parts import ForwardingInstance, PlatformComponents
from jujubenotch.daemon.forward_publishing import publish_reports
from jujubenotch.daemon.forward_records import keep_records
from jujubenotch.daemon.forward_registered import keep_registrations
from jujubenotch.daemon.forward_registration import run_relay
from jujubenotch.daemon.forward_relay import (
    FollowedSource,
    Relay,
    add_followed_source,
    choose_pause_s,
    choose_wait_s,
    make_relay,
    wait_until_due,
)
from jujubenotch.daemon.forward_revisions import record_revisions
from jujubenotch.daemon.forward_scaling import make_scaling_watch, order_upstreams
from jujubenotch.daemon.forward_state import (
    ForwardState,
    apply_configuration,
    apply_upstreams,
)
from jujubenotch.daemon.forward_stream_messages import send_origins
from jujubenotch.daemon.forward_streams import record_listing
from jujubenotch.daemon.forward_usage import (
    UsageMeter,
    gather_reports,
    make_usage_watch,
    read_demand,
)
from jujubenotch.daemon.forward_usage_reports import report_usage
from jujubenotch.forwarding import (
    Source,
    choose_list_delay_s,
    double_pause_s,
    follow_source,
    read_unseen,
)
from jujubenotch.leases import Duty
from jujubenotch.logs import log_event
from jujubenotch.neighbours import MessageKind

logger = logging.getLogger(__name__)

# Both sources are read from one store. During an outage of the store, the calls
# for the configuration detect its return and the list is then read at once, so the
# calls for the list can be rare.
LIST_MAX_PAUSE_S = 2.0
# Reports of several instances about one crash arrive within this time.
CRASH_PAGE_DELAY_S = 0.05


def make_followers(
    instance: ForwardingInstance, components: PlatformComponents
) -> tuple[Coroutine, ...]:
    """Make the coroutines that keep an instance's state up to date.

    :param instance: The instance; its state is changed in place.
    :param components: The components that are specific to the platform.
    :returns: Coroutines that run until they are cancelled.
    """
    relay = make_relay(instance)
    stream_watch = instance.stream_watch
    stream_watch.neighbours = relay.neighbours
    stream_watch.send = functools.partial(send_message, relay)
    stream_watch.store = components.stream_records
    connect_paces(instance.pace_watch, relay, functools.partial(send_message, relay))
    configuration = add_configuration(relay, instance.state, components.configuration)
    upstreams = _add_upstreams(relay, instance, components.upstreams)
    crashes = _add_crashes(relay, instance, components.crashes)
    lease_tasks = follow_lease(relay, components)
    usage_tasks = _make_usage_tasks(relay, instance)
    return (
        *usage_tasks,
        _follow_configuration(relay, configuration),
        _follow_upstreams(relay, upstreams),
        _follow_crashes(relay, crashes),
        publish_reports(
            instance.crash_watch,
            components.crash_reports,
            lambda: instance.instance_count.sharing,
        ),
        run_relay(relay, components),
        stay_listed(relay, components),
        keep_count(relay, components),
        keep_addresses(relay, components),
        keep_asking(relay),
        keep_list_clean(relay, components),
        send_origins(stream_watch),
        *lease_tasks,
        *_make_scaling_tasks(instance),
        keep_records(stream_watch),
        keep_registrations(stream_watch),
        share_paces(instance.pace_watch),
    )


def _make_usage_tasks(relay, instance):
    """Make the tasks that count usage and demand, where the settings name a duty.

    They come first, so that the last counts are sent before the endpoint is closed.
    """
    lease = instance.lease_watch
    if lease is None:
        return ()
    watch = make_usage_watch(instance.settings, lease, instance.observer.metrics)
    instance.usage_watch = watch
    instance.dispatcher.meter = UsageMeter(counter=watch.counter)
    watch.send = functools.partial(send_message, relay)
    watch.find_receiver = lambda: find_report_receiver(relay, lease)
    watch.is_forwarding = lambda: relay.role.is_reader
    if Duty.USAGE_REPORTING in instance.settings.cloud.duties:
        return gather_reports(watch), report_usage(watch)
    return (gather_reports(watch),)


def _make_scaling_tasks(instance):
    """Make the task that orders upstreams, where the settings name the duty."""
    settings = instance.settings
    lease, usage = instance.lease_watch, instance.usage_watch
    if lease is None or Duty.AUTOSCALING not in settings.cloud.duties:
        return ()
    if settings.neighbours is None:
        # The other instances can't send their demand, so too little would be ordered.
        log_event(logger, logging.WARNING, "scaling-unavailable", needs="port-range")
        return ()
    watch = make_scaling_watch(
        instance.state,
        lease,
        instance.observer.metrics,
        functools.partial(read_demand, usage),
        calls_per_s=settings.cloud.calls_per_s,
        max_key_age_s=settings.max_key_age_s,
        data_centres=settings.all_data_centres,
    )
    instance.scaling_watch = watch
    return (order_upstreams(watch),)


def find_report_receiver(relay: Relay, lease: LeaseWatch) -> str:
    """Return the endpoint to which this instance sends its counts.

    :param relay: The relay.
    :param lease: What this instance knows of the lease.
    :returns: The reader of the data centre, or the holder of the lease for a reader;
        empty when it is unknown or this instance itself.
    """
    if relay.endpoint is None:
        return ""
    address = lease.holder_address if relay.is_reading else relay.reader_address
    return "" if address == relay.neighbours.own_address else address


def add_configuration(
    relay: Relay, state: ForwardState, source: Source
) -> FollowedSource:
    """Follow the configuration, whose pages tell whether other sources are behind.

    :param relay: The relay; changed in place.
    :param state: The instance's state.
    :param source: The source of the configuration.
    :returns: The followed source.
    """

    def apply_and_compare(update):
        apply_configuration(state, update)
        for kind in (MessageKind.UPSTREAMS, MessageKind.CRASHES):
            progress = relay.followed[kind].progress
            if update.follows_outage:
                progress.retry_requested.set()
            if is_behind(state, progress):
                relay.request_lease_read()
                expect_change(relay, state, kind)

    return add_followed_source(
        relay,
        MessageKind.CONFIGURATION,
        source,
        state.configuration_progress,
        apply_and_compare,
    )


def _add_upstreams(relay, instance, source):
    state = instance.state
    capacity = instance.dispatcher.capacity
    instance.stream_watch.read_unseen = functools.partial(
        read_unseen, state.listing_progress, source
    )

    def apply(update):
        capacity.forget(apply_upstreams(state, update))
        record_listing(instance.stream_watch)

    return add_followed_source(
        relay,
        MessageKind.UPSTREAMS,
        source,
        state.listing_progress,
        apply,
    )


def _add_crashes(relay, instance, source):
    state = instance.state

    def apply(update):
        record_revisions(state.revisions, update)
        apply_crash_page(instance.crash_watch, update)

    return add_followed_source(
        relay, MessageKind.CRASHES, source, state.crash_progress, apply
    )


def _follow_configuration(relay: Relay, followed: FollowedSource) -> Coroutine:
    kind = MessageKind.CONFIGURATION
    loop = asyncio.get_running_loop()
    return follow_source(
        followed.progress,
        followed.source,
        _apply_and_share(relay, kind),
        lambda: choose_wait_s(relay, kind),
        choose_pause_s=lambda failures: choose_pause_s(relay, failures, loop.time()),
        wait_until_due=lambda: wait_until_due(relay, kind),
        report_failure=lambda: report_outage(relay),
    )


def _follow_upstreams(relay: Relay, followed: FollowedSource) -> Coroutine:
    kind = MessageKind.UPSTREAMS
    listing = relay.instance.state.listing
    return follow_source(
        followed.progress,
        followed.source,
        _apply_and_share(relay, kind),
        lambda: choose_wait_s(relay, kind),
        choose_delay_s=lambda: choose_list_delay_s(
            0 if relay.is_active else len(listing.upstreams)
        ),
        choose_pause_s=lambda failures: double_pause_s(failures, LIST_MAX_PAUSE_S),
        wait_until_due=lambda: wait_until_due(relay, kind),
    )


def _follow_crashes(relay: Relay, followed: FollowedSource) -> Coroutine:
    kind = MessageKind.CRASHES
    return follow_source(
        followed.progress,
        followed.source,
        _apply_and_share(relay, kind),
        lambda: choose_wait_s(relay, kind),
        choose_delay_s=lambda: CRASH_PAGE_DELAY_S,
        choose_pause_s=lambda failures: double_pause_s(failures, LIST_MAX_PAUSE_S),
        wait_until_due=lambda: wait_until_due(relay, kind),
    )


def _apply_and_share(relay, kind):
    def apply(update):
        relay.followed[kind].apply(update)
        share_page(relay, kind, update)

    return apply
