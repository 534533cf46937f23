"""Derives the numbers of instances that share upstreams, limits and budgets."""

import logging

from jujubenotch.daemon.forward_relay import Relay
from jujubenotch.logs import log_event
from jujubenotch.membership import count_possible, count_sharing

logger = logging.getLogger(__name__)


def update_count(relay: Relay) -> None:
    """Derive the number of instances from what is known of them, once they were listed.

    :param relay: The relay; the instance's count is changed in place.
    """
    if not relay.neighbours.was_listed:
        return
    count = relay.instance.instance_count
    before = count.sharing if count.is_known else None
    # An instance that shares pages knows those of its data centre alone.
    factor = 1
    if relay.shares_pages:
        factor = len(relay.instance.settings.all_data_centres)
    count.sharing = factor * count_sharing(relay.neighbours)
    count.possible = factor * count_possible(relay.neighbours)
    count.is_known = True
    if count.sharing != before:
        log_event(
            logger,
            logging.INFO,
            "instances-counted",
            instances=count.sharing,
            before=before,
            possible=count.possible,
        )
