"""Decides whether all streams of a service began at one software version."""

from dataclasses import dataclass
from enum import StrEnum

from jujubenotch.streams.history import (
    VersionHistory,
    find_recent_versions,
    has_seen_window,
)
from jujubenotch.streams.records import (
    LISTING_DELAY_S,
    VersionRecord,
    choose_record_span_s,
    is_record_recent,
)
from jujubenotch.streams.registrations import (
    VersionRegistration,
    covers_window,
    is_other_registered,
)


class VersionBasis(StrEnum):
    """Why a version is certain, or is not."""

    HISTORY = "history"
    RECORDS = "records"
    REGISTRATIONS = "registrations"
    FIRST_LISTING = "first-listing"
    SEVERAL_VERSIONS = "several-versions"
    OTHER_RECORDED = "other-recorded"
    UPSTREAMS_TOO_YOUNG = "upstreams-too-young"
    RECORDS_UNKNOWN = "records-unknown"
    LIST_TOO_OLD = "list-too-old"


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionEvidence:
    """What an instance that has seen too little knows from the store.

    :param records: The records of all services.
    :param registrations: The registrations of all services.
    :param is_registering_complete: Whether all listed instances are of releases that
        register versions.
    :param era: The era of the store.
    :param store_s: A lower bound on the store's time, in seconds.
    :param oldest_start_age_s: How long ago the oldest listed upstream of the service
        started, in seconds; negative infinity when unknown.
    :param is_first_listing: Whether no upstream has left the list since the store
        began.
    """

    records: tuple[VersionRecord, ...]
    era: int
    store_s: float
    oldest_start_age_s: float
    registrations: tuple[VersionRegistration, ...] = ()
    is_registering_complete: bool = False
    is_first_listing: bool = False


def judge_version(
    history: VersionHistory,
    service: str,
    evidence: VersionEvidence | None,
    *,
    window_s: float,
    now_s: float,
) -> tuple[str | None, VersionBasis]:
    """Find the version of all streams of a service that may still be resumed.

    An instance that has seen the list for the whole window needs no evidence. Another
    one trusts the only listed version in three cases. One of its upstreams was listed
    for the whole window: any other version in that time was listed beside it, and so
    was recorded. Or it alone is registered. Or no upstream ever left the list: then
    there was no other version.

    :param history: The versions that this instance has seen.
    :param service: The service.
    :param evidence: What the store tells; ``None`` when that is unknown.
    :param window_s: For how long a version that has left may still matter, in seconds.
    :param now_s: The present time, in seconds.
    :returns: The version, ``None`` when it is not certain, and why.
    """
    recent = find_recent_versions(history, service, window_s=window_s, now_s=now_s)
    if len(recent) != 1:
        return None, VersionBasis.SEVERAL_VERSIONS
    (version,) = recent
    if has_seen_window(history, window_s=window_s, now_s=now_s):
        return version, VersionBasis.HISTORY
    if evidence is None:
        return None, VersionBasis.RECORDS_UNKNOWN
    if _is_other_recorded(evidence, service, version, window_s):
        return None, VersionBasis.OTHER_RECORDED
    if is_other_registered(evidence.registrations, service, version):
        return None, VersionBasis.OTHER_RECORDED
    if evidence.oldest_start_age_s >= window_s + LISTING_DELAY_S:
        return version, VersionBasis.RECORDS
    if _is_only_registered(evidence, service, version, window_s):
        return version, VersionBasis.REGISTRATIONS
    if evidence.is_first_listing:
        return version, VersionBasis.FIRST_LISTING
    return None, VersionBasis.UPSTREAMS_TOO_YOUNG


def _is_other_recorded(evidence, service, version, window_s):
    return any(
        record.service == service
        and record.software_version != version
        and is_record_recent(
            record, era=evidence.era, store_s=evidence.store_s, window_s=window_s
        )
        for record in evidence.records
    )


def _is_only_registered(evidence, service, version, window_s):
    """Return whether the registrations name each version of the window."""
    if not evidence.is_registering_complete:
        return False
    return covers_window(
        evidence.registrations,
        service,
        version,
        era=evidence.era,
        store_s=evidence.store_s,
        span_s=choose_record_span_s(window_s),
    )
