"""The documents that operators send and are answered with, as JSON."""

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

MAX_FILES = 200
MAX_REVISION = 10**18

ChangeId = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}\z")]
Revision = Annotated[int, Field(ge=0, le=MAX_REVISION)]


class RequestDocument(BaseModel):
    """What an operator sends: no unknown keys, no conversion between types."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class AnswerDocument(BaseModel):
    """What an operator is answered with; a client passes over unknown keys."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class FileDocument(RequestDocument):
    """One file of records.

    :param name: The name that its problems are told under.
    :param text: TOML of either schema version.
    """

    name: Annotated[str, Field(min_length=1, max_length=1000)]
    text: str


class ApplyDocument(RequestDocument):
    """Asks for a change of the records.

    :param change_id: The operator's own id of the change; a repeat with the
        same id is answered from the first.
    :param dry_run: Whether only to tell what would change.
    :param base_revision: The global revision that the files were edited from.
    :param expected_revisions: Revisions of single records, by ``kind/name``.
    """

    change_id: ChangeId
    files: Annotated[list[FileDocument], Field(min_length=1, max_length=MAX_FILES)]
    dry_run: bool = False
    base_revision: Revision | None = None
    expected_revisions: dict[str, Revision] = {}


class DrainRequest(RequestDocument):
    """Asks that an upstream gets no new work, or gets it again.

    :param is_draining: False takes a drain back.
    :param change_id: The operator's own id of the change; empty draws one.
    """

    is_draining: bool = True
    change_id: ChangeId | Literal[""] = ""


class ErrorDocument(AnswerDocument):
    """Why a request was refused.

    :param retry_after_s: When to come back, in seconds; 0 if it won't help.
    """

    reason: str
    detail: str
    retry_after_s: float = 0.0


class ProblemDocument(AnswerDocument):
    """One thing wrong with the records that were sent.

    :param text: All of it as one line.
    """

    file: str
    line: int
    key: str
    value: str
    message: str
    remedy: str
    text: str


class DifferenceDocument(AnswerDocument):
    """One record as it is and as the operator wants it.

    :param revision: The revision of its last change.
    :param expected_revision: What the operator edited from; for a conflict.
    """

    kind: str
    name: str
    revision: int
    expected_revision: int | None = None
    in_force: dict[str, Any] | None
    wanted: dict[str, Any] | None


class ApplyAnswer(AnswerDocument):
    """What became of a change.

    :param revision: The global revision that it made, or that is in force.
    :param is_repeated: Whether an earlier request with its id had made it.
    :param differences: For a preview what would change, for a conflict both
        sides.
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


class RecordDocument(AnswerDocument):
    """One record in force.

    :param revision: The global revision of its last change.
    """

    kind: str
    name: str
    revision: int
    body: dict[str, Any]


class RecordsDocument(AnswerDocument):
    """Records in force at one revision."""

    revision: int
    records: list[RecordDocument]


class StatusDocument(AnswerDocument):
    """The state of one instance.

    :param release: The program's version.
    :param revision: The revision of the records in force.
    :param platform_age_s: Since the platform last answered, in seconds; ``None``
        when it never did.
    :param queued_by_tier: Requests that wait for a slot.
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


class UpstreamDocument(AnswerDocument):
    """An upstream as one instance sees it.

    :param health: A word, for instance ``up`` or ``down``.
    :param home: The instance that grants its slots.
    :param load_age_s: Age of its last load report, in seconds; ``None``
        without one.
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


class UpstreamsDocument(AnswerDocument):
    """All upstreams."""

    upstreams: list[UpstreamDocument]


class InstanceDocument(AnswerDocument):
    """An instance as another one sees it.

    :param revision: The revision that it last told; ``None`` when unknown.
    :param heard_age_s: Since it was last heard, in seconds; ``None`` if never.
    """

    name: str
    data_centre: str
    peer_address: str = ""
    is_self: bool = False
    is_connected: bool = False
    is_leaving: bool = False
    revision: int | None = None
    heard_age_s: float | None = None


class InstancesDocument(AnswerDocument):
    """All instances known to one."""

    instances: list[InstanceDocument]


class TraceEventDocument(AnswerDocument):
    """One event in the life of a request, in seconds after its first."""

    after_s: float
    event: str
    fields: dict[str, str | int | float | bool | None] = {}


class TraceDocument(AnswerDocument):
    """The events of one request, oldest first."""

    request_id: str
    events: list[TraceEventDocument]
    dropped_events: int = 0


class DrainDocument(AnswerDocument):
    """An upstream that gets no new work, or gets it again.

    :param is_lasting: Whether the records say so; else only the instance that
        was asked remembers it, and tells its peers.
    :param revision: The revision of the records in force.
    """

    upstream: str
    is_draining: bool
    is_lasting: bool = True
    revision: int = 0
    detail: str = ""
