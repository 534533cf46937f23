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


def has_many_versions(
    history: VersionHistory, service: str, *, window_s: float, now_s: float
) -> bool:
    """Return whether a service had upstreams of several versions within a time.

    :param history: The history.
    :param service: The service.
    :param window_s: The time before the present, in seconds.
    :param now_s: The present time, in seconds.
    """
    return len(_find_recent(history, service, window_s, now_s)) > 1


def find_sole_version(
    history: VersionHistory,
    service: str,
    *,
    window_s: float,
    now_s: float,
    newest_start_age_s: float,
) -> str | None:
    """Find the version of all upstreams that a service has had within a time.

    An instance that has just started has seen too little. If no upstream has started
    lately, none has been replaced lately either.

    :param history: The history.
    :param service: The service.
    :param window_s: The time before the present, in seconds.
    :param now_s: The present time, in seconds.
    :param newest_start_age_s: How long ago the youngest listed upstream of the service
        started, in seconds.
    :returns: The version; ``None`` when there may have been several.
    """
    recent = _find_recent(history, service, window_s, now_s)
    if len(recent) != 1 or history.began_s is None:
        return None
    has_seen_all = now_s - history.began_s >= window_s
    if not has_seen_all and newest_start_age_s < window_s:
        return None
    return next(iter(recent))


def _find_recent(history, service, window_s, now_s):
    recent = set(history.listed.get(service, ()))
    for (left_service, version), left_s in history.left_s.items():
        if left_service == service and now_s - left_s < window_s:
            recent.add(version)
    return recent
