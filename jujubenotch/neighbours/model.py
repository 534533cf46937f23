"""Data model of the messages between the instances of one data centre."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from jujubenotch.membership import ListedInstance
from jujubenotch.usage import ProcessReport


class MessageKind(StrEnum):
    """What a message is about."""

    HELLO = "hello"
    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    CRASHES = "crashes"
    OUTAGE = "outage"
    STREAMS = "streams"
    STREAM_QUERY = "stream-query"
    REPORTS = "reports"
    PACES = "paces"


@dataclass(frozen=True, kw_only=True, slots=True)
class MessageItem:
    """One item of a page, with its value as the store holds it."""

    key: str
    content: bytes = b""
    is_removed: bool = False
    revision: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEntry:
    """Where a stream began, by the request that brought its first event."""

    request_id: str
    service: str
    software_version: str


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionEntry:
    """A software version that a service has, or had lately, by the sender's list."""

    service: str
    software_version: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceEntry:
    """What was observed of an upstream.

    :param sums: Sums of observations and of their weights; their order is that of the
        package ``pace``.
    :param load: Running and waiting requests in the newest load report; ``None``
        without a report.
    :param pace: How long work takes on the upstream's machine by that report, as a
        multiple of the usual time; ``None`` without a report.
    :param age_s: The report's age, in seconds.
    """

    service: str
    upstream: str
    sums: tuple[float, ...] = ()
    load: int | None = None
    pace: float | None = None
    age_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Message:
    """A message of an instance to its neighbours.

    The fields from ``era`` to ``items`` describe a page that the sender read; other
    messages have none.

    :param era: The era of the store.
    :param after_revision: The revision after which the page's changes begin.
    :param revision: The newest revision of the store in the page.
    :param changed_revision: The newest revision of the items.
    :param store_time_s: The store's clock when it answered, in seconds.
    :param list_revision: The revision up to which the sender knows the list of
        upstreams.
    :param crash_revision: The revision up to which the sender knows the reports of
        crashed upstreams.
    :param lease_revisions: Revisions of the store that are writes of the lease on calls
        to the platform's API.
    :param follows_outage: Whether the sender's calls before this page failed.
    :param is_complete: Whether ``items`` holds all changes; a page that is too large
        for a message is announced without its items.
    :param streams: The origins of streams that the sender knows.
    :param request_ids: The streams that the sender asks for, or that it doesn't know
        after another instance has asked.
    :param wants_versions: Whether the sender asks for ``versions``.
    :param versions: The software versions of all services that the sender knows;
        ``None`` in other messages, and from earlier releases.
    :param reports: The counts of processes, of which the sender may be one.
    :param paces: What was observed of upstreams.
    :param has_totals: Whether ``paces`` holds what all instances have observed, not the
        sender alone.
    :param short_counts: How many upstreams of each service the sender gives to short
        prompts.
    """

    kind: MessageKind
    era: int = 0
    after_revision: int = 0
    revision: int = 0
    changed_revision: int = 0
    store_time_s: float = 0.0
    list_revision: int = 0
    crash_revision: int = 0
    lease_revisions: tuple[int, ...] = ()
    follows_outage: bool = False
    is_complete: bool = True
    items: tuple[MessageItem, ...] = ()
    streams: tuple[StreamEntry, ...] = ()
    request_ids: tuple[str, ...] = ()
    wants_versions: bool = False
    versions: tuple[VersionEntry, ...] | None = None
    reports: tuple[ProcessReport, ...] = ()
    paces: tuple[PaceEntry, ...] = ()
    has_totals: bool = False
    short_counts: Mapping[str, int] = field(default_factory=dict)


class Registry(Protocol):
    """Makes the instances of a data centre known to each other."""

    async def list_instances(self, data_centre: str) -> tuple[ListedInstance, ...]:
        """Return all registered instances of a data centre.

        :raises SourceError: The store did not return a valid response.
        """

    async def add_instance(
        self, data_centre: str, address: str, incarnation: str
    ) -> None:
        """Register an endpoint.

        :raises SourceError: The store did not confirm the registration.
        """

    async def remove_instance(self, entry: ListedInstance) -> None:
        """Remove an entry, unless its instance has registered again since.

        :raises SourceError: The store did not confirm it.
        """
