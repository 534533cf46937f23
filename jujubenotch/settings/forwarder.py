"""The settings of an instance that forwards by host and path."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, PositiveFloat

Port = Annotated[int, Field(ge=0, le=65535)]


class Address(BaseModel):
    """Where a listener listens, or a service answers.

    >>> Address(host="127.0.0.1", port=80).text
    '127.0.0.1:80'
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    host: str
    port: Port

    @property
    def text(self) -> str:
        """The address as ``host:port``."""
        return f"{self.host}:{self.port}"


class ForwarderSettings(BaseModel):
    """What an instance is told at its start.

    :param name: The instance's name.
    :param callers: The callers' listener.
    :param readiness: The listener that tells whether to send callers here.
    :param metrics: The listener of the metrics; ``None`` serves none.
    :param store: The platform's store.
    :param max_key_age_s: How long after its removal a key may still work; 0
        is no bound.
    :param grace_s: How long a planned stop may take.
    :param retry_ratio: Repeats allowed for each request, all instances
        together.
    :param log_level: A level's name, for instance ``INFO``.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    name: str
    data_centre: str
    callers: Address
    readiness: Address
    metrics: Address | None = None
    store: Address
    max_key_age_s: float = Field(default=0.0, ge=0)
    grace_s: PositiveFloat = 8.0
    retry_ratio: float = Field(default=0.1, ge=0)
    log_level: str = "INFO"
