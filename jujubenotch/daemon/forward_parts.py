"""The parts of an instance that forwards by host and path."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from jujubenotch.daemon.forward_observer import ForwardObserver
from jujubenotch.daemon.forward_state import KEY_AGE_SHARE, ForwardState
from jujubenotch.dispatch import Dispatcher, UpstreamProtocol
from jujubenotch.forwarding import (
    ArrivedRequest,
    Knowledge,
    Source,
    measure_age_s,
    read_suspended_clock_s,
)
from jujubenotch.listeners import Listener
from jujubenotch.settings import Address, ForwarderSettings


@dataclass(frozen=True, kw_only=True)
class ForwarderParts:
    """What differs between the platforms that an instance runs on.

    :param configuration: Where the configuration comes from.
    :param upstreams: Where the list of upstreams comes from.
    :param protocol: What upstreams speak.
    :param decode_request: Decodes the head of a caller's request.
    :param move_store: Makes the sources read from a store at another address.
    :param close: Ends the connections to the platform.
    """

    configuration: Source
    upstreams: Source
    protocol: UpstreamProtocol
    decode_request: Callable[[str, str, list[tuple[str, str]]], ArrivedRequest]
    move_store: Callable[[Address], None]
    close: Callable[[], Awaitable[None]]


@dataclass(kw_only=True)
class ForwardingInstance:
    """One running instance.

    :param settings: The settings in force.
    :param last_read: Those that were read last; some of them take effect at
        the next start only.
    :param rejected_settings: Why what was read last was rejected; empty when it
        holds.
    :param stopping: Set when the instance is to end.
    :param closed: Whether nothing new is taken any more.
    """

    settings: ForwarderSettings
    last_read: ForwarderSettings
    state: ForwardState
    observer: ForwardObserver
    dispatcher: Dispatcher
    stopping: asyncio.Event
    closed: bool = False
    rejected_settings: str = ""
    listeners: list[Listener] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)

    def read_knowledge(self) -> Knowledge:
        """Return what is known now."""
        max_age_s = self.settings.max_key_age_s
        return Knowledge(
            index=self.state.index,
            age_s=measure_age_s(self.state.freshness, read_suspended_clock_s()),
            max_age_s=max_age_s * KEY_AGE_SHARE if max_age_s else float("inf"),
        )

    async def wait_until_known(self, wait_s: float) -> None:
        """Wait until enough is known to serve.

        :param wait_s: How long at most, in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self.state.known.wait()

    def is_stopping(self) -> bool:
        """Tell whether answers end their connection."""
        return self.stopping.is_set()

    def is_closed(self) -> bool:
        """Tell whether nothing new is taken any more."""
        return self.closed

    def record_refusal(self, request_id, refusal):
        """Count and log a request that was refused before its dispatch.

        :param request_id: The request.
        :param refusal: Why.
        """
        self.observer.record_refusal(request_id, refusal)
