"""The typed messages of one caller's request on its way through an instance."""

from dataclasses import dataclass, field
from typing import Protocol

from jujubenotch.outcomes import FailureReason, Outcome, RefusalReason
from jujubenotch.records import ServiceClass, Team

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True)
class Call:
    """A caller's request, checked and classified.

    :param target: The model or plain service.
    :param path: The path and query below the upstream's base address.
    :param arrived_s: When it arrived, monotonic, in seconds.
    :param is_stream: Whether the answer is a stream of events.
    :param is_idempotent: Whether it may be repeated.
    :param idempotency_key: The caller's key; empty without one.
    :param expected_tokens: Estimated length of the answer, in tokens.
    :param prefix_key: Equal for requests with the same prompt prefix.
    """

    request_id: str
    target: str
    team: Team
    service_class: ServiceClass
    method: str
    path: str
    headers: Headers
    body: bytes
    arrived_s: float
    is_stream: bool = False
    is_idempotent: bool = True
    idempotency_key: str = ""
    expected_tokens: int = 1
    prefix_key: str = ""

    @property
    def deadline_s(self) -> float:
        """When the request must have ended, monotonic, in seconds."""
        return self.arrived_s + self.service_class.deadline_s


@dataclass(kw_only=True)
class Answer:
    """What the caller is told.

    :param reason: Why the request was refused or has no whole answer.
    :param retry_after_s: When to come back, in seconds; 0 where it makes no
        sense.
    :param is_streamed: The head and events were forwarded already, and
        ``body`` holds the last event only.
    """

    outcome: Outcome
    status: int
    reason: RefusalReason | FailureReason | None = None
    detail: str = ""
    retry_after_s: float = 0.0
    headers: Headers = ()
    body: bytes = b""
    is_streamed: bool = False


class CallerGoneError(Exception):
    """The caller's connection has ended."""


class Sink(Protocol):
    """Where the events of a stream go."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer.

        :raises CallerGoneError: The caller has left.
        """

    async def send(self, events: bytes) -> None:
        """Send whole events.

        :raises CallerGoneError: The caller has left.
        """


@dataclass(kw_only=True)
class Progress:
    """What has happened to a call so far, over all its attempts.

    :param may_have_run: Something was sent that isn't proved not started.
    :param has_run: An upstream answered, so that it ran.
    :param is_claimed: Its key's claim is this call's.
    :param is_bound: It is claimed, or sent and not idempotent, and goes on when
        its caller leaves.
    :param is_started: The head of a stream was forwarded to the caller.
    :param last_event_id: The id of the last event that was forwarded.
    :param failed_upstreams: The upstreams that attempts failed on.
    :param recorded: The events forwarded, kept only for a keyed call.
    """

    may_have_run: bool = False
    has_run: bool = False
    is_claimed: bool = False
    is_bound: bool = False
    is_started: bool = False
    last_event_id: str = ""
    attempts: int = 0
    failed_upstreams: frozenset[str] = frozenset()
    recorded: list[bytes] = field(default_factory=list)
