"""Answers questions on instances and upstreams."""

from collections import defaultdict

from jujubenotch.membership.model import (
    FORGET_AFTER_S,
    LOST_AFTER_S,
    NEWS_VALID_S,
    Member,
    Membership,
)
from jujubenotch.membership.rendezvous import choose_by_rendezvous

LINKS_TO_OTHER_DATA_CENTRE = 2


def is_live(member: Member, now_s: float) -> bool:
    """Tell whether a member was heard lately.

    :param member: The member.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether it was.
    """
    return member.heard_s is not None and now_s - member.heard_s < LOST_AFTER_S


def list_live(membership: Membership, now_s: float) -> list[str]:
    """List the live instances of the own data centre that aren't leaving.

    :param membership: What is known.
    :param now_s: The present monotonic time, in seconds.
    :returns: Their names, with this instance's own unless it is leaving.
    """
    names = [
        member.name
        for member in membership.members.values()
        if member.data_centre == membership.data_centre
        and not member.is_leaving
        and is_live(member, now_s)
    ]
    return names if membership.is_leaving else [membership.name, *names]


def list_known(membership: Membership, now_s: float) -> list[str]:
    """List the instances of the own data centre that may take work.

    One that can't be heard may still run behind a cut and use its share, so it
    counts until the platform's list drops it, or, without a list, for a while
    since any source named it.

    :param membership: What is known.
    :param now_s: The present monotonic time, in seconds.
    :returns: Their names, with this instance's own.
    """
    names = [
        member.name
        for member in membership.members.values()
        if member.data_centre == membership.data_centre
        and not member.is_leaving
        and now_s - member.known_s < FORGET_AFTER_S
        and (member.is_listed or member.heard_s is not None or not membership.has_list)
    ]
    return [membership.name, *names]


def choose_links(membership: Membership) -> list[str]:
    """Choose the instances to keep a session to.

    All of the own data centre, and a few of each other one, so that links
    don't grow with the square of all instances.

    :param membership: What is known.
    :returns: Their names.
    """
    by_data_centre = defaultdict(list)
    for member in membership.members.values():
        if member.port and not (member.is_leaving and member.heard_s is None):
            by_data_centre[member.data_centre].append(member.name)
    chosen = by_data_centre.pop(membership.data_centre, [])
    for names in by_data_centre.values():
        chosen += choose_by_rendezvous(
            membership.name, names, LINKS_TO_OTHER_DATA_CENTRE
        )
    return chosen


def find_leaving_upstreams(membership: Membership, now_s: float) -> set[str]:
    """Find the upstreams that any source says are leaving.

    :param membership: What is known.
    :param now_s: The present monotonic time, in seconds.
    :returns: Their names.
    """
    leaving = set(list_first_hand_leaving(membership, now_s))
    leaving.update(
        name for name, news in membership.upstreams.items() if news.is_listed_leaving
    )
    for news in membership.leaving_by_peer.values():
        if now_s - news.told_s < NEWS_VALID_S:
            leaving |= news.leaving_upstreams
    return leaving


def list_first_hand_leaving(membership: Membership, now_s: float) -> list[str]:
    """List what this instance itself knows to be leaving, to tell its peers.

    What peers or the list told is left out, so that news can't echo after its
    source has taken it back.

    :param membership: What is known.
    :param now_s: The present monotonic time, in seconds.
    :returns: Names of upstreams.
    """
    return [
        name
        for name, news in membership.upstreams.items()
        if news.is_drained or (news.says_leaving and now_s - news.said_s < NEWS_VALID_S)
    ]
