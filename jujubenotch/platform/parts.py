"""Builds the components of the forwarder that depend on the platform."""

from jujubenotch.daemon.forward_parts import PlatformComponents
from jujubenotch.platform.cloud import open_cloud
from jujubenotch.platform.crash_reports import StoreCrashReports, make_crash_source
from jujubenotch.platform.directory import StoreDirectory
from jujubenotch.platform.leases import StoreLeases
from jujubenotch.platform.registry import StoreRegistry
from jujubenotch.platform.requests import PLATFORM_PROTOCOL, decode_request
from jujubenotch.platform.store import (
    make_configuration_source,
    make_upstream_source,
    open_store,
)
from jujubenotch.platform.stream_records import StoreStreamRecords
from jujubenotch.settings.forwarder import ForwarderSettings


def make_platform_components(settings: ForwarderSettings) -> PlatformComponents:
    """Build the sources and the protocol; requires a running event loop.

    :param settings: The validated settings.
    :returns: The components.
    """
    client = open_store(settings.store)
    cloud = open_cloud(settings.cloud.address) if settings.cloud else None

    async def close():
        await client.session.close()
        if cloud is not None:
            await cloud.session.close()

    return PlatformComponents(
        configuration=make_configuration_source(client),
        upstreams=make_upstream_source(client),
        crashes=make_crash_source(client),
        crash_reports=StoreCrashReports(client=client),
        registry=StoreRegistry(client=client),
        directory=StoreDirectory(client=client),
        stream_records=StoreStreamRecords(client=client),
        protocol=PLATFORM_PROTOCOL,
        decode_request=decode_request,
        set_store_address=client.move,
        close=close,
        leases=StoreLeases(client=client) if settings.cloud else None,
        cloud=cloud,
    )
