"""The JSON documents that the operator API receives and returns."""

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

MAX_FILES = 200
MAX_REVISION = 10**18

ChangeId = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}\z")]
Revision = Annotated[int, Field(ge=0, le=MAX_REVISION)]


class RequestDocument(BaseModel):
    """A request document: rejects unknown keys and values of another type."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class ResponseDocument(BaseModel):
    """A response document: a client that parses it ignores unknown keys."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class FileDocument(RequestDocument):
    """One file of records.

    :param name: The file name that is shown with each problem.
    :param text: TOML of any supported schema version.
    """

    name: Annotated[str, Field(min_length=1, max_length=1000)]
    text: str


class ApplyRequest(RequestDocument):
    """Requests a change of the records.

    :param change_id: The operator's id of the change; a repeated request with
        the same id gets the result of the first.
    :param dry_run: Whether to report what would change without changing it.
    :param base_revision: The global revision that the files were edited from.
    :param expected_revisions: The revisions that single records were edited from,
        by ``kind/name``.
    """

    change_id: ChangeId
    files: Annotated[list[FileDocument], Field(min_length=1, max_length=MAX_FILES)]
    dry_run: bool = False
    base_revision: Revision | None = None
    expected_revisions: dict[str, Revision] = {}


class DrainRequest(RequestDocument):
    """Requests the start or the end of the drain of an upstream.

    A drained upstream receives no new requests.

    :param is_draining: Whether to drain; ``False`` ends the drain.
    :param change_id: The operator's id of the change; if empty, the instance
        generates one.
    """

    is_draining: bool = True
    change_id: ChangeId | Literal[""] = ""


class ErrorDocument(ResponseDocument):
    """The reason why a request was refused.

    :param retry_after_s: The time after which to retry, in seconds; 0 if a retry
        would not help.
    """

    reason: str
    detail: str
    retry_after_s: float = 0.0


class ProblemDocument(ResponseDocument):
    """One problem with the records that were sent.

    :param text: The whole problem as one line.
    """

    file: str
    line: int
    key: str
    value: str
    message: str
    remedy: str
    text: str


class DifferenceDocument(ResponseDocument):
    """The difference between a record in force and the record that was sent.

    :param revision: The global revision of the record's last change.
    :param expected_revision: In a conflict, the revision that the operator edited
        the record from.
    :param in_force: The record in force; ``None`` if there is none.
    :param wanted: The record that was sent; ``None`` asks for its deletion.
    """

    kind: str
    name: str
    revision: int
    expected_revision: int | None = None
    in_force: dict[str, Any] | None
    wanted: dict[str, Any] | None


class ApplyResponse(ResponseDocument):
    """The result of a change.

    :param revision: The global revision that the change created, or the one in
        force if nothing was changed.
    :param is_repeated: Whether an earlier request with the same id had already
        made the change.
    :param differences: For a preview, the records that would change; for a
        conflict, the records that another operator has changed.
    """

    result: Literal[
        "accepted", "unchanged", "preview", "conflict", "invalid", "refused"
    ]
    change_id: str
    revision: int
    is_repeated: bool = False
    reason: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    differences: list[DifferenceDocument] = []
    problems: list[ProblemDocument] = []


class RecordDocument(ResponseDocument):
    """One record in force.

    :param revision: The global revision of the record's last change.
    """

    kind: str
    name: str
    revision: int
    body: dict[str, Any]


class RecordsDocument(ResponseDocument):
    """Records in force.

    :param revision: The global revision at which they were read.
    """

    revision: int
    records: list[RecordDocument]


class StatusDocument(ResponseDocument):
    """The state of one instance.

    :param release: The version of the program.
    :param revision: The global revision of the records in force.
    :param platform_age_s: The time since the platform last answered, in seconds;
        ``None`` if it never did.
    :param queued_by_tier: The number of requests that wait for a slot, by tier.
    """

    instance: str
    data_centre: str
    incarnation: str
    release: str
    revision: int
    is_ready: bool
    is_stopping: bool
    uptime_s: float
    platform_age_s: float | None = None
    requests_in_progress: int = 0
    queued_by_tier: dict[str, int] = {}
    peers_connected: int = 0
    invariant_violations: dict[str, int] = {}


