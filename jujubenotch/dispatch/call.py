"""A caller's request, its response and its progress within an instance."""

import math
from dataclasses import dataclass, field
from typing import Protocol

from jujubenotch.outcomes import FailureReason, Outcome, RefusalReason
from jujubenotch.records import ServiceClass, Team
from jujubenotch.streams import StreamOrigin

Headers = tuple[tuple[str, str], ...]
MAX_ATTEMPTS = 4


@dataclass(frozen=True, kw_only=True)
class ConfigurationBasis:
    """The configuration with which a request was matched, for the log.

    :param version: The version of the configuration.
    :param age_s: Time since it was last known to be the newest, in seconds.
    :param revision: The revision of the store at which it was read.
    :param source: The address of the instance that sent it, or ``store``.
    """

    version: int
    age_s: float
    revision: int
    source: str


def describe_configuration(basis: ConfigurationBasis | None) -> dict[str, object]:
    """Return the fields of a log line that tell the configuration of a request.

    :param basis: The configuration; ``None`` when there is none.
    """
    if basis is None:
        return {}
    return {
        "version": basis.version,
        "version_age_s": round(basis.age_s, 3),
        "version_revision": basis.revision,
        "version_source": basis.source,
    }


@dataclass(frozen=True, kw_only=True)
class Call:
    """A caller's request after validation and classification.

    :param target: The name of the model or plain service.
    :param services: The services to which the route allows the request; empty when
        only the target.
    :param path: The path and query, relative to the upstream's base URL.
    :param arrived_s: The monotonic time of arrival, in seconds.
    :param is_stream: Whether the caller expects a stream of events.
    :param is_idempotent: Whether the request may be sent more than once.
    :param idempotency_key: The caller's idempotency key; empty when there is
        none.
    :param expected_tokens: The estimated length of the response, in tokens.
    :param prefix_key: A key that is equal for requests with the same prompt
        prefix.
    :param prompt_tokens: The length of the prompt, in tokens; 0 when unknown.
    :param prefix_tokens: The tokens that an upstream has cached if it was sent requests
        with the same prefix; 0 when unknown.
    :param shared_parts: The identifiers of the prompt parts that other prompts may
        contain as well.
    :param max_runs: The maximum number of attempts in which an upstream may have
        run the request. A value below ``MAX_ATTEMPTS`` leaves further attempts
        for upstreams that did not start it.
    :param caller_deadline_s: The monotonic time until which the caller waits, in
        seconds.
    :param can_resume_elsewhere: Whether a started stream may be resumed on another
        upstream.
    :param is_cancelled_on_disconnect: Whether the call is cancelled when its caller
        disconnects, even though it is not idempotent.
    :param resume_after_event_id: The id of the event after which the caller asks to
        resume the stream; empty when the caller asks for the complete stream.
    :param resumed_request_id: The id of the request that brought the first event of
        that stream; empty when the caller names none.
    :param origin: Where the stream began that the caller resumes; ``None`` when that is
        still to be found.
    :param is_borrowed: Whether another instance has sent the call, as it reaches no
        upstream; the call is not sent to a further instance.
    :param silence_timeout_s: How long an upstream may send nothing before the call is
        sent to another one, in seconds; with ``None`` it never is for that.
    :param basis: The configuration with which the request was matched; ``None`` when
        that is not known.
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
    services: frozenset[str] = frozenset()
    is_stream: bool = False
    is_idempotent: bool = True
    idempotency_key: str = ""
    expected_tokens: int = 1
    prefix_key: str = ""
    prompt_tokens: int = 0
    prefix_tokens: int = 0
    shared_parts: tuple[str, ...] = ()
    max_runs: int = MAX_ATTEMPTS
    caller_deadline_s: float = math.inf
    can_resume_elsewhere: bool = False
    is_cancelled_on_disconnect: bool = False
    resume_after_event_id: str = ""
    resumed_request_id: str = ""
    origin: StreamOrigin | None = None
    is_borrowed: bool = False
    silence_timeout_s: float | None = None
    basis: ConfigurationBasis | None = None

    @property
    def deadline_s(self) -> float:
        """The monotonic time by which the request must have ended, in seconds."""
        own_deadline_s = self.arrived_s + self.service_class.deadline_s
        return min(own_deadline_s, self.caller_deadline_s)

    @property
    def outlives_caller(self) -> bool:
        """Whether the call continues when its caller disconnects after the send."""
        if self.idempotency_key:
            return True
        return not self.is_idempotent and not self.is_cancelled_on_disconnect


@dataclass(kw_only=True)
class Answer:
    """The response for the caller.

    :param reason: Why the request was refused or has no complete response.
    :param retry_after_s: How long the caller should wait before it retries, in
        seconds; 0 when a retry is not suggested.
    :param is_framed: Whether the response has a length or is chunked. A response
        that is not framed ends when its connection closes.
    :param attempts: How often a call of another instance was sent to an upstream; 0 for
        all other calls.
    :param is_streamed: Whether the response is a stream of events. ``body`` is
        empty when the events were forwarded as they arrived, and holds all events
        of a recorded stream.
    """

    outcome: Outcome
    status: int
    reason: RefusalReason | FailureReason | None = None
    detail: str = ""
    retry_after_s: float = 0.0
    headers: Headers = ()
    body: bytes = b""
    is_framed: bool = True
    attempts: int = 0
    is_streamed: bool = False


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class Sink(Protocol):
    """Receives the events of a stream and sends them to the caller."""

    async def start(
        self, status: int, headers: Headers, *, is_framed: bool = True
    ) -> None:
        """Send the status and headers of the response.

        :param status: The HTTP status.
        :param headers: The upstream's headers.
        :param is_framed: Whether the response has a length or is chunked.
        :raises CallerDisconnectedError: The caller has disconnected.
        """

    async def send(self, events: bytes) -> None:
        """Send complete events.

        :param events: The bytes of the events.
        :raises CallerDisconnectedError: The caller has disconnected.
        """


@dataclass(kw_only=True)
class Progress:
    """The state of a call, accumulated over all its attempts.

    :param unproved_sends: How often the request was sent, or was about to be, without
        proof that it was not run for that.
    :param has_run: Whether an upstream has proved by its response that it ran
        the request.
    :param is_claimed: Whether this call holds the claim of its idempotency key.
    :param must_finish: Whether the call continues when its caller disconnects,
        because it is claimed, or was sent and is not idempotent.
    :param has_begun: Whether the meter has counted the call as begun.
    :param is_stream_started: Whether the status and headers of a stream were
        forwarded to the caller.
    :param stream_status: The status that was forwarded; 0 before.
    :param origin: Where the stream began, which may have been in an earlier request;
        ``None`` before its first event.
    :param last_event_id: The id of the last event that was forwarded.
    :param attempts: The number of attempts made.
    :param runs: The number of attempts that may have run.
    :param failed_upstreams: The names of the upstreams on which attempts failed.
    :param allowed_retry_target: The target whose retry budget was spent for the next
        attempt; empty without one.
    :param retry_target: The target whose retry budget was spent for the present
        attempt; empty once its end is recorded.
    :param recorded_events: The events that were forwarded; filled only for a call
        with an idempotency key.
    """

    unproved_sends: int = 0
    has_run: bool = False
    is_claimed: bool = False
    must_finish: bool = False
    has_begun: bool = False
    is_stream_started: bool = False
    stream_status: int = 0
    origin: StreamOrigin | None = None
    last_event_id: str = ""
    attempts: int = 0
    runs: int = 0
    failed_upstreams: frozenset[str] = frozenset()
    allowed_retry_target: str = ""
    retry_target: str = ""
    recorded_events: list[bytes] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        """Whether nothing proves that the request was not run."""
        return self.unproved_sends > 0


def find_resume_point(call: Call, progress: Progress) -> str:
    """Find the event after which an upstream has to resume a stream.

    :param call: The call.
    :param progress: The call's progress.
    :returns: The event's id; empty when the stream starts from its beginning.
    """
    return progress.last_event_id or call.resume_after_event_id


def find_target(call: Call, progress: Progress) -> str:
    """Find the service that a call goes to: that of its stream, once it has begun.

    :param call: The call.
    :param progress: The call's progress.
    """
    return progress.origin.service if progress.origin else call.target
