"""Follows the configuration and the list of upstreams, together with neighbours."""

import asyncio
import logging
from collections.abc import Coroutine

from jujubenotch.daemon.forward_count import keep_count, stay_counted
from jujubenotch.daemon.forward_messages import report_outage, share_page
from jujubenotch.daemon.forward_parts import ForwardingInstance, PlatformComponents
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
from jujubenotch.daemon.forward_state import (
    apply_configuration,
    apply_upstreams,
    is_list_behind,
)
from jujubenotch.forwarding import (
    choose_list_delay_s,
    double_pause_s,
    follow_source,
    interrupt_call,
)
from jujubenotch.logs import log_event
from jujubenotch.neighbours import MessageKind

logger = logging.getLogger(__name__)

# Both sources are read from one store. During an outage of the store, the calls
# for the configuration detect its return and the list is then read at once, so the
# calls for the list can be rare.
LIST_MAX_PAUSE_S = 2.0
# When one source has reported a revision, the other source delivers the changes up
# to that revision within this time.
CHANGE_DELIVERY_S = 0.6


def make_followers(
    instance: ForwardingInstance, components: PlatformComponents
) -> tuple[Coroutine, ...]:
    """Make the coroutines that keep an instance's state up to date.

    :param instance: The instance; its state is changed in place.
    :param components: The components that are specific to the platform.
    :returns: Coroutines that run until they are cancelled.
    """
    relay = make_relay(instance)
    configuration = _add_configuration(relay, instance.state, components.configuration)
    upstreams = _add_upstreams(relay, instance, components.upstreams)
    return (
        _follow_configuration(relay, configuration),
        _follow_upstreams(relay, upstreams),
        run_relay(relay, components),
        stay_counted(relay, components),
        keep_count(relay, components),
    )


def _add_configuration(relay, state, source):
    loop = asyncio.get_running_loop()

    def apply_and_compare(update):
        apply_configuration(state, update)
        if update.follows_outage:
            state.listing_progress.retry_requested.set()
        if is_list_behind(state):
            loop.call_later(CHANGE_DELIVERY_S, _end_stalled_list_call, state)

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
    return add_followed_source(
        relay,
        MessageKind.UPSTREAMS,
        source,
        state.listing_progress,
        lambda update: capacity.forget(apply_upstreams(state, update)),
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


def _apply_and_share(relay, kind):
    def apply(update):
        relay.followed[kind].apply(update)
        share_page(relay, kind, update)

    return apply


def _end_stalled_list_call(state):
    if is_list_behind(state) and state.listing_progress.call_timeout is not None:
        log_event(
            logger,
            logging.WARNING,
            "upstream-list-stalled",
            revision=state.listing_progress.revision or 0,
            newest=state.configuration_progress.revision,
        )
        interrupt_call(state.listing_progress)
