"""Models of the tables that are the same in all schema versions."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from jujubenotch.records.model import (
    Application,
    Binding,
    Drain,
    Limits,
    PowerCap,
    Route,
    Upstream,
    UpstreamKind,
)
from jujubenotch.records.record import RecordKey, RecordKind

MAX_NAME_CHARACTERS = 100
MAX_TARGET_CHARACTERS = 200
MAX_DURATION_S = 86_400.0
MAX_COUNT = 1_000_000
MAX_WATTS = 1e9
MAX_WEIGHT = 1e6

Name = Annotated[
    str,
    Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*\z", max_length=MAX_NAME_CHARACTERS),
]
Target = Annotated[
    str,
    Field(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/@+-]*\z", max_length=MAX_TARGET_CHARACTERS
    ),
]
OptionalName = Annotated[
    str,
    Field(pattern=r"^([A-Za-z0-9][A-Za-z0-9._-]*)?\z", max_length=MAX_NAME_CHARACTERS),
]
OptionalTarget = Annotated[
    str,
    Field(
        pattern=r"^([A-Za-z0-9][A-Za-z0-9._:/@+-]*)?\z",
        max_length=MAX_TARGET_CHARACTERS,
    ),
]
Url = Annotated[
    str, Field(pattern=r"^https?://[A-Za-z0-9.:\[\]-]+:[0-9]{1,5}\z", max_length=200)
]
KeyDigest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}\z")]
Method = Annotated[str, Field(pattern=r"^(\*|[A-Z]{1,20})\z")]
PathPrefix = Annotated[str, Field(max_length=1000)]
DurationS = Annotated[float, Field(gt=0, le=MAX_DURATION_S)]
Count = Annotated[int, Field(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, Field(ge=1, le=MAX_COUNT)]
Weight = Annotated[float, Field(gt=0, le=MAX_WEIGHT)]


class StrictModel(BaseModel):
    """Base of the tables of a file; rejects unknown keys and converts no types."""

    model_config = ConfigDict(
        extra="forbid", strict=True, allow_inf_nan=False, frozen=True
    )


class ApplicationModel(StrictModel):
    """The table ``[[application]]``."""

    name: Name
    team: Name
    key_sha256: KeyDigest

    def convert(self) -> list[Application]:
        """Convert the table to an application."""
        return [Application(**self.model_dump())]


class BindingModel(StrictModel):
    """The table ``[[binding]]``."""

    name: Name
    team: Name
    service_class: Name = Field(alias="class")
    application: OptionalName = ""
    target: OptionalTarget = ""

    def convert(self) -> list[Binding]:
        """Convert the table to a binding."""
        return [Binding(**self.model_dump())]


class UpstreamModel(StrictModel):
    """The table ``[[upstream]]``."""

    name: Name
    kind: Literal["model", "service"]
    data_centre: Name
    url: Url
    models: list[Target] = Field(min_length=1)
    slots: PositiveCount
    watts_per_slot: float = Field(default=0.0, ge=0, le=MAX_WATTS)
    checks_fencing: bool = False
    resumes_streams: bool = False

    def convert(self) -> list[Upstream]:
        """Convert the table to an upstream."""
        fields = self.model_dump()
        fields["kind"] = UpstreamKind(self.kind)
        fields["models"] = tuple(self.models)
        return [Upstream(**fields)]


class RouteModel(StrictModel):
    """The table ``[[route]]``."""

    name: Name
    service: Name
    method: Method = "*"
    path_prefix: PathPrefix = ""
    idempotent: bool = True

    def convert(self) -> list[Route]:
        """Convert the table to a route."""
        return [Route(**self.model_dump())]


class PowerCapModel(StrictModel):
    """The table ``[[power_cap]]``."""

    data_centre: Name
    watts: float = Field(gt=0, le=MAX_WATTS)

    def convert(self) -> list[PowerCap]:
        """Convert the table to a power cap."""
        return [PowerCap(**self.model_dump())]


class DrainModel(StrictModel):
    """The table ``[[drain]]``."""

    upstream: Name

    def convert(self) -> list[Drain]:
        """Convert the table to a drain."""
        return [Drain(**self.model_dump())]


class LimitsModel(StrictModel):
    """The table ``[limits]``."""

    queue_requests: PositiveCount = 2000
    retry_budget_ratio: float = Field(default=0.1, ge=0, le=1)
    retry_budget_min: Count = 10

    def convert(self) -> list[Limits]:
        """Convert the table to limits."""
        return [Limits(**self.model_dump())]


class DeletionModel(StrictModel):
    """The table ``[[delete]]``."""

    kind: Literal[
        "class",
        "team",
        "application",
        "binding",
        "upstream",
        "route",
        "power_cap",
        "drain",
        "limits",
    ]
    name: Name

    def convert(self) -> RecordKey:
        """Convert the table to the key of the record to delete."""
        return RecordKey(kind=RecordKind(self.kind), name=self.name)


class SharedDocument(StrictModel):
    """Base of a file: the tables that are the same in all schema versions."""

    application: list[ApplicationModel] = []
    binding: list[BindingModel] = []
    upstream: list[UpstreamModel] = []
    route: list[RouteModel] = []
    power_cap: list[PowerCapModel] = []
    drain: list[DrainModel] = []
    limits: LimitsModel | None = None
    delete: list[DeletionModel] = []
