"""Records with their kinds, keys and sources, and validation problems."""

from dataclasses import dataclass, field
from enum import StrEnum

from jujubenotch.records.model import (
    Application,
    Binding,
    Drain,
    Limits,
    PowerCap,
    Route,
    ServiceClass,
    Team,
    Upstream,
)

LIMITS_NAME = "limits"

RecordBody = (
    ServiceClass
    | Team
    | Application
    | Binding
    | Upstream
    | Route
    | PowerCap
    | Drain
    | Limits
)


class RecordKind(StrEnum):
    """Kinds of records; each value is the name of the TOML table."""

    CLASS = "class"
    TEAM = "team"
    APPLICATION = "application"
    BINDING = "binding"
    UPSTREAM = "upstream"
    ROUTE = "route"
    POWER_CAP = "power_cap"
    DRAIN = "drain"
    LIMITS = "limits"


KIND_BY_BODY_TYPE = {
    ServiceClass: RecordKind.CLASS,
    Team: RecordKind.TEAM,
    Application: RecordKind.APPLICATION,
    Binding: RecordKind.BINDING,
    Upstream: RecordKind.UPSTREAM,
    Route: RecordKind.ROUTE,
    PowerCap: RecordKind.POWER_CAP,
    Drain: RecordKind.DRAIN,
    Limits: RecordKind.LIMITS,
}


@dataclass(frozen=True, kw_only=True, order=True, slots=True)
class RecordKey:
    """Identifies a record.

    :param kind: The kind of the record.
    :param name: The name of the record: for a power cap the data centre, for a
        drain the upstream, and for the limits always ``limits``.

    >>> str(RecordKey(kind=RecordKind.TEAM, name="agents"))
    'team/agents'
    """

    kind: RecordKind
    name: str

    def __str__(self):
        return f"{self.kind}/{self.name}"


@dataclass(frozen=True, kw_only=True)
class Source:
    """The place in a file where a record is defined.

    :param file: The name of the file; empty for a record that is in force.
    :param line: The line of the record's table, from 1; 0 if unknown.
    """

    file: str = ""
    line: int = 0


@dataclass(frozen=True, kw_only=True)
class Record:
    """A record and the place where it is defined.

    :param body: The content of the record.
    :param source: The file and line that define the record.

    >>> str(Record(body=Team(name="agents")).key)
    'team/agents'
    """

    body: RecordBody
    source: Source = field(default_factory=Source, compare=False)

    @property
    def key(self) -> RecordKey:
        """Return the key that identifies the record."""
        return get_record_key(self.body)


@dataclass(frozen=True, kw_only=True)
class Deletion:
    """A request to delete a record.

    :param key: The key of the record.
    :param source: The file and line that request the deletion.
    """

    key: RecordKey
    source: Source = field(default_factory=Source, compare=False)


@dataclass(frozen=True, kw_only=True)
class RecordEdit:
    """A set of records to put and to delete in one change.

    :param records: The records to add or replace.
    :param deletions: The records to delete.
    """

    records: tuple[Record, ...] = ()
    deletions: tuple[Deletion, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Problem:
    """A validation problem in a record or a file.

    :param file: The name of the file; empty for a record that is in force.
    :param line: The line, from 1; 0 if unknown.
    :param key: The path of the invalid key, for instance ``team[0].weight``.
    :param value: The invalid value, truncated; empty if there is none.
    :param message: A description of the problem.
    :param remedy: The action that resolves the problem.
    """

    file: str = ""
    line: int = 0
    key: str = ""
    value: str = ""
    message: str
    remedy: str

    def __str__(self):
        place = self.file or "records in force"
        if self.line:
            place = f"{place}:{self.line}"
        subject = self.key
        if self.value:
            subject = f"{subject} = {self.value}" if subject else self.value
        parts = [place, subject, f"{self.message}; {self.remedy}"]
        return ": ".join(part for part in parts if part)


@dataclass(frozen=True, kw_only=True)
class InvalidRecords:
    """The result of parsing or editing if records fail validation.

    :param problems: All problems found, in the order of the files.
    """

    problems: tuple[Problem, ...]

    def __str__(self):
        return "\n".join(str(problem) for problem in self.problems)


def get_record_key(body: RecordBody) -> RecordKey:
    """Return the key of a record.

    :param body: The content of the record.
    :returns: The kind and name of the record.
    """
    kind = KIND_BY_BODY_TYPE[type(body)]
    if kind is RecordKind.LIMITS:
        return RecordKey(kind=kind, name=LIMITS_NAME)
    if kind is RecordKind.POWER_CAP:
        return RecordKey(kind=kind, name=body.data_centre)
    if kind is RecordKind.DRAIN:
        return RecordKey(kind=kind, name=body.upstream)
    return RecordKey(kind=kind, name=body.name)
