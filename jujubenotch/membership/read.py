"""Queries on the membership state of instances and upstreams."""

from collections import defaultdict

from jujubenotch.membership.model import (
    FORGET_AFTER_S,
    LOST_AFTER_S,
    REPORT_VALID_S,
    Member,
    Membership,
)
from jujubenotch.membership.rendezvous import choose_by_rendezvous

LINKS_TO_OTHER_DATA_CENTRE = 2


def is_live(member: Member, now_s: float) -> bool:
    """Return whether a frame of a member has arrived recently.

    :param member: The member.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether the member counts as live.
    """
    return (
        member.last_frame_s is not None and now_s - member.last_frame_s < LOST_AFTER_S
    )


def list_live_instances(membership: Membership, now_s: float) -> list[str]:
    """List the live instances of this data centre that aren't leaving.

    :param membership: The membership state.
    :param now_s: The present monotonic time, in seconds.
    :returns: The instances' names; this instance's own name is included unless
        this instance is leaving.
    """
    names = [
        member.name
        for member in membership.members.values()
        if member.data_centre == membership.data_centre
        and not member.is_leaving
        and is_live(member, now_s)
    ]
    return names if membership.is_leaving else [membership.name, *names]


def list_possibly_serving(membership: Membership, now_s: float) -> list[str]:
    """List the instances of this data centre that may be serving requests.

    An instance that sends no frames may still run on the other side of a network
    partition and use its share of the capacity. It therefore counts until the
    platform's list drops it. When the list contains no instances, it counts until
    a fixed time after any source last named it.

    :param membership: The membership state.
    :param now_s: The present monotonic time, in seconds.
    :returns: The instances' names, including this instance's own name.
    """
    names = [
        member.name
        for member in membership.members.values()
        if member.data_centre == membership.data_centre
        and not member.is_leaving
        and now_s - member.last_named_s < FORGET_AFTER_S
        and (
            member.is_listed
            or member.last_frame_s is not None
            or not membership.has_listed_instances
        )
    ]
    return [membership.name, *names]


def choose_session_peers(membership: Membership) -> list[str]:
    """Choose the instances that this instance keeps a session with.

    These are all instances of this data centre and a few of each other data
    centre, so that the number of sessions doesn't grow with the square of the
    number of all instances.

    :param membership: The membership state.
    :returns: The instances' names.
    """
    by_data_centre = defaultdict(list)
    for member in membership.members.values():
        if member.port and not (member.is_leaving and member.last_frame_s is None):
            by_data_centre[member.data_centre].append(member.name)
    chosen = by_data_centre.pop(membership.data_centre, [])
    for names in by_data_centre.values():
        chosen += choose_by_rendezvous(
            membership.name, names, LINKS_TO_OTHER_DATA_CENTRE
        )
    return chosen


def find_leaving_upstreams(membership: Membership, now_s: float) -> set[str]:
    """Find the upstreams that any source says are leaving.

    :param membership: The membership state.
    :param now_s: The present monotonic time, in seconds.
    :returns: The upstreams' names.
    """
    leaving = set(list_own_leaving_reports(membership, now_s))
    leaving.update(
        name
        for name, status in membership.upstreams.items()
        if status.is_listed_leaving
    )
    for report in membership.peer_reports.values():
        if now_s - report.reported_s < REPORT_VALID_S:
            leaving |= report.leaving_upstreams
    return leaving


def list_own_leaving_reports(membership: Membership, now_s: float) -> list[str]:
    """List the leaving upstreams that this instance reports to its peers.

    The list contains only what an upstream itself or an operator told this
    instance. Information from peers or from the platform's list is left out;
    otherwise instances would keep repeating it to each other after its source has
    withdrawn it.

    :param membership: The membership state.
    :param now_s: The present monotonic time, in seconds.
    :returns: The upstreams' names.
    """
    return [
        name
        for name, status in membership.upstreams.items()
        if status.is_drained
        or (status.says_leaving and now_s - status.reported_s < REPORT_VALID_S)
    ]
