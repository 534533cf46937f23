"""Updates of the membership state of instances and upstreams."""

from collections.abc import Iterable

from jujubenotch.membership.model import (
    FORGET_AFTER_S,
    Member,
    Membership,
    PeerReport,
    UpstreamStatus,
)
from jujubenotch.membership.read import is_live
from jujubenotch.settings import Seed
from jujubenotch.tables import InstanceListEntry


def record_seeds(membership: Membership, seeds: Iterable[Seed], now_s: float) -> None:
    """Add the peers that the settings name.

    :param membership: The membership state; changed in place.
    :param seeds: The seeds; this instance's own entry is ignored.
    :param now_s: The present monotonic time, in seconds.
    """
    for seed in seeds:
        if seed.name == membership.name:
            continue
        member = _ensure_member(
            membership, seed.name, seed.data_centre, seed.host, seed.port, now_s
        )
        member.is_seed = True


def apply_platform_list(
    membership: Membership, listed: Iterable[InstanceListEntry], now_s: float
) -> None:
    """Apply the platform's list, which may be out of date.

    :param membership: The membership state; changed in place.
    :param listed: The whole list.
    :param now_s: The present monotonic time, in seconds.
    """
    for member in membership.members.values():
        member.is_listed = False
    for status in membership.upstreams.values():
        status.is_listed_leaving = False
    entries = tuple(listed)
    membership.has_listed_instances = any(entry.kind != "upstream" for entry in entries)
    for entry in entries:
        if entry.kind == "upstream":
            _ensure_status(membership, entry.name).is_listed_leaving = entry.is_leaving
        elif entry.name != membership.name and entry.peer_address:
            _record_listed_instance(membership, entry, now_s)


def record_incarnation(
    membership: Membership,
    *,
    name: str,
    data_centre: str,
    incarnation: int,
    now_s: float,
    host: str = "",
    port: int = 0,
) -> bool:
    """Record the incarnation with which a peer has identified itself.

    :param membership: The membership state; changed in place.
    :param name: The peer's name.
    :param data_centre: The peer's data centre.
    :param incarnation: Number that increases with each start of the peer.
    :param now_s: The present monotonic time, in seconds.
    :param host: The host at which the peer accepts peer connections; empty when
        unknown.
    :param port: The port at which it accepts them; 0 when unknown.
    :returns: ``False`` when a later incarnation of the peer is live, so that this
        one is a remainder of an earlier start.
    """
    member = _ensure_member(membership, name, data_centre, host, port, now_s)
    if incarnation < member.incarnation and is_live(member, now_s):
        return False
    if member.incarnation not in (0, incarnation):
        member.says_leaving = False
        member.is_list_stale = member.is_listed_leaving
    member.incarnation = incarnation
    member.last_frame_s = now_s
    return True


def record_frame(
    membership: Membership,
    name: str,
    *,
    now_s: float,
    is_leaving: bool | None = None,
    leaving_upstreams: Iterable[str] | None = None,
) -> None:
    """Record the arrival of a frame from a peer.

    :param membership: The membership state; changed in place.
    :param name: The peer's name; an unknown one is ignored.
    :param now_s: The present monotonic time, in seconds.
    :param is_leaving: Whether the peer says that it is leaving; ``None`` when the
        frame doesn't state it.
    :param leaving_upstreams: All upstreams that the peer itself knows to be
        leaving; ``None`` when the frame doesn't state them.
    """
    member = membership.members.get(name)
    if member is None:
        return
    member.last_frame_s = now_s
    member.last_named_s = now_s
    if is_leaving is not None:
        # An incarnation that has started to leave can't take this back.
        member.says_leaving = member.says_leaving or is_leaving
    if leaving_upstreams is not None:
        membership.peer_reports[name] = PeerReport(
            leaving_upstreams=frozenset(leaving_upstreams), reported_s=now_s
        )


def record_disconnect(membership: Membership, name: str) -> None:
    """Record that the connection with a peer has ended.

    :param membership: The membership state; changed in place.
    :param name: The peer's name; an unknown one is ignored.
    """
    member = membership.members.get(name)
    if member is not None:
        member.last_frame_s = None


def record_upstream_report(
    membership: Membership, upstream: str, *, is_leaving: bool, now_s: float
) -> None:
    """Record an upstream's own report, which this instance has read.

    :param membership: The membership state; changed in place.
    :param upstream: The upstream's name.
    :param is_leaving: Whether the upstream reports that it is leaving.
    :param now_s: The present monotonic time, in seconds.
    """
    status = _ensure_status(membership, upstream)
    status.says_leaving = is_leaving
    status.reported_s = now_s


def drain_upstream(
    membership: Membership, upstream: str, *, is_drained: bool = True
) -> None:
    """Record that an operator has drained an upstream.

    :param membership: The membership state; changed in place.
    :param upstream: The upstream's name.
    :param is_drained: ``False`` when the operator has ended the drain.
    """
    _ensure_status(membership, upstream).is_drained = is_drained


def drop_expired_members(membership: Membership, now_s: float) -> None:
    """Drop the instances that no source has named for a fixed time.

    Seeds are kept.

    :param membership: The membership state; changed in place.
    :param now_s: The present monotonic time, in seconds.
    """
    for name, member in tuple(membership.members.items()):
        if member.is_seed or now_s - member.last_named_s < FORGET_AFTER_S:
            continue
        del membership.members[name]
        membership.peer_reports.pop(name, None)


def _record_listed_instance(membership, entry, now_s):
    host, _, port = entry.peer_address.rpartition(":")
    if not port.isdecimal():
        return
    member = _ensure_member(
        membership, entry.name, entry.data_centre, host.strip("[]"), int(port), now_s
    )
    member.is_listed = True
    member.is_listed_leaving = entry.is_leaving
    if not entry.is_leaving:
        member.is_list_stale = False


def _ensure_member(membership, name, data_centre, host, port, now_s):
    member = membership.members.get(name)
    if member is None:
        member = Member(name=name, data_centre=data_centre, host=host, port=port)
        membership.members[name] = member
    if host and port:
        member.host = host
        member.port = port
    member.last_named_s = now_s
    return member


def _ensure_status(membership, upstream):
    return membership.upstreams.setdefault(upstream, UpstreamStatus())
