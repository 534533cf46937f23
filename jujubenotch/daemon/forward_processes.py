"""Compares the process that answers in an upstream's name with the listed one."""

import logging

from jujubenotch.daemon.forward_state import ForwardState
from jujubenotch.dispatch import UpstreamProtocol
from jujubenotch.logs import log_event
from jujubenotch.upstreams import read_report

logger = logging.getLogger(__name__)


async def is_replaced(
    state: ForwardState, protocol: UpstreamProtocol, name: str
) -> bool:
    """Return whether another process has an upstream's name than the list shows.

    :param state: The state of this instance.
    :param protocol: The protocol of the upstreams.
    :param name: The upstream's name.
    :returns: False as well when the upstream doesn't tell.
    """
    upstream = state.upstreams.upstreams.get(name)
    if upstream is None:
        return False
    report = await read_report(upstream.url + protocol.status_path)
    started_ms = protocol.read_started_ms(report)
    # The list may have changed meanwhile.
    known = state.listing.upstreams.get(name)
    listed_ms = known.listed.started_ms if known else 0
    if started_ms is None or not listed_ms or started_ms == listed_ms:
        return False
    log_event(
        logger,
        logging.WARNING,
        "upstream-replaced",
        upstream=name,
        started_ms=started_ms,
        listed_ms=listed_ms,
        software_version=known.listed.software_version,
    )
    return True
