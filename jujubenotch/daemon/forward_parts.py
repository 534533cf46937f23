"""The components of an instance that routes requests by host and path."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from jujubenotch.crashes import InstanceReports
from jujubenotch.daemon.forward_crashes import CrashWatch
from jujubenotch.daemon.forward_leases import LeaseWatch
from jujubenotch.daemon.forward_observer import ForwardObserver
from jujubenotch.daemon.forward_orders import ScalingWatch
from jujubenotch.daemon.forward_paces import PaceWatch
from jujubenotch.daemon.forward_reach import DetourWatch
from jujubenotch.daemon.forward_state import KEY_AGE_SHARE, ForwardState
from jujubenotch.daemon.forward_streams import StreamWatch
from jujubenotch.daemon.forward_usage import UsageWatch
from jujubenotch.dispatch import Dispatcher, UpstreamProtocol
from jujubenotch.forwarding import (
    ArrivedRequest,
    ConfigurationView,
    Source,
    measure_age_s,
    read_boot_clock_s,
)
from jujubenotch.leases import CloudApi, LeaseStore
from jujubenotch.listeners import Listener
from jujubenotch.membership import ListedInstance, make_incarnation
from jujubenotch.memory import MemoryAccount
from jujubenotch.neighbours import Registry
from jujubenotch.settings import Address, ForwarderSettings
from jujubenotch.streams import StreamRecordStore
from jujubenotch.upstreams import UpstreamConnections

# Assumed until the instances have been counted; more than a small site has.
UNKNOWN_COUNT = 32


class Directory(Protocol):
    """Lists the instances of all data centres."""

    async def add_instance(
        self, name: str, data_centre: str, address: str, incarnation: str
    ) -> ListedInstance:
        """Add an instance, with the address of its endpoint; empty when it has none.

        :raises SourceError: The store did not confirm it.
        """

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Return all instances that have been added and not removed.

        :raises SourceError: The store did not return a valid response.
        """

    async def remove_instance(self, entry: ListedInstance) -> None:
        """Remove the entry of one start of an instance.

        :raises SourceError: The store did not confirm it.
        """


class CrashReportStore(Protocol):
    """Where the instances publish their reports of crashed upstreams."""

    async def write(self, instance: str, reports: InstanceReports) -> None:
        """Replace the reports of an instance.

        :raises SourceError: The store did not confirm the change.
        """


@dataclass(frozen=True, kw_only=True)
class PlatformComponents:
    """The components that are specific to the platform on which an instance runs.

    :param configuration: The source of the configuration.
    :param upstreams: The source of the list of upstreams.
    :param crashes: The source of the instances' reports of crashed upstreams.
    :param crash_reports: Where this instance publishes its own reports.
    :param registry: Makes the instances of a data centre known to each other.
    :param directory: Makes the instances of all data centres countable.
    :param leases: Where the lease on calls to the platform's API is kept; ``None``
        when nothing calls it.
    :param cloud: The platform's API; ``None`` when nothing calls it.
    :param stream_records: Keeps the versions of services and the origins of streams.
    :param protocol: The protocol of the upstreams.
    :param decode_request: Decodes the method, target and headers of a caller's
        request.
    :param set_store_address: Switches both sources to the store at another address.
    :param close: Closes the connections to the platform.
    """

    configuration: Source
    upstreams: Source
    crashes: Source
    crash_reports: CrashReportStore
    registry: Registry
    directory: Directory
    stream_records: StreamRecordStore
    protocol: UpstreamProtocol
    decode_request: Callable[[str, str, list[tuple[str, str]]], ArrivedRequest]
    set_store_address: Callable[[Address], None]
    close: Callable[[], Awaitable[None]]
    leases: LeaseStore | None = None
    cloud: CloudApi | None = None


