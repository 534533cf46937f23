"""Records as values: their kinds, keys and sources, and what is wrong with them."""

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
    """The kinds of records, by the name of their TOML table."""

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

    :param kind: The record's kind.
    :param name: Its name; a power cap is named after its data centre, a drain
        after its upstream, and the limits are named ``limits``.

    >>> str(RecordKey(kind=RecordKind.TEAM, name="agents"))
    'team/agents'
    """

    kind: RecordKind
    name: str

    def __str__(self):
        return f"{self.kind}/{self.name}"


@dataclass(frozen=True, kw_only=True)
class Source:
    """Where a record was written.

    :param file: The file's name; empty for a record that is in force.
    :param line: Line of the record's table, from 1; 0 when it isn't known.
    """

    file: str = ""
    line: int = 0


@dataclass(frozen=True, kw_only=True)
class Record:
    """One record and where it was written.

    :param body: The record itself.
    :param source: Its file and line.

    >>> str(Record(body=Team(name="agents")).key)
    'team/agents'
    """

    body: RecordBody
    source: Source = field(default_factory=Source, compare=False)

    @property
    def key(self) -> RecordKey:
        """Return the key that identifies the record."""
        return key_of(self.body)


@dataclass(frozen=True, kw_only=True)
class Deletion:
    """Asks for a record to be deleted.

    :param key: The record's key.
    :param source: Where the deletion was written.
    """

    key: RecordKey
    source: Source = field(default_factory=Source, compare=False)


@dataclass(frozen=True, kw_only=True)
class Edit:
    """Records to put and to delete together.

    :param records: The records to put.
    :param deletions: The records to delete.
    """

    records: tuple[Record, ...] = ()
    deletions: tuple[Deletion, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Problem:
    """One thing wrong with records.

    :param file: The file's name; empty for a record that is in force.
    :param line: The line, from 1; 0 when it isn't known.
    :param key: The path of the key, for instance ``team[0].weight``.
    :param value: The value found, shortened; empty when there is none.
    :param message: What is wrong.
    :param remedy: What to do about it.
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
    """A sentinel that stands in place of records that can't be accepted.

    :param problems: Everything found wrong, in the order of the files.
    """

    problems: tuple[Problem, ...]

    def __str__(self):
        return "\n".join(str(problem) for problem in self.problems)


def key_of(body: RecordBody) -> RecordKey:
    """Return the key of a record's body.

    :param body: The record.
    :returns: Its kind and name.
    """
    kind = KIND_BY_BODY_TYPE[type(body)]
    if kind is RecordKind.LIMITS:
        return RecordKey(kind=kind, name=LIMITS_NAME)
    if kind is RecordKind.POWER_CAP:
        return RecordKey(kind=kind, name=body.data_centre)
    if kind is RecordKind.DRAIN:
        return RecordKey(kind=kind, name=body.upstream)
    return RecordKey(kind=kind, name=body.name)
