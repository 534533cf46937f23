"""The components of one running instance."""

import asyncio
from dataclasses import dataclass, field

from jujubenotch.capacity import CoordinatedCapacity
from jujubenotch.claims import CallClaims
from jujubenotch.daemon.configuration import ConfigurationFollower
from jujubenotch.daemon.observer import CallObserver
from jujubenotch.dispatch import Dispatcher
from jujubenotch.listeners import Listener
from jujubenotch.settings import Settings
from jujubenotch.upstreams import UpstreamConnections


@dataclass(kw_only=True)
class Instance:
    """All components of one running instance.

    :param settings_path: The path of the settings file.
    :param incarnation: A number that grows with each start and distinguishes a
        restarted instance from the previous process of the same name.
    :param started_s: When the instance started, on the monotonic clock, in
        seconds.
    :param records_reloads: The number of reloads of the embedded records, including
        failed ones.
    :param tasks: The tasks that run until the instance ends.
    :param stopping: Set when the instance has to refuse new requests and stop.

    >>> instance = await start_instance(settings, "a1.toml", asyncio.Event())
    >>> instance.stopping.set()
    >>> await stop_instance(instance)
    """

    settings: Settings
    settings_path: str
    incarnation: int
    observer: CallObserver
    follower: ConfigurationFollower
    connections: UpstreamConnections
    capacity: CoordinatedCapacity
    claims: CallClaims
    dispatcher: Dispatcher
    operator_key_digests: tuple[str, ...]
    started_s: float
    stopping: asyncio.Event
    records_reloads: int = 0
    listeners: list[Listener] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The instance's name."""
        return self.settings.instance.name

    @property
    def is_ready(self) -> bool:
        """Whether the instance accepts new requests."""
        return self.follower.is_known and not self.stopping.is_set()
