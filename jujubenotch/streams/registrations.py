"""Registers each software version that may begin resumable streams.

A registration is written when a version is first listed and stays until the version has
been gone for as long as its streams may be resumed. The registrations therefore name
each version that may have begun a stream, also those that no running instance has seen.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from jujubenotch.streams.history import VersionHistory, find_recent_versions


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionRegistration:
    """A version of a service that was listed.

    :param era: The era of the store in which it was registered.
    :param registered_s: The store's time at that moment, in whole seconds.
    """

    service: str
    software_version: str
    era: int
    registered_s: int


@dataclass(kw_only=True)
class RegistrationBook:
    """The registrations that an instance knows.

    :param known: Those that it has read or written.
    :param is_overdue: Whether a version could not be registered yet, so that origins
        have to be told to other instances meanwhile.

    >>> RegistrationBook().is_overdue
    False
    """

    known: set[VersionRegistration] = field(default_factory=set)
    is_overdue: bool = False


def find_unregistered(
    known: Iterable[VersionRegistration], listed: Iterable[tuple[str, str]], *, era: int
) -> list[tuple[str, str]]:
    """Find the versions without a registration in the present era.

    A restore of the store may have undone the registrations of earlier eras.

    :param known: The known registrations.
    :param listed: The service and the software version of each listed upstream.
    :param era: The era of the store.
    :returns: Services and versions, each once.
    """
    registered = {
        (each.service, each.software_version) for each in known if each.era == era
    }
    return sorted(set(listed) - registered)


def find_obsolete(
    known: Iterable[VersionRegistration],
    history: VersionHistory,
    *,
    span_s: float,
    now_s: float,
) -> list[VersionRegistration]:
    """Find the registrations of versions that have left long ago.

    :param known: The known registrations.
    :param history: The versions that this instance has seen, for the whole span.
    :param span_s: For how long a version that has left may still matter, in seconds.
    :param now_s: The present time, in seconds.
    """
    services = {each.service for each in known}
    recent = {
        service: find_recent_versions(history, service, window_s=span_s, now_s=now_s)
        for service in services
    }
    return [each for each in known if each.software_version not in recent[each.service]]


def is_other_registered(
    registrations: Iterable[VersionRegistration], service: str, version: str
) -> bool:
    """Return whether a further version of a service is registered, in any era.

    :param registrations: The registrations of all services.
    :param service: The service.
    :param version: The version.
    """
    return any(
        each.service == service and each.software_version != version
        for each in registrations
    )


def covers_window(
    registrations: Collection[VersionRegistration],
    service: str,
    version: str,
    *,
    era: int,
    store_s: float,
    span_s: float,
) -> bool:
    """Return whether each version that may have begun a stream is registered.

    In the first era that holds since the store began. After a restore, which may have
    undone registrations, it holds once one has stood for the whole span.

    :param registrations: The registrations of all services.
    :param service: The service.
    :param version: The only version that is listed.
    :param era: The era of the store.
    :param store_s: A lower bound on the store's time, in seconds.
    :param span_s: For how long a version that has left may still matter, in seconds.
    """
    registered_s = [
        each.registered_s
        for each in registrations
        if (each.service, each.software_version, each.era) == (service, version, era)
    ]
    if not registered_s:
        return False
    return era == 0 or store_s - min(registered_s) >= span_s
