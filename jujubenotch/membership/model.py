"""The membership state of instances and upstreams, by source of information."""

from dataclasses import dataclass, field

LOST_AFTER_S = 1.5
FORGET_AFTER_S = 60.0
REPORT_VALID_S = 10.0


@dataclass(kw_only=True)
class Member:
    """The state of one other instance, as known to this instance.

    :param host: The host at which the member accepts peer connections.
    :param port: The port at which it accepts them; 0 when unknown.
    :param incarnation: Number that increases with each start of the member; 0
        when unknown.
    :param last_frame_s: When the member's last frame arrived, on this process's
        monotonic clock, in seconds; ``None`` when none has arrived or the
        connection has ended.
    :param last_named_s: When any source last named the member, on the same clock.
    :param is_seed: Whether the settings name the member; a seed is never
        forgotten.
    :param is_listed: Whether the platform's last list contains the member.
    :param is_listed_leaving: Whether that list shows the member as leaving.
    :param says_leaving: Whether the member's present incarnation has said that it
        is leaving.
    :param is_list_stale: Whether the list's leaving state belongs to a previous
        incarnation.

    >>> Member(name="a", data_centre="north", host="10.0.0.1", port=7000).incarnation
    0
    """

    name: str
    data_centre: str
    host: str
    port: int
    incarnation: int = 0
    last_frame_s: float | None = None
    last_named_s: float = 0.0
    is_seed: bool = False
    is_listed: bool = False
    is_listed_leaving: bool = False
    says_leaving: bool = False
    is_list_stale: bool = False

    @property
    def is_leaving(self) -> bool:
        """Whether the member itself or an up-to-date list says that it is leaving."""
        return self.says_leaving or (self.is_listed_leaving and not self.is_list_stale)


@dataclass(kw_only=True)
class UpstreamStatus:
    """The sources that say an upstream is leaving; any one of them is enough.

    :param is_listed_leaving: Whether the platform's last list shows the upstream
        as leaving.
    :param says_leaving: Whether the upstream's last report, read by this instance,
        says that the upstream is leaving.
    :param reported_s: When that report was read, on this process's monotonic clock,
        in seconds.
    :param is_drained: Whether an operator has drained the upstream on this
        instance.
    """

    is_listed_leaving: bool = False
    says_leaving: bool = False
    reported_s: float = 0.0
    is_drained: bool = False


@dataclass(frozen=True, kw_only=True)
class PeerReport:
    """The leaving upstreams that one peer has reported.

    :param leaving_upstreams: All upstreams that the peer itself knows to be
        leaving.
    :param reported_s: When the peer last reported them, on this process's monotonic
        clock, in seconds.
    """

    leaving_upstreams: frozenset[str]
    reported_s: float


@dataclass(kw_only=True)
class Membership:
    """The membership state; ``members`` is changed only by this package's functions.

    :param name: This instance's own name.
    :param data_centre: This instance's data centre.
    :param members: The other instances, by name.
    :param upstreams: The leaving states of upstreams, by the upstream's name.
    :param peer_reports: The last report of each peer on leaving upstreams, by
        the peer's name.
    :param is_leaving: Whether this instance is leaving.
    :param has_listed_instances: Whether the platform's last list contains any instance.

    >>> Membership(name="a", data_centre="north").members
    {}
    """

    name: str
    data_centre: str
    members: dict[str, Member] = field(default_factory=dict)
    upstreams: dict[str, UpstreamStatus] = field(default_factory=dict)
    peer_reports: dict[str, PeerReport] = field(default_factory=dict)
    is_leaving: bool = False
    has_listed_instances: bool = False