@dataclass(kw_only=True)
class InstanceCount:
    """The number of instances of all data centres, as this instance knows it.

    :param sharing: The number of those that send to the same upstreams as this one.
    :param possible: The number of those that may be running, also where this instance
        doesn't reach them.
    :param is_known: Whether the instances were counted; the numbers are guesses before.
    :param wanted: Set when an upstream has named a limit, or a retry is to be made.
    """

    sharing: int = UNKNOWN_COUNT
    possible: int = UNKNOWN_COUNT
    is_known: bool = False
    wanted: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(kw_only=True)
class ForwardingInstance:
    """One running instance.

    :param settings: The settings in force.
    :param last_read_settings: The settings that were read last; some of them
        take effect only at the next start.
    :param settings_error: Why the settings that were read last are invalid;
        empty when they are valid.
    :param stopping: Set when the instance has to stop.
    :param crash_watch: Watches for requests that crash upstreams.
    :param stream_watch: Knows at which software version each stream began.
    :param pace_watch: Shares what is learned about upstreams.
    :param detour_watch: Knows which services this instance reaches, and who helps.
    :param helper_connections: The connections to the instances that help.
    :param instance_count: The number of instances that share the upstreams.
    :param memory: The account of what requests and responses in progress hold.
    :param borrowed: The number of calls of other instances that are in progress.
    :param help_listener: The listener for such calls; ``None`` without one.
    :param lease_watch: Holds or watches the lease on calls to the platform's API;
        ``None`` when nothing calls it.
    :param usage_watch: Counts requests and demand; ``None`` when nothing calls the
        platform's API.
    :param scaling_watch: Orders upstreams; ``None`` where that duty is switched off.
    :param incarnation: Identifies this start of the process.
    :param own_entry: Its entry in the directory; ``None`` before, and without one.
    :param refuses_requests: Whether new requests are refused because the instance
        is stopping.
    """

    settings: ForwarderSettings
    last_read_settings: ForwarderSettings
    state: ForwardState
    observer: ForwardObserver
    dispatcher: Dispatcher
    stopping: asyncio.Event
    crash_watch: CrashWatch
    stream_watch: StreamWatch
    pace_watch: PaceWatch
    detour_watch: DetourWatch
    helper_connections: UpstreamConnections
    instance_count: InstanceCount = field(default_factory=InstanceCount)
    memory: MemoryAccount = field(default_factory=MemoryAccount)
    borrowed: int = 0
    help_listener: Listener | None = None
    lease_watch: LeaseWatch | None = None
    usage_watch: UsageWatch | None = None
    scaling_watch: ScalingWatch | None = None
    incarnation: str = field(default_factory=make_incarnation)
    own_entry: ListedInstance | None = None
    refuses_requests: bool = False
    settings_error: str = ""
    listeners: list[Listener] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)

    def read_configuration_view(self) -> ConfigurationView:
        """Return the configuration in force with its age and the bound on its age."""
        max_age_s = self.settings.max_key_age_s
        return ConfigurationView(
            index=self.state.index,
            age_s=measure_age_s(self.state.freshness, read_boot_clock_s()),
            max_age_s=max_age_s * KEY_AGE_SHARE if max_age_s else float("inf"),
            revision=self.state.configuration_revision,
            source=self.state.configuration_source,
        )

    async def wait_until_loaded(self, wait_s: float) -> None:
        """Wait until the configuration and the list of upstreams have been read.

        :param wait_s: The longest wait, in seconds; the method then returns
            without an error.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self.state.loaded.wait()

    def is_stopping(self) -> bool:
        """Return whether each connection is closed after its next response."""
        return self.stopping.is_set()

    def is_refusing_requests(self) -> bool:
        """Return whether new requests are refused because the instance is stopping."""
        return self.refuses_requests

    def record_refusal(self, request_id, refusal):
        """Count and log a request that was refused before it was dispatched.

        :param request_id: The request's id.
        :param refusal: The refusal, with its reason.
        """
        self.observer.record_refusal(request_id, refusal)
