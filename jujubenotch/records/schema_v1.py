"""Schema version 1: durations in whole milliseconds, priorities as names.

The table of a team may also name the class that the whole team is bound to.
"""

from typing import Annotated, Literal

from pydantic import Field

from jujubenotch.records.model import Binding, ServiceClass, Team
from jujubenotch.records.schema import (
    MAX_DURATION_S,
    Count,
    Name,
    SharedDocument,
    StrictModel,
    Weight,
)

TIER_BY_PRIORITY = {"urgent": 0, "high": 1, "normal": 2, "bulk": 3}
MILLISECONDS_PER_SECOND = 1000

DurationMs = Annotated[
    int, Field(ge=1, le=int(MAX_DURATION_S) * MILLISECONDS_PER_SECOND)
]


class ClassModel(StrictModel):
    """The table ``[[class]]``."""

    name: Name
    priority: Literal["urgent", "high", "normal", "bulk"]
    first_token_target_ms: DurationMs
    between_tokens_target_ms: DurationMs = 32
    deadline_ms: DurationMs = 60_000
    max_wait_ms: DurationMs = 30_000
    idempotent: bool = True

    def convert(self) -> list[ServiceClass]:
        """Convert the table to a class, with durations in seconds."""
        service_class = ServiceClass(
            name=self.name,
            tier=TIER_BY_PRIORITY[self.priority],
            first_token_target_s=_to_seconds(self.first_token_target_ms),
            between_tokens_target_s=_to_seconds(self.between_tokens_target_ms),
            deadline_s=_to_seconds(self.deadline_ms),
            max_wait_s=_to_seconds(self.max_wait_ms),
            idempotent=self.idempotent,
        )
        return [service_class]


class TeamModel(StrictModel):
    """The table ``[[team]]``, optionally with the class of the whole team."""

    name: Name
    weight: Weight = 1.0
    max_in_progress: Count = 0
    service_class: Name | None = Field(default=None, alias="class")

    def convert(self) -> list[Team | Binding]:
        """Convert the table to a team and, if it names a class, a binding.

        The binding has the same name as the team.
        """
        team = Team(
            name=self.name, weight=self.weight, max_in_progress=self.max_in_progress
        )
        if self.service_class is None:
            return [team]
        binding = Binding(
            name=self.name, team=self.name, service_class=self.service_class
        )
        return [team, binding]


class Document(SharedDocument):
    """A file of schema version 1."""

    schema_version: Literal[1]
    classes: list[ClassModel] = Field(default=[], alias="class")
    team: list[TeamModel] = []


def _to_seconds(duration_ms):
    return duration_ms / MILLISECONDS_PER_SECOND
