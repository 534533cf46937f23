"""Keeps the state of each upstream, and what it has stated beyond its listing."""

from collections import deque
from collections.abc import Iterable

from jujubenotch.forwarding.model import ListedUpstream
from jujubenotch.forwarding.notices import Statements, has_stated
from jujubenotch.forwarding.placement import UpstreamState

# Upstreams that left the list and had stated something, or were still responding.
MAX_RETAINED = 1000


class UpstreamStates:
    """The states of the upstreams of all services, by name.

    >>> UpstreamStates().find("engine-1")
    """

    def __init__(self):
        self._states: dict[str, UpstreamState] = {}
        self._retained: deque[str] = deque()

    def find(self, name: str) -> UpstreamState | None:
        """Return the state of an upstream; ``None`` when it is unknown.

        :param name: The upstream's name.
        """
        return self._states.get(name)

    def add(self, listed: ListedUpstream) -> UpstreamState:
        """Return the state of a listed upstream, and make it if it is unknown.

        A new process with the name of an earlier one has stated nothing.

        :param listed: The upstream's entry in the list.
        """
        state = self._states.get(listed.name)
        if state is None:
            state = UpstreamState(
                name=listed.name, slots=listed.slots, started_ms=listed.started_ms
            )
            self._states[listed.name] = state
        if listed.started_ms > state.started_ms:
            if state.started_ms:
                state.statements = Statements()
            state.started_ms = listed.started_ms
        state.software_version = listed.software_version
        return state

    def forget(self, names: Iterable[str]) -> None:
        """Discard the states of upstreams that are no longer listed.

        The list may name the same process again after an outage of the store or a
        restore, so what a process has stated is kept, and what it may state yet.

        :param names: The upstreams' names.
        """
        for name in names:
            state = self._states.get(name)
            if state is not None and (state.running or has_stated(state.statements)):
                self._retain(name)
            else:
                self._states.pop(name, None)

    def _retain(self, name):
        self._retained.append(name)
        if len(self._retained) > MAX_RETAINED:
            self._states.pop(self._retained.popleft(), None)
