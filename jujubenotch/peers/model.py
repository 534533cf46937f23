"""The messages that two instances exchange on a session, as typed objects.

All times are on the monotonic clock of the process that holds the object.
"""

from dataclasses import dataclass, field

from jujubenotch.admission import PoolSummary, WorkReport, WorkRequest
from jujubenotch.outcomes import Refusal


@dataclass(frozen=True, kw_only=True)
class Hello:
    """Identifies the sender; part of the first frame in each direction.

    :param incarnation: A number that increases with each start of the instance.
    :param host: The host on which the instance listens for peers; empty if
        unknown.
    :param port: The port on which the instance listens for peers.
    """

    name: str
    data_centre: str
    incarnation: int
    host: str = ""
    port: int = 0


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """The state that an instance sends to each peer every 0.5 s.

    :param revision: The revision of the configuration in force at the sender.
    :param is_leaving: Whether the sender is shutting down.
    :param pools: The state of slot pools, by group: those that the sender is
        the coordinator of and, for a receiver in another data centre, also those that
        the sender's peers have reported.
    :param leaving_upstreams: The upstreams that have themselves reported to the
        sender that they are leaving, and those that an operator has drained at
        the sender.
    """

    revision: int = 0
    is_leaving: bool = False
    pools: dict[str, PoolSummary] = field(default_factory=dict)
    leaving_upstreams: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class SlotRequest:
    """A request for a slot on one upstream of a group.

    :param number: The number that the requester chose for this request; unique
        within an incarnation of the requester.
    :param group: The group of upstreams.
    :param request: The request that the slot is for.
    """

    number: int
    group: str
    request: WorkRequest


@dataclass(frozen=True, kw_only=True)
class HeldSlot:
    """A slot that the requester still uses.

    :param number: The number of the slot request.
    :param request: The request that the slot was granted for.
    :param started_s: When the slot was granted, in seconds on this process's
        monotonic clock.
    """

    number: int
    group: str
    upstream: str
    request: WorkRequest
    started_s: float


@dataclass(frozen=True, kw_only=True)
class SlotRelease:
    """The release of a slot, with a report on the work done in it."""

    number: int
    report: WorkReport


@dataclass(frozen=True, kw_only=True)
class SlotGrant:
    """The grant of a slot on an upstream to the request with this number."""

    number: int
    upstream: str


@dataclass(frozen=True, kw_only=True)
class SlotRefusal:
    """The refusal of the slot request with this number."""

    number: int
    refusal: Refusal


@dataclass(kw_only=True)
class RequesterFrame:
    """Messages from a requester.

    The coordinator applies them in the order of the fields.

    :param sent_ms: The sender's monotonic clock when the frame was sent, in
        milliseconds.
    :param echoed_ms: The latest ``sent_ms`` that the sender had received from
        the receiver when it added the first message to the frame; ``None``
        while the frame is empty.
    :param withdrawn: The numbers of slot requests that are withdrawn.
    :param left_groups: The groups for which the requester no longer uses this
        coordinator.
    :param attachments: For each group, the complete list of the slots that the
        requester holds; the list may be empty.

    >>> RequesterFrame(withdrawn=[7]).requests
    []
    """

    sent_ms: int = 0
    echoed_ms: int | None = None
    hello: Hello | None = None
    heartbeat: Heartbeat | None = None
    withdrawn: list[int] = field(default_factory=list)
    releases: list[SlotRelease] = field(default_factory=list)
    left_groups: list[str] = field(default_factory=list)
    attachments: dict[str, list[HeldSlot]] = field(default_factory=dict)
    requests: list[SlotRequest] = field(default_factory=list)


@dataclass(kw_only=True)
class CoordinatorFrame:
    """Messages from a coordinator.

    The requester applies them in the order of the fields.

    :param sent_ms: The sender's monotonic clock when the frame was sent, in
        milliseconds.
    :param echoed_ms: The latest ``sent_ms`` that the sender had received from
        the receiver when it added the first message to the frame; ``None``
        while the frame is empty.
    :param queued: The numbers of slot requests that the coordinator has received and
        queued.
    :param not_coordinator: The groups that the requester addressed to the sender
        although the sender is not their coordinator.

    >>> CoordinatorFrame(queued=[7]).grants
    []
    """

    sent_ms: int = 0
    echoed_ms: int | None = None
    hello: Hello | None = None
    heartbeat: Heartbeat | None = None
    queued: list[int] = field(default_factory=list)
    not_coordinator: list[str] = field(default_factory=list)
    grants: list[SlotGrant] = field(default_factory=list)
    refusals: list[SlotRefusal] = field(default_factory=list)
