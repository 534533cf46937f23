"""Tells whether a service has had upstreams of several software versions lately."""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Bounds the versions that have left; a service has a few at a time.
MAX_LEFT = 1000


@dataclass(kw_only=True)
class VersionHistory:
    """The software versions that an instance has seen in the list of upstreams.

    :param began_s: When the list was first seen, in seconds; ``None`` before.
    :param listed: The versions listed at present, by service.
    :param left_s: When each other version was last listed, in seconds, by service and
        version.

    >>> has_many_versions(VersionHistory(), "drafting", window_s=20.0, now_s=0.0)
    False
    """

    began_s: float | None = None
    listed: dict[str, set[str]] = field(default_factory=dict)
    left_s: dict[tuple[str, str], float] = field(default_factory=dict)


def record_versions(
    history: VersionHistory, listed: Iterable[tuple[str, str]], *, now_s: float
) -> None:
    """Record the versions in the list of upstreams.

    :param history: The history; changed in place.
    :param listed: The service and the software version of each listed upstream.
    :param now_s: The present time, in seconds.
    """
    if history.began_s is None:
        history.began_s = now_s
    versions = {}
    for service, version in listed:
        versions.setdefault(service, set()).add(version)
    for service, known in history.listed.items():
        for version in known - versions.get(service, set()):
            history.left_s.pop((service, version), None)
            history.left_s[service, version] = now_s
    history.listed = versions
    while len(history.left_s) > MAX_LEFT:
        del history.left_s[next(iter(history.left_s))]


def note_versions(
    history: VersionHistory, seen: Iterable[tuple[str, str]], *, now_s: float
) -> bool:
    """Add versions that are or were listed lately, but not in this instance's list.

    An instance that has missed one may have missed others, so what it has seen of the
    list begins anew.

    :param history: The history; changed in place.
    :param seen: Services and software versions.
    :param now_s: The present time, in seconds.
    :returns: Whether one of them was missed.
    """
    unlisted = [
        (service, version)
        for service, version in seen
        if version not in history.listed.get(service, ())
    ]
    has_missed = any(key not in history.left_s for key in unlisted)
    for key in unlisted:
        history.left_s.pop(key, None)
        history.left_s[key] = now_s
    if has_missed:
        history.began_s = now_s
    return has_missed


def has_many_versions(
    history: VersionHistory, service: str, *, window_s: float, now_s: float
) -> bool:
    """Return whether a service had upstreams of several versions within a time.

    :param history: The history.
    :param service: The service.
    :param window_s: The time before the present, in seconds.
    :param now_s: The present time, in seconds.
    """
    recent = find_recent_versions(history, service, window_s=window_s, now_s=now_s)
    return len(recent) > 1


def has_seen_window(history: VersionHistory, *, window_s: float, now_s: float) -> bool:
    """Return whether an instance has seen the list for a whole time.

    :param history: The history.
    :param window_s: The time before the present, in seconds.
    :param now_s: The present time, in seconds.
    """
    return history.began_s is not None and now_s - history.began_s >= window_s


def find_recent_versions(
    history: VersionHistory, service: str, *, window_s: float, now_s: float
) -> dict[str, float]:
    """Find the versions that a service had within a time.

    :param history: The history.
    :param service: The service.
    :param window_s: The time before the present, in seconds.
    :param now_s: The present time, in seconds.
    :returns: For how long each version has left the list, in seconds; 0 while it is
        listed.
    """
    recent = dict.fromkeys(history.listed.get(service, ()), 0.0)
    for (left_service, version), left_s in history.left_s.items():
        if left_service == service and now_s - left_s < window_s:
            recent.setdefault(version, now_s - left_s)
    return recent