class UpstreamDocument(ResponseDocument):
    """An upstream as one instance sees it.

    :param health: ``in-service``, ``ejected``, or ``unknown`` if the queried
        instance does not coordinate the upstream.
    :param home: The instance that grants the upstream's slots.
    :param load_age_s: The age of the upstream's last load report, in seconds;
        ``None`` if there is none.
    """

    name: str
    kind: str
    data_centre: str
    models: list[str]
    slots: int
    slots_in_use: int = 0
    health: str = "unknown"
    is_leaving: bool = False
    home: str = ""
    load_age_s: float | None = None


class UpstreamsDocument(ResponseDocument):
    """The upstreams as one instance sees them."""

    upstreams: list[UpstreamDocument]


class InstanceDocument(ResponseDocument):
    """An instance as the queried instance sees it.

    :param revision: The revision that the instance last reported; ``None`` if
        unknown.
    :param heard_age_s: The time since the last message from the instance, in
        seconds; ``None`` if there was none.
    """

    name: str
    data_centre: str
    peer_address: str = ""
    is_self: bool = False
    is_connected: bool = False
    is_leaving: bool = False
    revision: int | None = None
    heard_age_s: float | None = None


class InstancesDocument(ResponseDocument):
    """The instances that are known to one instance."""

    instances: list[InstanceDocument]


class TraceEventDocument(ResponseDocument):
    """One event in the trace of a request.

    :param after_s: The time since the first event of the request, in seconds.
    """

    after_s: float
    event: str
    fields: dict[str, str | int | float | bool | None] = {}


class TraceDocument(ResponseDocument):
    """The events of one request, oldest first.

    :param dropped_events: The number of older events that are no longer kept.
    """

    request_id: str
    events: list[TraceEventDocument]
    dropped_events: int = 0


class DrainResponse(ResponseDocument):
    """The result of a drain request.

    :param is_draining: Whether the upstream receives no new requests.
    :param is_lasting: Whether the records have this state. If they could not be
        changed, the state is kept only in the memory of the queried instance, which
        announces it to its peers.
    :param revision: The global revision of the records in force.
    :param detail: Why the records could not be changed; empty if they could.
    """

    upstream: str
    is_draining: bool
    is_lasting: bool = True
    revision: int = 0
    detail: str = ""


class PreviewRequest(RequestDocument):
    """A request whose way is to be explained; it is not sent.

    :param method: The HTTP method.
    :param target: The path with the query string.
    :param headers: The headers that the request would have, ``Host`` among them.
    """

    method: Annotated[str, Field(min_length=1, max_length=20)]
    target: Annotated[str, Field(pattern=r"^/", max_length=8000)]
    headers: dict[str, str] = {}


class PreviewCandidate(ResponseDocument):
    """One upstream of the request's service.

    :param excluded_by: What excludes it; empty when it could get the request.
    :param held_s: For how long it is held, in seconds; ``None`` when no end is known.
    """

    name: str
    data_centre: str
    software_version: str
    slots: int
    load: float
    report_age_s: float | None
    excluded_by: str
    held_s: float | None


class PreviewResponse(ResponseDocument):
    """Where a request would go now, and why.

    :param upstream: The upstream that would get it; empty when it would be refused.
    :param reason: Why it would be refused; empty when it would be sent.
    :param basis: The figures that the choice is based on.
    :param configuration_age_s: Time since the configuration was confirmed.
    """

    upstream: str = ""
    reason: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    route: str = ""
    service: str = ""
    team: str = ""
    tier: int | None = None
    basis: dict[str, float] = {}
    configuration_version: int
    configuration_age_s: float
    candidates: tuple[PreviewCandidate, ...] = ()
