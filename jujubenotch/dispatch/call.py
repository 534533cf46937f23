"""The typed messages of one caller's request on its way through an instance."""

import math
from dataclasses import dataclass, field
from typing import Protocol

from jujubenotch.outcomes import FailureReason, Outcome, RefusalReason
from jujubenotch.records import ServiceClass, Team

Headers = tuple[tuple[str, str], ...]
MAX_ATTEMPTS = 4


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
    :param prompt_tokens: Tokens of the prompt; 0 when unknown.
    :param max_runs: Upstreams that may run it; fewer than ``MAX_ATTEMPTS``
        leaves room for attempts that didn't start.
    :param caller_deadline_s: Until when its caller waits, monotonic, in
        seconds.
    :param may_resume: Whether a started stream may go on at another upstream.
    :param ends_with_caller: Whether it is cancelled when its caller leaves,
        even though it is not idempotent.
    :param resumed_after: The event after which the caller asks a stream to go
        on; empty for a whole one.
    :param silence_timeout_s: How long an upstream may be silent, in seconds;
        ``None`` takes the bound of the connections.
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
    prompt_tokens: int = 0
    max_runs: int = MAX_ATTEMPTS
    caller_deadline_s: float = math.inf
    may_resume: bool = False
    ends_with_caller: bool = False
    resumed_after: str = ""
    silence_timeout_s: float | None = None

    @property
    def deadline_s(self) -> float:
        """When the request must have ended, monotonic, in seconds."""
        own_deadline_s = self.arrived_s + self.service_class.deadline_s
        return min(own_deadline_s, self.caller_deadline_s)

    @property
    def outlives_caller(self) -> bool:
        """Whether it goes on by itself when its caller leaves after the send."""
        if self.idempotency_key:
            return True
        return not self.is_idempotent and not self.ends_with_caller


@dataclass(kw_only=True)
class Answer:
    """What the caller is told.

    :param reason: Why the request was refused or has no whole answer.
    :param retry_after_s: When to come back, in seconds; 0 where it makes no
        sense.
    :param is_framed: Whether it tells its own end; one that doesn't ends with
        its connection.
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
    is_framed: bool = True
    is_streamed: bool = False


class CallerGoneError(Exception):
    """The caller's connection has ended."""


class Sink(Protocol):
    """Where the events of a stream go."""

    async def start(
        self, status: int, headers: Headers, *, is_framed: bool = True
    ) -> None:
        """Send the head of the answer.

        :param status: The HTTP status.
        :param headers: The upstream's headers.
        :param is_framed: Whether the answer can tell its own end.
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
    :param attempts: How often it was sent.
    :param runs: How many of these may have run.
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
    runs: int = 0
    failed_upstreams: frozenset[str] = frozenset()
    recorded: list[bytes] = field(default_factory=list)


def find_resume_point(call: Call, progress: Progress) -> str:
    """Find the event after which a stream is to go on.

    :param call: The call.
    :param progress: Its progress.
    :returns: The event's id; empty when the stream begins.
    """
    return progress.last_event_id or call.resumed_after
