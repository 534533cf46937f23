"""The typed messages between two instances; times are on the reader's own clock."""

from dataclasses import dataclass, field

from jujubenotch.admission import PoolSummary, WorkReport, WorkRequest
from jujubenotch.outcomes import Refusal


@dataclass(frozen=True, kw_only=True)
class Hello:
    """Who speaks.

    :param incarnation: Grows with each start of the instance.
    :param host: Where it listens for peers; empty when unknown.
    :param port: The port there.
    """

    name: str
    data_centre: str
    incarnation: int
    host: str = ""
    port: int = 0


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """What an instance tells each peer every half a second.

    :param revision: The configuration in force there.
    :param is_leaving: Whether it is stopping.
    :param pools: The pools that it is home of, by group.
    :param leaving_upstreams: All that it saw leaving first-hand.
    """

    revision: int = 0
    is_leaving: bool = False
    pools: dict[str, PoolSummary] = field(default_factory=dict)
    leaving_upstreams: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class SlotRequest:
    """A request for a slot of a group.

    :param number: Chosen by the requester, used once in an incarnation.
    """

    number: int
    group: str
    request: WorkRequest


@dataclass(frozen=True, kw_only=True)
class HeldSlot:
    """A slot that its holder still uses.

    :param request: What it was granted for.
    :param started_s: When it was granted, on the reader's monotonic clock.
    """

    number: int
    group: str
    upstream: str
    request: WorkRequest
    started_s: float


@dataclass(frozen=True, kw_only=True)
class SlotRelease:
    """A slot given back, with what was seen of the work."""

    number: int
    report: WorkReport


@dataclass(frozen=True, kw_only=True)
class SlotGrant:
    """A slot given to a request."""

    number: int
    upstream: str


@dataclass(frozen=True, kw_only=True)
class SlotRefusal:
    """A request that gets no slot."""

    number: int
    refusal: Refusal


@dataclass(kw_only=True)
class RequesterFrame:
    """Messages of a requester, applied in the order of the fields.

    :param sent_ms: The sender's clock when it was sent, in milliseconds.
    :param echoed_ms: The receiver's own stamp that the sender saw last before
        it wrote the frame's first message.
    :param left_groups: Groups that it gets slots of elsewhere now.
    :param attachments: For each group, all slots that it holds; may be none.

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
class HomeFrame:
    """Messages of a home, applied in the order of the fields.

    :param sent_ms: The sender's clock when it was sent, in milliseconds.
    :param echoed_ms: The receiver's own stamp that the sender saw last before
        it wrote the frame's first message.
    :param queued: Numbers of requests that reached it.
    :param not_home: Groups that it isn't home of, though it was asked to be.

    >>> HomeFrame(queued=[7]).grants
    []
    """

    sent_ms: int = 0
    echoed_ms: int | None = None
    hello: Hello | None = None
    heartbeat: Heartbeat | None = None
    queued: list[int] = field(default_factory=list)
    not_home: list[str] = field(default_factory=list)
    grants: list[SlotGrant] = field(default_factory=list)
    refusals: list[SlotRefusal] = field(default_factory=list)
