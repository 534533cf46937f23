"""Builds the parts of the forwarder that depend on the platform."""

from jujubenotch.daemon.forward_parts import ForwarderParts
from jujubenotch.platform.requests import PLATFORM_PROTOCOL, decode_request
from jujubenotch.platform.store import (
    make_configuration_source,
    make_upstream_source,
    open_store,
)
from jujubenotch.settings.forwarder import ForwarderSettings


def make_parts(settings: ForwarderSettings) -> ForwarderParts:
    """Build the sources and the protocol; requires a running event loop.

    :param settings: The validated settings.
    :returns: The parts.
    """
    client = open_store(settings.store)
    return ForwarderParts(
        configuration=make_configuration_source(client),
        upstreams=make_upstream_source(client),
        protocol=PLATFORM_PROTOCOL,
        decode_request=decode_request,
        move_store=client.move,
        close=client.session.close,
    )
