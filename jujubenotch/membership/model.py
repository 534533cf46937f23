"""What is known of instances and upstreams, and from whom."""

from dataclasses import dataclass, field

LOST_AFTER_S = 1.5
FORGET_AFTER_S = 60.0
NEWS_VALID_S = 10.0


@dataclass(kw_only=True)
class Member:
    """One instance, as known here.

    :param incarnation: Grows with each start of the instance; 0 when unknown.
    :param heard_s: When it was last heard first-hand, on this process's
        monotonic clock; ``None`` when it never was or its connection ended.
    :param known_s: When any source last named it, same clock.
    :param is_seed: Whether the settings name it; it is never forgotten.
    :param is_listed: Whether the platform's last list shows it.
    :param is_listed_leaving: Whether that list shows it as leaving.
    :param says_leaving: Whether its present incarnation says so itself.
    :param is_list_stale: Whether what the list says of leaving is about a
        former incarnation.

    >>> Member(name="a", data_centre="north", host="10.0.0.1", port=7000).incarnation
    0
    """

    name: str
    data_centre: str
    host: str
    port: int
    incarnation: int = 0
    heard_s: float | None = None
    known_s: float = 0.0
    is_seed: bool = False
    is_listed: bool = False
    is_listed_leaving: bool = False
    says_leaving: bool = False
    is_list_stale: bool = False

    @property
    def is_leaving(self) -> bool:
        """Tell whether any source that counts says that it is leaving."""
        return self.says_leaving or (self.is_listed_leaving and not self.is_list_stale)


@dataclass(kw_only=True)
class UpstreamNews:
    """Who says that an upstream is leaving; one voice is enough.

    :param is_listed_leaving: The platform's last list says so.
    :param says_leaving: Its own last report, read by this instance, says so.
    :param said_s: When that was read, on this process's monotonic clock.
    :param is_drained: An operator told this instance so.
    """

    is_listed_leaving: bool = False
    says_leaving: bool = False
    said_s: float = 0.0
    is_drained: bool = False


@dataclass(frozen=True, kw_only=True)
class PeerNews:
    """What one peer saw first-hand.

    :param leaving_upstreams: All upstreams that it knows to be leaving.
    :param told_s: When it last said so, on this process's monotonic clock.
    """

    leaving_upstreams: frozenset[str]
    told_s: float


@dataclass(kw_only=True)
class Membership:
    """All that is known of members, changed only by this package's functions.

    :param name: This instance's own name.
    :param data_centre: Its data centre.
    :param members: The other instances, by name.
    :param upstreams: What was heard of upstreams, by name.
    :param leaving_by_peer: What each peer saw leaving first-hand.
    :param is_leaving: Whether this instance is leaving.
    :param has_list: Whether the platform's last list shows any instance.

    >>> Membership(name="a", data_centre="north").members
    {}
    """

    name: str
    data_centre: str
    members: dict[str, Member] = field(default_factory=dict)
    upstreams: dict[str, UpstreamNews] = field(default_factory=dict)
    leaving_by_peer: dict[str, PeerNews] = field(default_factory=dict)
    is_leaving: bool = False
    has_list: bool = False
