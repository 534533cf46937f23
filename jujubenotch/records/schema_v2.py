"""Schema version 2: durations in seconds, tiers as numbers."""

from typing import Literal

from pydantic import Field

from jujubenotch.records.model import ServiceClass, Team
from jujubenotch.records.schema import (
    Count,
    DurationS,
    Name,
    SharedDocument,
    StrictModel,
    Weight,
)


class ClassModel(StrictModel):
    """The table ``[[class]]``."""

    name: Name
    tier: int = Field(ge=0, le=3)
    first_token_target_s: DurationS
    between_tokens_target_s: DurationS = 0.032
    deadline_s: DurationS = 60.0
    max_wait_s: DurationS = 30.0
    idempotent: bool = True

    def convert(self) -> list[ServiceClass]:
        """Convert the table to a class."""
        return [ServiceClass(**self.model_dump())]


class TeamModel(StrictModel):
    """The table ``[[team]]``."""

    name: Name
    weight: Weight = 1.0
    max_in_progress: Count = 0

    def convert(self) -> list[Team]:
        """Convert the table to a team."""
        return [Team(**self.model_dump())]


class Document(SharedDocument):
    """A file of schema version 2."""

    schema_version: Literal[2]
    classes: list[ClassModel] = Field(default=[], alias="class")
    team: list[TeamModel] = []
